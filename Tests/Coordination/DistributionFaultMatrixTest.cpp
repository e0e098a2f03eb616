#include "Tests/Coordination/VersionFleet.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace teaselhold;
using namespace teaselhold::tests;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;

/// Runs each exchange of messages once for each fault at each of its steps.
/// Each run checks the invariants of VersionFleet and that all nodes converge.
namespace {

constexpr std::uint64_t kSeed = 42;
constexpr state::Duration kRestartDelay = 3s;
/// Longer than a reader's lease, so that the lease expires during the pause.
constexpr state::Duration kPauseTime = 6s;
constexpr state::Duration kOutageTime = 4s;
constexpr state::Duration kSlowAnswerTime = 800ms;
constexpr state::Duration kMessageDelay = 700ms;
/// Limit from the end of the last fault until every node runs the newest
/// version. Includes the detection of dead relays and the attachment to others.
constexpr state::Duration kRecoveryTime = 25s;

enum class FaultKind : std::uint8_t
{
  Lost,
  Duplicated,
  Delayed,
  SenderKilled,
  ReceiverKilled,
  SenderPaused,
  ReceiverPaused,
  StoreDown,
  StoreSlow,
  AnswerLost,
  LeasesExpire,
  OperatorsRace,
};

constexpr std::array<state::EnumName<FaultKind>, 12> kFaultNames{ {
  { FaultKind::Lost, "message lost" },
  { FaultKind::Duplicated, "message duplicated" },
  { FaultKind::Delayed, "message delayed behind later ones" },
  { FaultKind::SenderKilled, "sender killed" },
  { FaultKind::ReceiverKilled, "receiver killed" },
  { FaultKind::SenderPaused, "sender paused" },
  { FaultKind::ReceiverPaused, "receiver paused" },
  { FaultKind::StoreDown, "store down" },
  { FaultKind::StoreSlow, "store slow" },
  { FaultKind::AnswerLost, "store answer lost" },
  { FaultKind::LeasesExpire, "leases expire" },
  { FaultKind::OperatorsRace, "operators race" },
} };

enum class Step : std::uint8_t
{
  StoreRead,
  StoreWrite,
  Attach,
  AttachAnswer,
  Question,
  Answer,
  Notice,
  Pull,
  Data,
};

constexpr std::array<state::EnumName<Step>, 9> kStepNames{ {
  { Step::StoreRead, "store read" },
  { Step::StoreWrite, "store write" },
  { Step::Attach, "attach" },
  { Step::AttachAnswer, "attach answer" },
  { Step::Question, "question" },
  { Step::Answer, "answer" },
  { Step::Notice, "notice" },
  { Step::Pull, "pull" },
  { Step::Data, "data" },
} };

/// @return nullopt for messages that are no step of the exchanges tested here.
std::optional<Step>
StepOf(const wire::Envelope& aEnvelope)
{
  const auto& notice = aEnvelope.head_notice();
  switch (aEnvelope.body_case()) {
    case wire::Envelope::kAttach:
      return Step::Attach;
    case wire::Envelope::kAttachAnswer:
      return Step::AttachAnswer;
    case wire::Envelope::kHeadNotice:
      return !notice.reader().empty() ? std::nullopt
             : notice.question() != 0 ? std::optional(Step::Question)
             : notice.answer() != 0   ? std::optional(Step::Answer)
                                      : std::optional(Step::Notice);
    case wire::Envelope::kConfigurationPull:
      return Step::Pull;
    case wire::Envelope::kConfigurationData:
      return Step::Data;
    default:
      return std::nullopt;
  }
}

/// A node that is stopped until the "join" exchange starts it.
constexpr const char* kJoiningNode = "z0";

/// Kills a leaf and makes the only seed a relay that lags behind the version
/// that the leaf ran. The two are partitioned from all other nodes.
void
PrepareRestartBesideLaggingRelay(VersionFleet& aFleet)
{
  auto& session = aFleet.session;
  const auto leaf = aFleet.FindNode(false);
  const auto lagging = aFleet.FindOtherRelay(leaf);
  session.isDropped = [lagging](const auto& aFrom, const auto& aTo) {
    return aFrom == lagging || aTo == lagging;
  };
  aFleet.WriteToStore("missed");
  session.Run(500ms);
  REQUIRE(aFleet.Active(leaf) == aFleet.StoreGeneration());
  REQUIRE(aFleet.Active(lagging) < aFleet.StoreGeneration());
  session.Kill(leaf);
  session.isDropped = [lagging, leaf](const auto& aFrom, const auto& aTo) {
    const auto isInside = [&](const std::string& aNode) {
      return aNode == lagging || aNode == leaf;
    };
    return isInside(aFrom) != isInside(aTo);
  };
  session.SetSeeds({ lagging });
}

void
StartKilled(VersionFleet& aFleet)
{
  for (const auto& name : aFleet.session.Names()) {
    if (name != kJoiningNode && !aFleet.IsRunning(name)) {
      aFleet.session.Start(name);
    }
  }
}

struct Exchange
{
  const char* name;
  std::vector<Step> steps;
  void (*start)(VersionFleet&);
  void (*prepare)(VersionFleet&) = nullptr;
  /// How long the network stays partitioned after the start.
  state::Duration partitionTime{ 0 };
};

const std::array kExchanges{
  Exchange{
    "apply",
    { Step::StoreRead, Step::StoreWrite, Step::Notice, Step::Pull, Step::Data },
    [](VersionFleet& aFleet) {
      aFleet.Apply(aFleet.FindNode(false), "applied");
    } },
  Exchange{ "fan out",
            { Step::Notice, Step::Pull, Step::Data },
            [](VersionFleet& aFleet) { aFleet.WriteToStore("accepted"); } },
  Exchange{ "join",
            { Step::Attach,
              Step::AttachAnswer,
              Step::Question,
              Step::Answer,
              Step::Notice,
              Step::Pull,
              Step::Data },
            [](VersionFleet& aFleet) {
              aFleet.session.Start(kJoiningNode);
              aFleet.WriteToStore("accepted");
            } },
  Exchange{ "restart of a relay",
            { Step::Attach,
              Step::AttachAnswer,
              Step::Question,
              Step::Answer,
              Step::Pull,
              Step::Data },
            [](VersionFleet& aFleet) {
              const auto relay = aFleet.FindNode(true);
              aFleet.session.Kill(relay);
              aFleet.session.Start(relay);
            } },
  Exchange{ "restart of a data centre",
            { Step::Attach,
              Step::AttachAnswer,
              Step::Question,
              Step::Answer,
              Step::Notice,
              Step::Pull,
              Step::Data },
            [](VersionFleet& aFleet) {
              for (const auto& name : aFleet.session.Names()) {
                if (name[0] == 'a') {
                  aFleet.session.Kill(name);
                  aFleet.session.Start(name);
                }
              }
            } },
  Exchange{ "restart beside a lagging relay",
            { Step::Attach,
              Step::AttachAnswer,
              Step::Question,
              Step::Answer,
              Step::Notice,
              Step::Pull,
              Step::Data },
            StartKilled,
            PrepareRestartBesideLaggingRelay,
            4s },
};

/// One run of an exchange with one fault, or with a second fault at the next
/// message after it.
class FaultRun
{
public:
  FaultRun(const Exchange& aExchange,
           Step aStep,
           unsigned aOccurrence,
           FaultKind aFault,
           std::optional<FaultKind> aSecond)
    : exchange_(aExchange)
    , step_(aStep)
    , occurrence_(aOccurrence)
    , fault_(aFault)
    , second_(aSecond)
    , fleet_(kSeed, { "a", "b", "z" }, 4)
  {
  }

