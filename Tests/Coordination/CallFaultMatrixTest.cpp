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

struct PlannedFault
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
  LateArrival lateArrival;
  /// If true, the peer is asked after a lost connection or a timeout whether
  /// the request arrived, and a store write whose response is lost is applied
  /// late. If false, nobody is asked and the write is processed immediately.
  bool asksPeer;
};

std::vector<Variant>
AllVariants()
{
  std::vector<Variant> variants;
  for (const auto lateArrival : { LateArrival::DuringNextAttempt,
                                  LateArrival::BeforeResend,
                                  LateArrival::AfterResend }) {
    variants.push_back({ lateArrival, false });
    variants.push_back({ lateArrival, true });
  }
  return variants;
}

const std::vector<Variant> kVariants = AllVariants();

/// Network faults that affect one attempt.
struct AttemptFaults
{
  std::optional<PlannedFault> planned;
  bool connectFails = false;
  bool lostBeforeSend = false;
  bool isDelayed = false;
  bool responseLost = false;
  bool timesOut = false;
  bool crossed = false;
  bool partial = false;
};

struct CallResult
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
class CallSimulation
{
public:
  CallSimulation(Kind aKind, Variant aVariant)
    : kind_(aKind)
    , variant_(aVariant)
  {
    for (const std::string name : { "a", "b", "c", "d" }) {
      executors_.emplace(name, runCounts_);
    }
  }

  /// The caller sends the request through one of the entry nodes.
  CallResult Send(unsigned aEntry, std::vector<PlannedFault> aPlan)
  {
    CallResult result;
    result.send = ++lastSend_;
    result.runsBefore = runCounts_.totalRuns;
    auto facts =
      MakeFacts(kind_ == Kind::Idempotent, kind_ == Kind::Keyed ? "key" : "");
    facts.deadline = now_ + 1s;
    auto& environment = entries_[aEntry];
    AttemptFaults faults = FaultsOfAttempt(aPlan, 0);
    InjectFault(Step::Route, faults, "a");
    CallSession session(facts, snapshot_, environment);
    auto step = session.Start(now_);
    while (!std::holds_alternative<Respond>(step)) {
      step = ExecuteStep(session, step, aEntry, aPlan, faults, result);
    }
    result.outcome = std::get<Respond>(step).outcome;
    results_.push_back(result);
    return result;
  }

  /// Applies the delayed store write and delivers the delayed requests, except
  /// to executors that restarted after the request was sent.
  void DeliverDelayed()
  {
    store_.ApplyDelayedWrite();
    for (auto& [node, incarnation, delivery] :
         std::exchange(delayedDeliveries_, {})) {
      // A request carries its remaining time, so the delay alone does not make
      // it miss its deadline.
      delivery.deadline = now_ + 1s;
      auto& executor = executors_.at(node);
      if (executor.incarnation == incarnation) {
        executor.Deliver(delivery, now_, [](ExecutorStep) {});
      }
    }
  }

  void ClearFaults()
  {
    store_.down = false;
    store_.callsToFail = 0;
    store_.responsesToLose = 0;
    store_.delayNextWrite = false;
    now_ += 60s;
  }

  const std::vector<CallResult>& Results() const { return results_; }
  const RunCounts& Counts() const { return runCounts_; }

private:
  struct DelayedDelivery
  {
    std::string node;
    std::uint64_t incarnation;
    Delivery delivery;
  };

  static AttemptFaults FaultsOfAttempt(const std::vector<PlannedFault>& aPlan,
                                       unsigned aAttempt)
  {
    AttemptFaults faults;
    if (aAttempt < aPlan.size()) {
      faults.planned = aPlan[aAttempt];
    }
    return faults;
  }

