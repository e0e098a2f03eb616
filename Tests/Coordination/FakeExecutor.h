#pragma once

#include "Coordination/Admission.h"
#include "State/ArrivalLog.h"
#include "State/RunLedger.h"
#include "Tests/Coordination/CallFixtures.h"

#include <functional>
#include <map>

namespace teaselhold::test {

/// One request in transit to an executor.
struct Delivery
{
  /// Number of the caller's send that the request belongs to.
  unsigned send = 0;
  /// Content that the response must contain.
  std::string content;
  std::string peer;
  std::uint64_t number = 0;
  state::Instant deadline{ 0 };
  std::optional<ClaimTicket> claim;
};

struct Reply
{
  Outcome outcome;
  std::string content;
};

/// Counts the runs on all executors.
struct RunCounts
{
  std::map<unsigned, unsigned> runsBySend;
  unsigned totalRuns = 0;
};

enum class ExecutorStep : std::uint8_t
{
  Admission,
  Queue,
  UpstreamRun,
  Answer,
};

/// Simulates a node beside an upstream. Uses the production classes in the
/// same order as the daemon and counts runs. A hook at each step lets a test
/// inject a fault.
class FakeExecutor
{
public:
  using Hook = std::function<void(ExecutorStep)>;

  explicit FakeExecutor(RunCounts& aRunCounts)
    : runCounts_(aRunCounts)
  {
    Start();
  }

  /// Restarts the process as a new incarnation.
  void Restart()
  {
    ++incarnation;
    Start();
  }

  void CrashUpstream(state::Instant aNow)
  {
    isUpstreamCrashed = true;
    admission->SetState(state::EndpointState::Starting, aNow);
  }

  void RestartUpstream(state::Instant aNow)
  {
    isUpstreamCrashed = false;
    admission->SetState(state::EndpointState::Ready, aNow);
  }

  Reply Deliver(const Delivery& aDelivery, state::Instant aNow, Hook aHook)
  {
    const auto started = incarnation;
    const auto arrival =
      arrivals->Arrive(aDelivery.peer, aDelivery.number, aNow);
    if (arrival != state::ArrivalLog::Verdict::New) {
      return arrival == state::ArrivalLog::Verdict::Barred
               ? Reply{ NotRun{ NotRunReason::NeverArrived }, "" }
               : Reply{ Unknown{ UnknownReason::Forgotten }, "" };
    }
    if (aDelivery.claim && aDelivery.claim->incarnation != incarnation) {
      return { NotRun{ NotRunReason::WrongExecutor }, "" };
    }
    if (aDelivery.claim) {
      const auto verdict = ledger->Arrive({ "key",
                                            77,
                                            aDelivery.claim->epoch,
                                            aDelivery.claim->mayStart,
                                            aDelivery.number },
                                          aNow);
      if (!std::holds_alternative<state::StartRun>(verdict)) {
        return ReplyFromLedger(verdict);
      }
    }
    auto reply = Admit(aDelivery, aNow, aHook);
    const bool isRecorded = aDelivery.claim && incarnation == started;
    if (isRecorded) {
      Record(reply, aNow);
    }
    return reply;
  }

  std::uint64_t incarnation = 1;
  bool isUpstreamCrashed = false;
  /// The upstream refuses all requests and marks its responses as shed.
  bool shedsRequests = false;
  std::unique_ptr<Admission> admission;
  std::unique_ptr<state::RunLedger> ledger;
  std::unique_ptr<state::ArrivalLog> arrivals;

private:
  void Start()
  {
    isUpstreamCrashed = false;
    admission = std::make_unique<Admission>(AdmissionOptions{ 4, 4, true });
    admission->SetState(state::EndpointState::Ready, 0s);
    ledger = std::make_unique<state::RunLedger>();
    arrivals = std::make_unique<state::ArrivalLog>(incarnation);
  }

  static Reply ReplyFromLedger(const state::KeyedVerdict& aVerdict)
  {
    if (const auto* replay = std::get_if<state::ReplayAnswer>(&aVerdict)) {
      return { Answered{ replay->answer->status }, replay->answer->content };
    }
    if (std::holds_alternative<state::RefuseKey>(aVerdict)) {
      return { NotRun{ NotRunReason::KeyRefused }, "" };
    }
    if (std::holds_alternative<state::MismatchedKey>(aVerdict)) {
      return { NotRun{ NotRunReason::KeyMismatch }, "" };
    }
    // A joined delivery waits for the run; in this model its deadline always
    // passes first.
    return { Unknown{ UnknownReason::Timeout }, "" };
  }

  void Record(const Reply& aReply, state::Instant aNow)
  {
    if (std::holds_alternative<Answered>(aReply.outcome)) {
      ledger->Answer("key", { 200, aReply.content }, aNow);
    } else if (std::holds_alternative<NotRun>(aReply.outcome)) {
      ledger->Refuse("key", aNow);
    } else {
      ledger->Lose("key", aNow);
    }
  }

  Reply Admit(const Delivery& aDelivery, state::Instant aNow, const Hook& aHook)
  {
    const auto started = incarnation;
    aHook(ExecutorStep::Admission);
    if (incarnation != started) {
      return { Unknown{ UnknownReason::ConnectionLost }, "" };
    }
    const auto id = ++lastId_;
    const auto decision = admission->Decide(
      { id, state::RequestClass::Order, "", 0, aDelivery.deadline }, aNow);
    if (const auto* refused = std::get_if<NotRun>(&decision)) {
      return { *refused, "" };
    }
    aHook(ExecutorStep::Queue);
    if (incarnation != started) {
      return { Unknown{ UnknownReason::ConnectionLost }, "" };
    }
    if (isUpstreamCrashed) {
      admission->Finish(id, aNow);
      return { NotRun{ NotRunReason::Starting }, "" };
    }
    auto reply = Run(aDelivery, aHook);
    if (incarnation == started) {
      admission->Finish(id, aNow);
    }
    return reply;
  }

  Reply Run(const Delivery& aDelivery, const Hook& aHook)
  {
    const auto started = incarnation;
    ++runCounts_.runsBySend[aDelivery.send];
    ++runCounts_.totalRuns;
    aHook(ExecutorStep::UpstreamRun);
    if (incarnation != started) {
      return { Unknown{ UnknownReason::ConnectionLost }, "" };
    }
    if (isUpstreamCrashed) {
      return { Unknown{ UnknownReason::UpstreamCrashed }, "" };
    }
    if (shedsRequests) {
      --runCounts_.runsBySend[aDelivery.send];
      --runCounts_.totalRuns;
      return { admission->ClassifyAnswer(503, true), "" };
    }
    aHook(ExecutorStep::Answer);
    return { Answered{ 200 }, "answer to " + aDelivery.content };
  }

  RunCounts& runCounts_;
  std::uint64_t lastId_ = 0;
};

} // namespace teaselhold::test
