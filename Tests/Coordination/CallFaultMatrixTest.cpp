#include "Tests/Coordination/FakeClaimStore.h"
#include "Tests/Coordination/FakeExecutor.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace teaselhold;
using namespace teaselhold::test;

namespace {

enum class Step : std::uint8_t
{
  Route,
  Pick,
  Connect,
  Send,
  Admission,
  Queue,
  UpstreamRun,
  Answer,
  Return,
};

constexpr std::array<state::EnumName<Step>, 9> kSteps{ {
  { Step::Route, "route" },
  { Step::Pick, "pick" },
  { Step::Connect, "connect" },
  { Step::Send, "send" },
  { Step::Admission, "admission" },
  { Step::Queue, "queue" },
  { Step::UpstreamRun, "upstream run" },
  { Step::Answer, "answer" },
  { Step::Return, "return" },
} };

enum class Fault : std::uint8_t
{
  ConnectionRefused,
  LostBeforeSend,
  LostAfterSend,
  SilentConnection,
  LateAnswer,
  CrossedAnswer,
  PartialAnswer,
  NodeKilled,
  NodePaused,
  UpstreamCrashed,
  UpstreamDraining,
  UpstreamShed,
  DeadlinePassed,
  StoreDown,
  StoreAnswerLost,
  LeaseLapsed,
  CallerSendsAgain,
  ConfigurationChanged,
  /// Violates the store's contract. The guarantees hold if it is the only
  /// fault, but not together with a second fault that moves the claim or ends
  /// its executor, so only single-fault cells include it.
  ClaimsLost,
};

constexpr std::array<state::EnumName<Fault>, 19> kFaults{ {
  { Fault::ConnectionRefused, "connection refused" },
  { Fault::LostBeforeSend, "lost before send" },
  { Fault::LostAfterSend, "lost after send" },
  { Fault::SilentConnection, "silent connection" },
  { Fault::LateAnswer, "late answer" },
  { Fault::CrossedAnswer, "crossed answer" },
  { Fault::PartialAnswer, "partial answer" },
  { Fault::NodeKilled, "node killed" },
  { Fault::NodePaused, "node paused" },
  { Fault::UpstreamCrashed, "upstream crashed" },
  { Fault::UpstreamDraining, "upstream draining" },
  { Fault::UpstreamShed, "upstream shed" },
  { Fault::DeadlinePassed, "deadline passed" },
  { Fault::StoreDown, "store down for a claim" },
  { Fault::StoreAnswerLost, "store answer lost for a claim" },
  { Fault::LeaseLapsed, "lease lapsed" },
  { Fault::CallerSendsAgain, "caller sends again" },
  { Fault::ConfigurationChanged, "configuration changed" },
  { Fault::ClaimsLost, "claims lost" },
} };

enum class Kind : std::uint8_t
{
  Idempotent,
  NonIdempotent,
  Keyed,
};

constexpr std::array<state::EnumName<Kind>, 3> kKinds{ {
  { Kind::Idempotent, "idempotent" },
  { Kind::NonIdempotent, "non-idempotent" },
  { Kind::Keyed, "keyed" },
} };

struct Planned
{
  Step step;
  Fault fault;
};

/// When a delayed request arrives at its executor.
enum class LateArrival : std::uint8_t
{
  DuringNextAttempt,
  BeforeResend,
  AfterResend,
};

/// Conditions that vary between runs of the same cell of the matrix.
struct Variant
{
  LateArrival late;
  /// After a lost connection or a timeout the peer is asked whether the
  /// request arrived. A store write whose response is lost takes effect late.
  bool asks;
};

std::vector<Variant>
AllVariants()
{
  std::vector<Variant> variants;
  for (const auto late : { LateArrival::DuringNextAttempt,
                           LateArrival::BeforeResend,
                           LateArrival::AfterResend }) {
    variants.push_back({ late, false });
    variants.push_back({ late, true });
  }
  return variants;
}

const std::vector<Variant> kVariants = AllVariants();

/// Network faults that affect one attempt.
struct Flight
{
  std::optional<Planned> planned;
  bool connectFails = false;
  bool lostBeforeSend = false;
  bool heldBack = false;
  bool answerLost = false;
  bool timesOut = false;
  bool crossed = false;
  bool partial = false;
};

struct Told
{
  Outcome outcome = NotRun{ NotRunReason::NoUpstream };
  std::string content;
  unsigned send = 0;
  /// Runs of the key before this send began.
  unsigned runsBefore = 0;
  unsigned attempts = 0;
};

const EndpointTablePointer kTable =
  MakeTable({ MakeEndpoint("a"), MakeEndpoint("b"), MakeEndpoint("c") });

EndpointTablePointer
MakeChangedTable()
{
  auto gone = MakeEndpoint("a");
  gone.sequence = 2;
  gone.state = state::EndpointState::Gone;
  return MakeTable({ gone, MakeEndpoint("c"), MakeEndpoint("d") });
}

const RoutingSnapshotPointer kSnapshot = MakeSnapshot(kTable);
const RoutingSnapshotPointer kChangedSnapshot =
  MakeSnapshot(MakeChangedTable(), MakeConfiguration(2));

/// Simulates two entry nodes, four executors and the store for one cell of the
/// matrix.
class World
{
public:
  World(Kind aKind, Variant aVariant)
    : kind_(aKind)
    , variant_(aVariant)
  {
    for (const std::string name : { "a", "b", "c", "d" }) {
      executors_.emplace(name, log_);
    }
  }