  /// @return false if the step did not occur, so no fault was injected.
  bool Run()
  {
    auto& session = fleet_.session;
    fleet_.Settle();
    session.Kill(kJoiningNode);
    session.Run(9s);
    fleet_.Apply(fleet_.FindNode(true), "before");
    session.Run(1s);
    REQUIRE(fleet_.IsConverged());
    if (exchange_.prepare != nullptr) {
      exchange_.prepare(fleet_);
    }
    session.chooseFate = [this](const auto& aFrom,
                                const auto& aTo,
                                const wire::Envelope& aEnvelope) {
      return OnMessage(aFrom, aTo, aEnvelope);
    };
    session.onStoreCall = [this](const auto& aNode, const CallStore& aCall) {
      OnStoreCall(aNode, aCall);
    };
    exchange_.start(fleet_);
    RunAfter(exchange_.partitionTime,
             [&session] { session.isDropped = nullptr; });
    RunUntilConverged();
    return isInjected_;
  }

  std::string Name() const
  {
    std::string name = exchange_.name;
    name += ", " + std::string(state::FindEnumName(kStepNames, step_)) + " " +
            std::to_string(occurrence_) + ": " +
            std::string(state::FindEnumName(kFaultNames, fault_));
    if (second_) {
      name += " and " + std::string(state::FindEnumName(kFaultNames, *second_));
    }
    return name;
  }

private:
  void RunUntilConverged()
  {
    auto& session = fleet_.session;
    const auto earliest = session.Now() + 2s;
    std::vector<std::string> violations;
    while (session.Now() < earliest || !pendingActions_.empty() ||
           !fleet_.IsConverged()) {
      if (pendingActions_.empty() &&
          session.Now() > lastActionTime_ + kRecoveryTime &&
          session.Now() > earliest + kRecoveryTime) {
        fleet_.LogVersions();
        violations.push_back("not every node reached the newest version");
        break;
      }
      session.Run(10ms);
      while (!pendingActions_.empty() &&
             pendingActions_.begin()->first <= session.Now()) {
        const auto action = std::move(pendingActions_.begin()->second);
        pendingActions_.erase(pendingActions_.begin());
        action();
        lastActionTime_ = session.Now();
      }
    }
    for (const auto& violation : fleet_.Violations()) {
      violations.push_back(violation);
    }
    INFO(Name());
    INFO(session.Transcript());
    CHECK(violations == std::vector<std::string>{});
  }