  CallStep ExecuteStep(CallSession& aSession,
                       const CallStep& aStep,
                       unsigned aEntry,
                       const std::vector<PlannedFault>& aPlan,
                       AttemptFaults& aFaults,
                       CallResult& aResult)
  {
    if (const auto* backoff = std::get_if<BackoffStep>(&aStep)) {
      now_ = std::max(now_, backoff->until);
      return aSession.Resume(now_);
    }
    if (const auto* claim = std::get_if<ClaimStep>(&aStep)) {
      InjectFault(Step::Pick, aFaults, "a");
      return aSession.FinishClaim(store_.Call(*claim), now_);
    }
    const auto& attempt = std::get<Attempt>(aStep);
    const auto reply = Exchange(attempt, aEntry, aFaults, aResult);
    aResult.content = reply.content;
    ++aResult.attempts;
    aFaults = FaultsOfAttempt(aPlan, aResult.attempts);
    InjectFault(Step::Route, aFaults, attempt.endpoint->node);
    const bool answered = std::holds_alternative<Answered>(reply.outcome);
    return aSession.Finish(
      reply.outcome, now_, answered ? attempt.retriesLeft : 0);
  }

  Reply Exchange(const Attempt& aAttempt,
                 unsigned aEntry,
                 AttemptFaults& aFaults,
                 const CallResult& aResult)
  {
    const auto& node = aAttempt.endpoint->node;
    auto& executor = executors_.at(node);
    const auto incarnation = executor.incarnation;
    const Delivery delivery{
      aResult.send,  ContentOf(aResult.send),  "entry" + std::to_string(aEntry),
      ++lastNumber_, aAttempt.carriedDeadline, aAttempt.claim
    };
    auto reply = Transfer(delivery, node, aFaults);
    if (variant_.lateArrival == LateArrival::DuringNextAttempt) {
      // Delayed requests of earlier attempts arrive now; one of this attempt
      // stays delayed.
      std::vector<DelayedDelivery> own;
      if (!delayedDeliveries_.empty() &&
          delayedDeliveries_.back().delivery.number == delivery.number) {
        own.push_back(delayedDeliveries_.back());
        delayedDeliveries_.pop_back();
      }
      DeliverDelayed();
      delayedDeliveries_ = std::move(own);
    }
    if (executor.incarnation != incarnation && !aFaults.connectFails) {
      reply = { Unknown{ UnknownReason::ConnectionLost }, "" };
    }
    if (aFaults.timesOut) {
      now_ = std::max(now_, aAttempt.deadline);
    }
    if (executor.isUpstreamCrashed) {
      executor.RestartUpstream(now_);
    }
    return AskPeer(reply, delivery, executor, aAttempt.endpoint->incarnation);
  }

  Reply Transfer(const Delivery& aDelivery,
                 const std::string& aNode,
                 AttemptFaults& aFaults)
  {
    auto& executor = executors_.at(aNode);
    InjectFault(Step::Pick, aFaults, aNode);
    InjectFault(Step::Connect, aFaults, aNode);
    if (aFaults.connectFails) {
      return { NotRun{ NotRunReason::ConnectFailed }, "" };
    }
    InjectFault(Step::Send, aFaults, aNode);
    if (aFaults.isDelayed) {
      delayedDeliveries_.push_back({ aNode, executor.incarnation, aDelivery });
    }
    if (aFaults.isDelayed || aFaults.lostBeforeSend) {
      return LostResponse(aFaults);
    }
    const auto reply =
      executor.Deliver(aDelivery, now_, [&](ExecutorStep aStep) {
        const auto first = static_cast<std::uint8_t>(Step::Admission);
        const auto offset = static_cast<std::uint8_t>(aStep);
        InjectFault(static_cast<Step>(first + offset), aFaults, aNode);
      });
    InjectFault(Step::Return, aFaults, aNode);
    if (aFaults.crossed) {
      return { Unknown{ UnknownReason::CrossedAnswer }, "answer to another" };
    }
    if (aFaults.partial) {
      return { Unknown{ UnknownReason::PartialAnswer }, "answ" };
    }
    return aFaults.responseLost || aFaults.timesOut ? LostResponse(aFaults)
                                                    : reply;
  }