  /// The caller sends the request through one of the entry nodes.
  Told Send(unsigned aEntry, std::vector<Planned> aPlan)
  {
    Told told;
    told.send = ++lastSend_;
    told.runsBefore = log_.total;
    auto facts =
      MakeFacts(kind_ == Kind::Idempotent, kind_ == Kind::Keyed ? "key" : "");
    facts.deadline = now_ + 1s;
    auto& environment = entries_[aEntry];
    Flight flight = NextFlight(aPlan, 0);
    Reach(Step::Route, flight, "a");
    CallSession session(facts, snapshot_, environment);
    auto step = session.Start(now_);
    while (!std::holds_alternative<Respond>(step)) {
      step = Take(session, step, aEntry, aPlan, flight, told);
    }
    told.outcome = std::get<Respond>(step).outcome;
    tolds_.push_back(told);
    return told;
  }

  /// Delivers the delayed requests to the executors that have not restarted
  /// since.
  void DeliverLate()
  {
    store_.LandDelayedWrite();
    for (auto& [node, incarnation, delivery] : std::exchange(late_, {})) {
      // A request carries its remaining time, so the delay alone does not make
      // it miss its deadline.
      delivery.deadline = now_ + 1s;
      auto& executor = executors_.at(node);
      if (executor.incarnation == incarnation) {
        executor.Deliver(delivery, now_, [](ExecutorStep) {});
      }
    }
  }

  void Heal()
  {
    store_.down = false;
    store_.downCalls = 0;
    store_.loseAnswers = 0;
    store_.delayWrite = false;
    now_ += 60s;
  }

  const std::vector<Told>& Tolds() const { return tolds_; }
  const RunLog& Log() const { return log_; }

private:
  struct LateDelivery
  {
    std::string node;
    std::uint64_t incarnation;
    Delivery delivery;
  };

  static Flight NextFlight(const std::vector<Planned>& aPlan, unsigned aAttempt)
  {
    Flight flight;
    if (aAttempt < aPlan.size()) {
      flight.planned = aPlan[aAttempt];
    }
    return flight;
  }

  CallStep Take(CallSession& aSession,
                const CallStep& aStep,
                unsigned aEntry,
                const std::vector<Planned>& aPlan,
                Flight& aFlight,
                Told& aTold)
  {
    if (const auto* backoff = std::get_if<BackoffStep>(&aStep)) {
      now_ = std::max(now_, backoff->until);
      return aSession.Resume(now_);
    }
    if (const auto* claim = std::get_if<ClaimStep>(&aStep)) {
      Reach(Step::Pick, aFlight, "a");
      return aSession.FinishClaim(store_.Call(*claim), now_);
    }
    const auto& attempt = std::get<Attempt>(aStep);
    const auto reply = Exchange(attempt, aEntry, aFlight, aTold);
    aTold.content = reply.content;
    ++aTold.attempts;
    aFlight = NextFlight(aPlan, aTold.attempts);
    Reach(Step::Route, aFlight, attempt.endpoint->node);
    const bool answered = std::holds_alternative<Answered>(reply.outcome);
    return aSession.Finish(
      reply.outcome, now_, answered ? attempt.retriesLeft : 0);
  }