  std::optional<Session::Fate> OnMessage(const std::string& aFrom,
                                         const std::string& aTo,
                                         const wire::Envelope& aEnvelope)
  {
    if (killedNodes_.contains(aFrom)) {
      return Session::Fate{};
    }
    const auto step = StepOf(aEnvelope);
    if (!step) {
      return std::nullopt;
    }
    if (isInjected_ && second_ && !isSecondInjected_) {
      isSecondInjected_ = true;
      return Inject(*second_, aFrom, aTo);
    }
    if (!isInjected_ && *step == step_ && ++occurrencesSeen_ == occurrence_) {
      isInjected_ = true;
      return Inject(fault_, aFrom, aTo);
    }
    return std::nullopt;
  }

  void OnStoreCall(const std::string& aNode, const CallStore& aCall)
  {
    const auto* get = std::get_if<StoreGet>(&aCall.request);
    const auto* swap = std::get_if<StoreSwap>(&aCall.request);
    const bool isFaultStep = (step_ == Step::StoreRead && get != nullptr) ||
                             (step_ == Step::StoreWrite && swap != nullptr &&
                              swap->key == protocol::kConfigurationKey);
    if (!isInjected_ && isFaultStep && ++occurrencesSeen_ == occurrence_) {
      isInjected_ = true;
      Inject(fault_, aNode, aNode);
    }
  }

  void RunAfter(state::Duration aDelay, std::function<void()> aAction)
  {
    pendingActions_.emplace(fleet_.session.Now() + aDelay, std::move(aAction));
  }

  void Kill(const std::string& aNode)
  {
    auto& session = fleet_.session;
    if (!killedNodes_.insert(aNode).second) {
      return;
    }
    // This is called from within the node's own code, so the node is paused now
    // and destroyed later.
    session.Pause(aNode);
    RunAfter(0ms, [&session, aNode] { session.Kill(aNode); });
    RunAfter(kRestartDelay, [this, aNode] {
      killedNodes_.erase(aNode);
      fleet_.session.Start(aNode);
    });
  }

  void Pause(const std::string& aNode)
  {
    auto& session = fleet_.session;
    session.Pause(aNode);
    RunAfter(kPauseTime, [&session, aNode] { session.Resume(aNode); });
  }

