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
constexpr state::Duration kDeadTime = 3s;
/// Longer than a reader's lease, so that the lease expires during the pause.
constexpr state::Duration kPauseTime = 6s;
constexpr state::Duration kOutageTime = 4s;
constexpr state::Duration kSlowAnswer = 800ms;
constexpr state::Duration kDelay = 700ms;
/// Limit from the end of the last fault until every node runs the newest
/// version. Includes the detection of dead relays and the attachment to others.
constexpr state::Duration kRecoveryTime = 25s;

enum class FaultKind : std::uint8_t
{
  Lost,
  Doubled,
  Delayed,
  SenderKilled,
  ReceiverKilled,
  SenderPaused,
  ReceiverPaused,
  StoreDown,
  StoreSlow,
  AnswerLost,
  LeasesLapse,
  Racing,
};

constexpr std::array<state::EnumName<FaultKind>, 12> kFaultNames{ {
  { FaultKind::Lost, "message lost" },
  { FaultKind::Doubled, "message duplicated" },
  { FaultKind::Delayed, "message delayed behind later ones" },
  { FaultKind::SenderKilled, "sender killed" },
  { FaultKind::ReceiverKilled, "receiver killed" },
  { FaultKind::SenderPaused, "sender paused" },
  { FaultKind::ReceiverPaused, "receiver paused" },
  { FaultKind::StoreDown, "store down" },
  { FaultKind::StoreSlow, "store slow" },
  { FaultKind::AnswerLost, "store answer lost" },
  { FaultKind::LeasesLapse, "leases expire" },
  { FaultKind::Racing, "operators race" },
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
constexpr const char* kJoining = "z0";

/// Kills a leaf and makes the only seed a relay that lags behind the version
/// that the leaf ran. The two are partitioned from all other nodes.
void
PrepareRestartBesideLaggingRelay(VersionFleet& aFleet)
{
  auto& session = aFleet.session;
  const auto leaf = aFleet.FindNode(false);
  const auto lagging = aFleet.FindOtherRelay(leaf);
  session.isCut = [lagging](const auto& aFrom, const auto& aTo) {
    return aFrom == lagging || aTo == lagging;
  };
  aFleet.Accept("missed");
  session.Run(500ms);
  REQUIRE(aFleet.Active(leaf) == aFleet.StoreGeneration());
  REQUIRE(aFleet.Active(lagging) < aFleet.StoreGeneration());
  session.Kill(leaf);
  session.isCut = [lagging, leaf](const auto& aFrom, const auto& aTo) {
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
    if (name != kJoining && !aFleet.IsRunning(name)) {
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
  state::Duration cutTime{ 0 };
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
            [](VersionFleet& aFleet) { aFleet.Accept("accepted"); } },
  Exchange{ "join",
            { Step::Attach,
              Step::AttachAnswer,
              Step::Question,
              Step::Answer,
              Step::Notice,
              Step::Pull,
              Step::Data },
            [](VersionFleet& aFleet) {
              aFleet.session.Start(kJoining);
              aFleet.Accept("accepted");
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
class Cell
{
public:
  Cell(const Exchange& aExchange,
       Step aStep,
       unsigned aOrdinal,
       FaultKind aFault,
       std::optional<FaultKind> aSecond)
    : exchange_(aExchange)
    , step_(aStep)
    , ordinal_(aOrdinal)
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
    session.Kill(kJoining);
    session.Run(9s);
    fleet_.Apply(fleet_.FindNode(true), "before");
    session.Run(1s);
    REQUIRE(fleet_.IsConverged());
    if (exchange_.prepare != nullptr) {
      exchange_.prepare(fleet_);
    }
    session.decide = [this](const auto& aFrom,
                            const auto& aTo,
                            const wire::Envelope& aEnvelope) {
      return OnMessage(aFrom, aTo, aEnvelope);
    };
    session.onStoreCall = [this](const auto& aNode, const CallStore& aCall) {
      OnStoreCall(aNode, aCall);
    };
    exchange_.start(fleet_);
    At(exchange_.cutTime, [&session] { session.isCut = nullptr; });
    Drive();
    return isFired_;
  }

  std::string Name() const
  {
    std::string name = exchange_.name;
    name += ", " + std::string(state::FindEnumName(kStepNames, step_)) + " " +
            std::to_string(ordinal_) + ": " +
            std::string(state::FindEnumName(kFaultNames, fault_));
    if (second_) {
      name += " and " + std::string(state::FindEnumName(kFaultNames, *second_));
    }
    return name;
  }

private:
  void Drive()
  {
    auto& session = fleet_.session;
    const auto earliest = session.Now() + 2s;
    std::vector<std::string> violations;
    while (session.Now() < earliest || !ends_.empty() ||
           !fleet_.IsConverged()) {
      if (ends_.empty() && session.Now() > lastEnd_ + kRecoveryTime &&
          session.Now() > earliest + kRecoveryTime) {
        fleet_.NoteVersions();
        violations.push_back("not every node reached the newest version");
        break;
      }
      session.Run(10ms);
      while (!ends_.empty() && ends_.begin()->first <= session.Now()) {
        const auto end = std::move(ends_.begin()->second);
        ends_.erase(ends_.begin());
        end();
        lastEnd_ = session.Now();
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
    if (dead_.contains(aFrom)) {
      return Session::Fate{};
    }
    const auto step = StepOf(aEnvelope);
    if (!step) {
      return std::nullopt;
    }
    if (isFired_ && second_ && !isSecondFired_) {
      isSecondFired_ = true;
      return Inject(*second_, aFrom, aTo);
    }
    if (!isFired_ && *step == step_ && ++seen_ == ordinal_) {
      isFired_ = true;
      return Inject(fault_, aFrom, aTo);
    }
    return std::nullopt;
  }

  void OnStoreCall(const std::string& aNode, const CallStore& aCall)
  {
    const auto* get = std::get_if<StoreGet>(&aCall.request);
    const auto* swap = std::get_if<StoreSwap>(&aCall.request);
    const bool isHere = (step_ == Step::StoreRead && get != nullptr) ||
                        (step_ == Step::StoreWrite && swap != nullptr &&
                         swap->key == protocol::kConfigurationKey);
    if (!isFired_ && isHere && ++seen_ == ordinal_) {
      isFired_ = true;
      Inject(fault_, aNode, aNode);
    }
  }

  void At(state::Duration aDelay, std::function<void()> aAction)
  {
    ends_.emplace(fleet_.session.Now() + aDelay, std::move(aAction));
  }

  void Kill(const std::string& aNode)
  {
    auto& session = fleet_.session;
    if (!dead_.insert(aNode).second) {
      return;
    }
    // This is called from within the node's own code, so the node is paused now
    // and destroyed later.
    session.Pause(aNode);
    At(0ms, [&session, aNode] { session.Kill(aNode); });
    At(kDeadTime, [this, aNode] {
      dead_.erase(aNode);
      fleet_.session.Start(aNode);
    });
  }

  void Pause(const std::string& aNode)
  {
    auto& session = fleet_.session;
    session.Pause(aNode);
    At(kPauseTime, [&session, aNode] { session.Resume(aNode); });
  }

  std::optional<Session::Fate> Inject(FaultKind aFault,
                                      const std::string& aFrom,
                                      const std::string& aTo)
  {
    auto& session = fleet_.session;
    switch (aFault) {
      case FaultKind::Lost:
        return Session::Fate{};
      case FaultKind::Doubled:
        return Session::Fate{ 0ms, 5ms, kDelay };
      case FaultKind::Delayed:
        return Session::Fate{ kDelay };
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
        session.store.isOut = true;
        At(kOutageTime, [&session] { session.store.isOut = false; });
        break;
      case FaultKind::StoreSlow:
        session.store.answerTime = kSlowAnswer;
        At(kOutageTime, [&session] { session.store.answerTime = 2ms; });
        break;
      case FaultKind::AnswerLost:
        session.store.isNextAnswerLost = true;
        break;
      case FaultKind::LeasesLapse:
        session.store.LapseLeases();
        break;
      case FaultKind::Racing:
        At(0ms, [this, aFrom] {
          fleet_.Apply(fleet_.FindNode(true, aFrom), "racing");
        });
        break;
    }
    return std::nullopt;
  }

  const Exchange& exchange_;
  Step step_;
  unsigned ordinal_;
  FaultKind fault_;
  std::optional<FaultKind> second_;
  VersionFleet fleet_;
  unsigned seen_ = 0;
  bool isFired_ = false;
  bool isSecondFired_ = false;
  std::set<std::string> dead_;
  std::multimap<state::Instant, std::function<void()>> ends_;
  state::Instant lastEnd_{ 0 };
};

/// Pairs in which the second fault disturbs the recovery from the first.
constexpr std::array<std::pair<FaultKind, FaultKind>, 12> kPairs{ {
  { FaultKind::Lost, FaultKind::SenderKilled },
  { FaultKind::Lost, FaultKind::StoreDown },
  { FaultKind::Delayed, FaultKind::ReceiverKilled },
  { FaultKind::Doubled, FaultKind::Delayed },
  { FaultKind::SenderKilled, FaultKind::StoreDown },
  { FaultKind::ReceiverKilled, FaultKind::StoreDown },
  { FaultKind::SenderKilled, FaultKind::ReceiverKilled },
  { FaultKind::SenderPaused, FaultKind::StoreDown },
  { FaultKind::StoreDown, FaultKind::ReceiverKilled },
  { FaultKind::AnswerLost, FaultKind::Racing },
  { FaultKind::StoreSlow, FaultKind::Racing },
  { FaultKind::LeasesLapse, FaultKind::SenderKilled },
} };

/// Injects every single fault at occurrence aOrdinal of each step.
void
RunSingleFaults(unsigned aOrdinal)
{
  unsigned cells = 0;
  unsigned absent = 0;
  for (const auto& exchange : kExchanges) {
    for (const auto step : exchange.steps) {
      for (const auto& fault : kFaultNames) {
        const bool isRun =
          Cell(exchange, step, aOrdinal, fault.value, std::nullopt).Run();
        ++(isRun ? cells : absent);
      }
    }
  }
  std::cout << "single faults at occurrence " << aOrdinal << ": " << cells
            << " runs, seed " << kSeed << ", " << absent
            << " steps did not occur\n";
  CHECK(cells > 0);
}

} // namespace

TEST_CASE("no single fault breaks an invariant of distribution: first",
          "[part1]")
{
  RunSingleFaults(1);
}

TEST_CASE("no single fault breaks an invariant of distribution: second",
          "[part5]")
{
  RunSingleFaults(2);
}

TEST_CASE("no single fault breaks an invariant of distribution: fifth",
          "[part6]")
{
  RunSingleFaults(5);
}

TEST_CASE("no pair of faults breaks an invariant of distribution", "[part3]")
{
  unsigned cells = 0;
  unsigned absent = 0;
  for (const auto& exchange : kExchanges) {
    for (const auto step : exchange.steps) {
      for (const auto ordinal : { 1U, 2U }) {
        for (const auto& [first, second] : kPairs) {
          const bool isRun = Cell(exchange, step, ordinal, first, second).Run();
          ++(isRun ? cells : absent);
        }
      }
    }
  }
  std::cout << "pairs of faults: " << cells << " runs, seed " << kSeed << ", "
            << absent << " steps did not occur\n";
  CHECK(cells > 0);
}