  Reply Exchange(const Attempt& aAttempt,
                 unsigned aEntry,
                 Flight& aFlight,
                 const Told& aTold)
  {
    const auto& node = aAttempt.endpoint->node;
    auto& executor = executors_.at(node);
    const auto incarnation = executor.incarnation;
    const Delivery delivery{
      aTold.send,    ContentOf(aTold.send),    "entry" + std::to_string(aEntry),
      ++lastNumber_, aAttempt.carriedDeadline, aAttempt.claim
    };
    auto reply = Transfer(delivery, node, aFlight);
    if (variant_.late == LateArrival::DuringNextAttempt) {
      // Delayed requests of earlier attempts arrive now; one of this attempt
      // stays delayed.
      std::vector<LateDelivery> own;
      if (!late_.empty() && late_.back().delivery.number == delivery.number) {
        own.push_back(late_.back());
        late_.pop_back();
      }
      DeliverLate();
      late_ = std::move(own);
    }
    if (executor.incarnation != incarnation && !aFlight.connectFails) {
      reply = { Unknown{ UnknownReason::ConnectionLost }, "" };
    }
    if (aFlight.timesOut) {
      now_ = std::max(now_, aAttempt.deadline);
    }
    if (executor.crashed) {
      executor.RestartUpstream(now_);
    }
    return Ask(reply, delivery, executor, aAttempt.endpoint->incarnation);
  }

  Reply Transfer(const Delivery& aDelivery,
                 const std::string& aNode,
                 Flight& aFlight)
  {
    auto& executor = executors_.at(aNode);
    Reach(Step::Pick, aFlight, aNode);
    Reach(Step::Connect, aFlight, aNode);
    if (aFlight.connectFails) {
      return { NotRun{ NotRunReason::ConnectFailed }, "" };
    }
    Reach(Step::Send, aFlight, aNode);
    if (aFlight.heldBack) {
      late_.push_back({ aNode, executor.incarnation, aDelivery });
    }
    if (aFlight.heldBack || aFlight.lostBeforeSend) {
      return Lost(aFlight);
    }
    const auto reply =
      executor.Deliver(aDelivery, now_, [&](ExecutorStep aStep) {
        const auto first = static_cast<std::uint8_t>(Step::Admission);
        const auto offset = static_cast<std::uint8_t>(aStep);
        Reach(static_cast<Step>(first + offset), aFlight, aNode);
      });
    Reach(Step::Return, aFlight, aNode);
    if (aFlight.crossed) {
      return { Unknown{ UnknownReason::CrossedAnswer }, "answer to another" };
    }
    if (aFlight.partial) {
      return { Unknown{ UnknownReason::PartialAnswer }, "answ" };
    }
    return aFlight.answerLost || aFlight.timesOut ? Lost(aFlight) : reply;
  }

  static Reply Lost(const Flight& aFlight)
  {
    return { Unknown{ aFlight.timesOut ? UnknownReason::Timeout
                                       : UnknownReason::ConnectionLost },
             "" };
  }

  Reply Ask(const Reply& aReply,
            const Delivery& aDelivery,
            FakeExecutor& aExecutor,
            std::uint64_t aAskedIncarnation) const
  {
    const auto* unknown = std::get_if<Unknown>(&aReply.outcome);
    const bool asks = variant_.asks && unknown != nullptr &&
                      (unknown->reason == UnknownReason::ConnectionLost ||
                       unknown->reason == UnknownReason::Timeout);
    if (asks && aExecutor.arrivals->Ask(
                  aDelivery.peer, aDelivery.number, aAskedIncarnation, now_) ==
                  state::ArrivalLog::Answer::NeverArrived) {
      return { NotRun{ NotRunReason::NeverArrived }, "" };
    }
    return aReply;
  }

  std::string ContentOf(unsigned aSend) const
  {
    // All sends of a key are one request.
    return kind_ == Kind::Keyed ? "key" : "send " + std::to_string(aSend);
  }

  /// Injects the planned fault once, when the attempt reaches its step.
  void Reach(Step aStep, Flight& aFlight, const std::string& aNode)
  {
    if (!aFlight.planned || aFlight.planned->step != aStep) {
      return;
    }
    const auto fault = aFlight.planned->fault;
    aFlight.planned.reset();
    if (!ApplyToNetwork(fault, aStep, aFlight)) {
      ApplyToParts(fault, aStep, aFlight, executors_.at(aNode));
    }
  }