  static Reply LostResponse(const AttemptFaults& aFaults)
  {
    return { Unknown{ aFaults.timesOut ? UnknownReason::Timeout
                                       : UnknownReason::ConnectionLost },
             "" };
  }

  Reply AskPeer(const Reply& aReply,
                const Delivery& aDelivery,
                FakeExecutor& aExecutor,
                std::uint64_t aAskedIncarnation) const
  {
    const auto* unknown = std::get_if<Unknown>(&aReply.outcome);
    const bool asksPeer = variant_.asksPeer && unknown != nullptr &&
                          (unknown->reason == UnknownReason::ConnectionLost ||
                           unknown->reason == UnknownReason::Timeout);
    if (asksPeer &&
        aExecutor.arrivals->Ask(
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
  void InjectFault(Step aStep, AttemptFaults& aFaults, const std::string& aNode)
  {
    if (!aFaults.planned || aFaults.planned->step != aStep) {
      return;
    }
    const auto fault = aFaults.planned->fault;
    aFaults.planned.reset();
    if (!ApplyToNetwork(fault, aStep, aFaults)) {
      ApplyToComponents(fault, aStep, aFaults, executors_.at(aNode));
    }
  }

  static bool ApplyToNetwork(Fault aFault, Step aStep, AttemptFaults& aFaults)
  {
    const bool unsent = aStep <= Step::Send;
    switch (aFault) {
      case Fault::ConnectionRefused:
        aFaults.connectFails = aStep <= Step::Connect;
        aFaults.lostBeforeSend = aStep == Step::Send;
        aFaults.responseLost = true;
        return true;
      case Fault::LostBeforeSend:
        aFaults.lostBeforeSend = unsent;
        aFaults.responseLost = true;
        return true;
      case Fault::LostAfterSend:
        aFaults.responseLost = true;
        return true;
      case Fault::SilentConnection:
        aFaults.isDelayed = unsent;
        aFaults.responseLost = true;
        return true;
      case Fault::LateAnswer:
        aFaults.timesOut = true;
        return true;
      case Fault::NodePaused:
        aFaults.isDelayed = unsent;
        aFaults.timesOut = true;
        return true;
      case Fault::CrossedAnswer:
        aFaults.crossed = true;
        return true;
      case Fault::PartialAnswer:
        aFaults.partial = true;
        return true;
      default:
        return false;
    }
  }

  void ApplyToComponents(Fault aFault,
                         Step aStep,
                         AttemptFaults& aFaults,
                         FakeExecutor& aExecutor)
  {
    bool lost = false;
    switch (aFault) {
      case Fault::NodeKilled:
        aFaults.connectFails = aStep <= Step::Connect;
        aExecutor.Restart();
        break;
      case Fault::UpstreamCrashed:
        aExecutor.CrashUpstream(now_);
        break;
      case Fault::UpstreamDraining:
        aExecutor.admission->SetState(state::EndpointState::Draining, now_);
        break;
      case Fault::UpstreamShed:
        aExecutor.shedsRequests = true;
        break;
      case Fault::DeadlinePassed:
        now_ += 1s;
        break;
      case Fault::StoreDown:
        store_.callsToFail = 2;
        break;
      case Fault::StoreAnswerLost:
        (variant_.asksPeer ? store_.delayNextWrite : lost) = true;
        store_.responsesToLose = lost ? 1 : 0;
        break;
      case Fault::LeaseLapsed:
        store_.ExpireLeases();
        break;
      case Fault::ClaimsLost:
        store_.RemoveClaims();
        break;
      case Fault::CallerSendsAgain:
        Send(1, {});
        break;
      case Fault::ConfigurationChanged:
        snapshot_ = kChangedSnapshot;
        entries_[0].router.SetEndpoints(snapshot_->endpoints, now_);
        break;
      default:
        break;
    }
  }

  Kind kind_;
  Variant variant_;
  RunCounts runCounts_;
  FakeClaimStore store_;
  std::array<CallEnvironment, 2> entries_{ MakeEnvironment("one"),
                                           MakeEnvironment("two") };
  std::map<std::string, FakeExecutor> executors_;
  RoutingSnapshotPointer snapshot_ = kSnapshot;
  std::vector<DelayedDelivery> delayedDeliveries_;
  std::vector<CallResult> results_;
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
FindViolation(Kind aKind, const CallSimulation& aSimulation)
{
  const auto& counts = aSimulation.Counts();
  if (aKind == Kind::Keyed && counts.totalRuns > 1) {
    return "the key ran " + std::to_string(counts.totalRuns) + " times";
  }
  for (const auto& result : aSimulation.Results()) {
    const auto found = counts.runsBySend.find(result.send);
    const auto runs = found == counts.runsBySend.end() ? 0U : found->second;
    const auto name = "send " + std::to_string(result.send);
    if (aKind != Kind::Idempotent && runs > 1) {
      return name + " ran more than once";
    }
    if (result.attempts > RetryPolicy::kMaxAttempts) {
      return name + " exceeded the limit of attempts";
    }
    if (const auto* notRun = std::get_if<NotRun>(&result.outcome)) {
      const bool coversEarlier =
        aKind == Kind::Keyed &&
        notRun->reason != NotRunReason::ClaimUnavailable;
      if (runs > 0 || (coversEarlier && result.runsBefore > 0)) {
        return name + " was reported as not run but ran";
      }
    }
    if (std::holds_alternative<Answered>(result.outcome)) {
      const auto expected =
        aKind == Kind::Keyed ? "key" : "send " + std::to_string(result.send);
      if (result.content != "answer to " + expected || counts.totalRuns == 0) {
        return name + " got a wrong response: " + result.content;
      }
    }
  }
  return "";
}

std::string
Describe(Kind aKind, Variant aVariant, const std::vector<PlannedFault>& aPlan)
{
  std::string text(state::FindEnumName(kKinds, aKind));
  text += ", late " + std::to_string(static_cast<int>(aVariant.lateArrival));
  text += aVariant.asksPeer ? ", asks" : "";
  for (const auto& planned : aPlan) {
    text.append("; ").append(state::FindEnumName(kFaults, planned.fault));
    text.append(" at ").append(state::FindEnumName(kSteps, planned.step));
  }
  return text;
}

/// @param aResendPlan faults of the resend of a keyed request.
void
RunCell(Kind aKind,
        const std::vector<PlannedFault>& aPlan,
        Totals& aTotals,
        const std::vector<PlannedFault>& aResendPlan = {})
{
  for (const auto variant : kVariants) {
    CallSimulation simulation(aKind, variant);
    const auto result = simulation.Send(0, aPlan);
    simulation.ClearFaults();
    if (variant.lateArrival != LateArrival::AfterResend) {
      simulation.DeliverDelayed();
    }
    if (aKind == Kind::Keyed) {
      simulation.Send(1, aResendPlan);
      simulation.ClearFaults();
      simulation.Send(0, {});
    }
    simulation.DeliverDelayed();
    const auto violation = FindViolation(aKind, simulation);
    if (!violation.empty()) {
      FAIL_CHECK(Describe(aKind, variant, aPlan) + "; resend: " +
                 Describe(aKind, variant, aResendPlan) + ": " + violation);
    }
    ++aTotals.cells;
    aTotals.answered +=
      std::holds_alternative<Answered>(result.outcome) ? 1 : 0;
    aTotals.notRun += std::holds_alternative<NotRun>(result.outcome) ? 1 : 0;
    aTotals.unknown += std::holds_alternative<Unknown>(result.outcome) ? 1 : 0;
  }
}

std::vector<PlannedFault>
AllFaults()
{
  std::vector<PlannedFault> all;
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

TEST_CASE("no faults in consecutive attempts break a delivery guarantee",
          "[part2]")
{
  Totals totals;
  auto all = AllFaults();
  std::erase_if(all, [](const PlannedFault& aPlanned) {
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
  std::erase_if(all, [](const PlannedFault& aPlanned) {
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