  std::optional<Session::Fate> Inject(FaultKind aFault,
                                      const std::string& aFrom,
                                      const std::string& aTo)
  {
    auto& session = fleet_.session;
    switch (aFault) {
      case FaultKind::Lost:
        return Session::Fate{};
      case FaultKind::Duplicated:
        return Session::Fate{ 0ms, 5ms, kMessageDelay };
      case FaultKind::Delayed:
        return Session::Fate{ kMessageDelay };
      case FaultKind::SenderKilled:
        Kill(aFrom);
        return Session::Fate{};
      case FaultKind::ReceiverKilled:
        Kill(aTo);
        break;
      case FaultKind::SenderPaused:
        Pause(aFrom);
        break;
      case FaultKind::ReceiverPaused:
        Pause(aTo);
        break;
      case FaultKind::StoreDown:
        session.store.isUnavailable = true;
        RunAfter(kOutageTime,
                 [&session] { session.store.isUnavailable = false; });
        break;
      case FaultKind::StoreSlow:
        session.store.answerTime = kSlowAnswerTime;
        RunAfter(kOutageTime, [&session] { session.store.answerTime = 2ms; });
        break;
      case FaultKind::AnswerLost:
        session.store.isNextWriteAnswerLost = true;
        break;
      case FaultKind::LeasesExpire:
        session.store.ExpireLeases();
        break;
      case FaultKind::OperatorsRace:
        RunAfter(0ms, [this, aFrom] {
          fleet_.Apply(fleet_.FindNode(true, aFrom), "racing");
        });
        break;
    }
    return std::nullopt;
  }

  const Exchange& exchange_;
  Step step_;
  unsigned occurrence_;
  FaultKind fault_;
  std::optional<FaultKind> second_;
  VersionFleet fleet_;
  unsigned occurrencesSeen_ = 0;
  bool isInjected_ = false;
  bool isSecondInjected_ = false;
  std::set<std::string> killedNodes_;
  std::multimap<state::Instant, std::function<void()>> pendingActions_;
  state::Instant lastActionTime_{ 0 };
};

/// Pairs in which the second fault disturbs the recovery from the first.
constexpr std::array<std::pair<FaultKind, FaultKind>, 12> kFaultPairs{ {
  { FaultKind::Lost, FaultKind::SenderKilled },
  { FaultKind::Lost, FaultKind::StoreDown },
  { FaultKind::Delayed, FaultKind::ReceiverKilled },
  { FaultKind::Duplicated, FaultKind::Delayed },
  { FaultKind::SenderKilled, FaultKind::StoreDown },
  { FaultKind::ReceiverKilled, FaultKind::StoreDown },
  { FaultKind::SenderKilled, FaultKind::ReceiverKilled },
  { FaultKind::SenderPaused, FaultKind::StoreDown },
  { FaultKind::StoreDown, FaultKind::ReceiverKilled },
  { FaultKind::AnswerLost, FaultKind::OperatorsRace },
  { FaultKind::StoreSlow, FaultKind::OperatorsRace },
  { FaultKind::LeasesExpire, FaultKind::SenderKilled },
} };

/// Injects every single fault at occurrence aOccurrence of each step.
void
RunSingleFaults(unsigned aOccurrence)
{
  unsigned runs = 0;
  unsigned missingSteps = 0;
  for (const auto& exchange : kExchanges) {
    for (const auto step : exchange.steps) {
      for (const auto& fault : kFaultNames) {
        const bool isStepReached =
          FaultRun(exchange, step, aOccurrence, fault.value, std::nullopt)
            .Run();
        ++(isStepReached ? runs : missingSteps);
      }
    }
  }
  std::cout << "single faults at occurrence " << aOccurrence << ": " << runs
            << " runs, seed " << kSeed << ", " << missingSteps
            << " steps did not occur\n";
  CHECK(runs > 0);
}

} // namespace

TEST_CASE(
  "no single fault at the first occurrence of a step breaks an invariant",
  "[part1]")
{
  RunSingleFaults(1);
}

TEST_CASE(
  "no single fault at the second occurrence of a step breaks an invariant",
  "[part5]")
{
  RunSingleFaults(2);
}

TEST_CASE(
  "no single fault at the fifth occurrence of a step breaks an invariant",
  "[part6]")
{
  RunSingleFaults(5);
}

TEST_CASE("no pair of faults breaks an invariant of distribution", "[part3]")
{
  unsigned runs = 0;
  unsigned missingSteps = 0;
  for (const auto& exchange : kExchanges) {
    for (const auto step : exchange.steps) {
      for (const auto occurrence : { 1U, 2U }) {
        for (const auto& [first, second] : kFaultPairs) {
          const bool isStepReached =
            FaultRun(exchange, step, occurrence, first, second).Run();
          ++(isStepReached ? runs : missingSteps);
        }
      }
    }
  }
  std::cout << "pairs of faults: " << runs << " runs, seed " << kSeed << ", "
            << missingSteps << " steps did not occur\n";
  CHECK(runs > 0);
}