  static bool ApplyToNetwork(Fault aFault, Step aStep, Flight& aFlight)
  {
    const bool unsent = aStep <= Step::Send;
    switch (aFault) {
      case Fault::ConnectionRefused:
        aFlight.connectFails = aStep <= Step::Connect;
        aFlight.lostBeforeSend = aStep == Step::Send;
        aFlight.answerLost = true;
        return true;
      case Fault::LostBeforeSend:
        aFlight.lostBeforeSend = unsent;
        aFlight.answerLost = true;
        return true;
      case Fault::LostAfterSend:
        aFlight.answerLost = true;
        return true;
      case Fault::SilentConnection:
        aFlight.heldBack = unsent;
        aFlight.answerLost = true;
        return true;
      case Fault::LateAnswer:
        aFlight.timesOut = true;
        return true;
      case Fault::NodePaused:
        aFlight.heldBack = unsent;
        aFlight.timesOut = true;
        return true;
      case Fault::CrossedAnswer:
        aFlight.crossed = true;
        return true;
      case Fault::PartialAnswer:
        aFlight.partial = true;
        return true;
      default:
        return false;
    }
  }

  void ApplyToParts(Fault aFault,
                    Step aStep,
                    Flight& aFlight,
                    FakeExecutor& aExecutor)
  {
    bool lost = false;
    switch (aFault) {
      case Fault::NodeKilled:
        aFlight.connectFails = aStep <= Step::Connect;
        aExecutor.Restart();
        break;
      case Fault::UpstreamCrashed:
        aExecutor.CrashUpstream(now_);
        break;
      case Fault::UpstreamDraining:
        aExecutor.admission->SetState(state::EndpointState::Draining, now_);
        break;
      case Fault::UpstreamShed:
        aExecutor.sheds = true;
        break;
      case Fault::DeadlinePassed:
        now_ += 1s;
        break;
      case Fault::StoreDown:
        store_.downCalls = 2;
        break;
      case Fault::StoreAnswerLost:
        (variant_.asks ? store_.delayWrite : lost) = true;
        store_.loseAnswers = lost ? 1 : 0;
        break;
      case Fault::LeaseLapsed:
        store_.LapseLeases();
        break;
      case Fault::ClaimsLost:
        store_.LoseClaims();
        break;
      case Fault::CallerSendsAgain:
        Send(1, {});
        break;
      case Fault::ConfigurationChanged:
        snapshot_ = kChangedSnapshot;
        entries_[0].router.Use(snapshot_->endpoints, now_);
        break;
      default:
        break;
    }
  }

  Kind kind_;
  Variant variant_;
  RunLog log_;
  FakeClaimStore store_;
  std::array<CallEnvironment, 2> entries_{ MakeEnvironment("one"),
                                           MakeEnvironment("two") };
  std::map<std::string, FakeExecutor> executors_;
  RoutingSnapshotPointer snapshot_ = kSnapshot;
  std::vector<LateDelivery> late_;
  std::vector<Told> tolds_;
  unsigned lastSend_ = 0;
  std::uint64_t lastNumber_ = 0;
  state::Instant now_ = 20s;
};

/// Outcome counts over many cells; they reveal a matrix in which every call is
/// refused.
struct Totals
{
  std::size_t cells = 0;
  std::size_t answered = 0;
  std::size_t notRun = 0;
  std::size_t unknown = 0;
};

/// Returns a description of the first violated guarantee, or an empty text.
std::string
FindBrokenPromise(Kind aKind, const World& aWorld)
{
  const auto& log = aWorld.Log();
  if (aKind == Kind::Keyed && log.total > 1) {
    return "the key ran " + std::to_string(log.total) + " times";
  }
  for (const auto& told : aWorld.Tolds()) {
    const auto found = log.bySend.find(told.send);
    const auto runs = found == log.bySend.end() ? 0U : found->second;
    const auto name = "send " + std::to_string(told.send);
    if (aKind != Kind::Idempotent && runs > 1) {
      return name + " ran more than once";
    }
    if (told.attempts > RetryPolicy::kMaxAttempts) {
      return name + " exceeded the limit of attempts";
    }
    if (const auto* notRun = std::get_if<NotRun>(&told.outcome)) {
      const bool coversEarlier =
        aKind == Kind::Keyed &&
        notRun->reason != NotRunReason::ClaimUnavailable;
      if (runs > 0 || (coversEarlier && told.runsBefore > 0)) {
        return name + " was reported as not run but ran";
      }
    }
    if (std::holds_alternative<Answered>(told.outcome)) {
      const auto expected =
        aKind == Kind::Keyed ? "key" : "send " + std::to_string(told.send);
      if (told.content != "answer to " + expected || log.total == 0) {
        return name + " got a wrong response: " + told.content;
      }
    }
  }
  return "";
}

std::string
Describe(Kind aKind, Variant aVariant, const std::vector<Planned>& aPlan)
{
  std::string text(state::FindEnumName(kKinds, aKind));
  text += ", late " + std::to_string(static_cast<int>(aVariant.late));
  text += aVariant.asks ? ", asks" : "";
  for (const auto& planned : aPlan) {
    text.append("; ").append(state::FindEnumName(kFaults, planned.fault));
    text.append(" at ").append(state::FindEnumName(kSteps, planned.step));
  }
  return text;
}

/// @param aResendPlan faults of the resend of a keyed request.
void
RunCell(Kind aKind,
        const std::vector<Planned>& aPlan,
        Totals& aTotals,
        const std::vector<Planned>& aResendPlan = {})
{
  for (const auto variant : kVariants) {
    World world(aKind, variant);
    const auto told = world.Send(0, aPlan);
    world.Heal();
    if (variant.late != LateArrival::AfterResend) {
      world.DeliverLate();
    }
    if (aKind == Kind::Keyed) {
      world.Send(1, aResendPlan);
      world.Heal();
      world.Send(0, {});
    }
    world.DeliverLate();
    const auto broken = FindBrokenPromise(aKind, world);
    if (!broken.empty()) {
      FAIL_CHECK(Describe(aKind, variant, aPlan) + "; resend: " +
                 Describe(aKind, variant, aResendPlan) + ": " + broken);
    }
    ++aTotals.cells;
    aTotals.answered += std::holds_alternative<Answered>(told.outcome) ? 1 : 0;
    aTotals.notRun += std::holds_alternative<NotRun>(told.outcome) ? 1 : 0;
    aTotals.unknown += std::holds_alternative<Unknown>(told.outcome) ? 1 : 0;
  }
}

std::vector<Planned>
AllFaults()
{
  std::vector<Planned> all;
  for (const auto& [step, stepName] : kSteps) {
    for (const auto& [fault, faultName] : kFaults) {
      all.push_back({ step, fault });
    }
  }
  return all;
}

void
Print(const std::string& aName, const Totals& aTotals)
{
  std::cout << "call fault matrix, " << aName << ": " << aTotals.cells
            << " cells, reported answered " << aTotals.answered << ", not-run "
            << aTotals.notRun << ", unknown " << aTotals.unknown << "\n";
}

} // namespace

TEST_CASE("no single fault breaks a delivery guarantee of a call")
{
  Totals totals;
  for (const auto& [kind, name] : kKinds) {
    RunCell(kind, {}, totals);
    for (const auto& planned : AllFaults()) {
      RunCell(kind, { planned }, totals);
    }
  }
  Print("single faults", totals);
  CHECK(totals.answered > totals.cells / 2);
  CHECK(totals.notRun > 0);
  CHECK(totals.unknown > 0);
}

TEST_CASE("no pair of faults in two attempts breaks a delivery guarantee",
          "[part2]")
{
  Totals totals;
  auto all = AllFaults();
  std::erase_if(all, [](const Planned& aPlanned) {
    return aPlanned.fault == Fault::ClaimsLost;
  });
  for (const auto& [kind, name] : kKinds) {
    for (const auto& first : all) {
      for (const auto& second : all) {
        RunCell(kind, { first, second }, totals);
      }
    }
  }
  Print("pairs", totals);
  CHECK(totals.answered > 0);
}

TEST_CASE("no faults of a send and its resend break a delivery guarantee",
          "[part3]")
{
  Totals totals;
  auto all = AllFaults();
  std::erase_if(all, [](const Planned& aPlanned) {
    return aPlanned.fault == Fault::ClaimsLost;
  });
  for (const auto& first : all) {
    for (const auto& second : all) {
      RunCell(Kind::Keyed, { first }, totals, { second });
    }
  }
  Print("send and resend", totals);
  CHECK(totals.answered > 0);
}
