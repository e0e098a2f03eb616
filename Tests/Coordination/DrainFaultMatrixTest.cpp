#include "Coordination/Admission.h"
#include "Tests/Coordination/CallFixtures.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <map>

using namespace teaselhold;
using namespace teaselhold::test;

namespace {

/// Steps of draining an upstream that has one running and one queued request.
enum class Step : std::uint8_t
{
  Begin,
  Announce,
  NewRequest,
  RunningEnds,
  QueuedRuns,
  Idle,
};

constexpr std::array<state::EnumName<Step>, 6> kSteps{ {
  { Step::Begin, "begin" },
  { Step::Announce, "announce" },
  { Step::NewRequest, "new request" },
  { Step::RunningEnds, "running request ends" },
  { Step::QueuedRuns, "queued request runs" },
  { Step::Idle, "idle" },
} };

enum class Fault : std::uint8_t
{
  AnnouncementLost,
  NodeKilled,
  UpstreamCrashed,
  DeadlinePassed,
  CallerGivesUp,
  CallerSendsAgain,
  OtherUpstreamRefuses,
  OtherUpstreamDown,
  SecondDrain,
  ConfigurationChanged,
};

constexpr std::array<state::EnumName<Fault>, 10> kFaults{ {
  { Fault::AnnouncementLost, "announcement lost" },
  { Fault::NodeKilled, "node killed" },
  { Fault::UpstreamCrashed, "upstream crashed" },
  { Fault::DeadlinePassed, "deadline passed" },
  { Fault::CallerGivesUp, "caller gives up" },
  { Fault::CallerSendsAgain, "caller sends again" },
  { Fault::OtherUpstreamRefuses, "other upstream refuses" },
  { Fault::OtherUpstreamDown, "other upstream down" },
  { Fault::SecondDrain, "second drain" },
  { Fault::ConfigurationChanged, "configuration changed" },
} };

struct PlannedFault
{
  Step step;
  Fault fault;
};

constexpr std::uint64_t kRunningRequest = 1;
constexpr std::uint64_t kQueuedRequest = 2;
constexpr state::Instant kStartTime = 60s;

/// Drains upstream "a" while "b" is the other upstream of the service. Both use
/// the real Admission; a CallSession routes new requests between them.
class Drain
{
public:
  Drain(bool aIsIdempotent, std::vector<PlannedFault> aPlan)
    : isIdempotent_(aIsIdempotent)
    , plan_(std::move(aPlan))
  {
    a_.SetState(state::EndpointState::Ready, 0s);
    b_.SetState(state::EndpointState::Ready, 0s);
    Decide(a_, kRunningRequest);
    Decide(a_, kQueuedRequest);
  }

  std::string Run()
  {
    ApplyFaultsAt(Step::Begin);
    Release(a_.SetState(state::EndpointState::Draining, now_));
    draining_ = true;
    ApplyFaultsAt(Step::Announce);
    if (!announcementLost_) {
      Announce(state::EndpointState::Draining);
    }
    ApplyFaultsAt(Step::NewRequest);
    SendNewRequest();
    ApplyFaultsAt(Step::RunningEnds);
    FinishRequest(kRunningRequest);
    ApplyFaultsAt(Step::QueuedRuns);
    FinishRequest(kQueuedRequest);
    ApplyFaultsAt(Step::Idle);
    Announce(state::EndpointState::Gone);
    SendNewRequest();
    return FindViolation();
  }

  unsigned answered = 0;

private:
  void ApplyFaultsAt(Step aStep)
  {
    for (const auto& planned : plan_) {
      if (planned.step == aStep) {
        Apply(planned.fault);
      }
    }
  }

  bool HasFault(Fault aFault) const
  {
    return std::ranges::any_of(plan_, [&](const PlannedFault& aPlanned) {
      return aPlanned.fault == aFault;
    });
  }

  void Apply(Fault aFault)
  {
    switch (aFault) {
      case Fault::AnnouncementLost:
        announcementLost_ = true;
        break;
      case Fault::NodeKilled:
        aIsDown_ = true;
        running_.clear();
        break;
      case Fault::UpstreamCrashed:
        // The running request is lost; the queued one is refused.
        running_.erase(kRunningRequest);
        Release(a_.SetState(state::EndpointState::Starting, now_));
        Release(a_.Finish(kRunningRequest, now_));
        break;
      case Fault::DeadlinePassed:
        now_ += 1s;
        Release(a_.Expire(now_));
        break;
      case Fault::CallerGivesUp:
        givenUp_ = true;
        running_.erase(kQueuedRequest);
        Release(a_.Finish(kQueuedRequest, now_));
        break;
      case Fault::CallerSendsAgain:
        SendNewRequest();
        break;
      case Fault::OtherUpstreamRefuses:
        b_.SetState(state::EndpointState::Starting, now_);
        break;
      case Fault::OtherUpstreamDown:
        bIsDown_ = true;
        break;
      case Fault::SecondDrain:
        Release(a_.SetState(state::EndpointState::Draining, now_));
        break;
      case Fault::ConfigurationChanged:
        configuration_ = MakeConfiguration(2);
        break;
    }
  }

  void Announce(state::EndpointState aState)
  {
    auto record = MakeEndpoint("a");
    record.sequence = 2;
    record.state = aState;
    table_ = MakeTable({ record, MakeEndpoint("b", "bud2") });
  }

  AdmissionDecision Decide(Admission& aAdmission, std::uint64_t aId)
  {
    const auto decision = aAdmission.Decide(
      { aId, state::RequestClass::Order, "", 0, now_ + 500ms }, now_);
    if (std::holds_alternative<Admit>(decision)) {
      ++runs_[aId];
      running_.insert(aId);
    }
    if (draining_ && &aAdmission == &a_) {
      admittedWhileDraining_ |= !std::holds_alternative<NotRun>(decision);
    }
    return decision;
  }

  void Release(const std::vector<AdmissionRelease>& aReleases)
  {
    for (const auto& release : aReleases) {
      if (release.refused) {
        refused_[release.id] = *release.refused;
      } else {
        ++runs_[release.id];
        running_.insert(release.id);
      }
    }
  }

  void FinishRequest(std::uint64_t aId)
  {
    if (running_.erase(aId) > 0) {
      ++finished_[aId];
      Release(a_.Finish(aId, now_));
    }
  }

  /// Sends a new request from a node that has the last announced table.
  void SendNewRequest()
  {
    const auto id = ++lastId_;
    CallSession session(MakeFacts(isIdempotent_),
                        MakeSnapshot(table_, configuration_),
                        environment_);
    auto step = session.Start(now_);
    while (!std::holds_alternative<Respond>(step)) {
      if (const auto* backoff = std::get_if<BackoffStep>(&step)) {
        now_ = backoff->until;
        step = session.Resume(now_);
        continue;
      }
      const bool toA = NodeOf(step) == "a";
      step = session.Finish(DeliverRequest(toA, id), now_);
    }
    const auto& outcome = std::get<Respond>(step).outcome;
    const bool isAnswered = std::holds_alternative<Answered>(outcome);
    answered += isAnswered ? 1 : 0;
    reportedNotRunButRan_ |=
      std::holds_alternative<NotRun>(outcome) && runs_[id] > 0;
    ranTwice_ |= runs_[id] > 1;
    const bool bServes = !bIsDown_ && b_.InFlight() == 0;
    const bool bReady = bServes && !HasFault(Fault::OtherUpstreamRefuses);
    lostNewRequest_ |= draining_ && bReady && !isAnswered;
  }

  Outcome DeliverRequest(bool aToA, std::uint64_t aId)
  {
    if (aToA ? aIsDown_ : bIsDown_) {
      return NotRun{ NotRunReason::ConnectFailed };
    }
    auto& admission = aToA ? a_ : b_;
    const auto decision = Decide(admission, aId);
    if (const auto* refused = std::get_if<NotRun>(&decision)) {
      return *refused;
    }
    // Before the drain the request may wait at "a" until the caller's deadline.
    if (std::holds_alternative<Queued>(decision)) {
      admission.Finish(aId, now_);
      return Unknown{ UnknownReason::Timeout };
    }
    running_.erase(aId);
    Release(admission.Finish(aId, now_));
    return Answered{ 200 };
  }

  std::string FindViolation()
  {
    if (admittedWhileDraining_) {
      return "a draining upstream admitted a new request";
    }
    if (ranTwice_ || runs_[kQueuedRequest] > 1) {
      return "a request ran twice";
    }
    if (reportedNotRunButRan_ ||
        (refused_.contains(kQueuedRequest) && runs_[kQueuedRequest])) {
      return "a request was reported as not-run but ran";
    }
    if (lostNewRequest_) {
      return "a new request was not served by the other upstream";
    }
    const bool mayRefuse =
      HasFault(Fault::UpstreamCrashed) || HasFault(Fault::DeadlinePassed);
    if (refused_.contains(kQueuedRequest) && !mayRefuse) {
      return "the drain refused a waiting request";
    }
    const bool interrupted = !aIsDown_ && !givenUp_ &&
                             !refused_.contains(kQueuedRequest) &&
                             finished_[kQueuedRequest] == 0;
    if (interrupted) {
      return "a waiting request neither ran nor was refused";
    }
    const bool isIdle = a_.InFlight() == 0 && a_.Waiting() == 0;
    return isIdle || aIsDown_ ? "" : "the drain does not end";
  }

  bool isIdempotent_;
  std::vector<PlannedFault> plan_;
  Admission a_{ AdmissionOptions{ 1, 4, false } };
  Admission b_{ AdmissionOptions{ 4, 4, false } };
  CallEnvironment environment_ = MakeEnvironment();
  EndpointTablePointer table_ =
    MakeTable({ MakeEndpoint("a"), MakeEndpoint("b", "bud2") });
  state::ConfigurationPointer configuration_ = MakeConfiguration();
  state::Instant now_ = kStartTime;
  std::set<std::uint64_t> running_;
  std::map<std::uint64_t, unsigned> runs_;
  std::map<std::uint64_t, unsigned> finished_;
  std::map<std::uint64_t, NotRunReason> refused_;
  std::uint64_t lastId_ = 10;
  bool draining_ = false;
  bool announcementLost_ = false;
  bool aIsDown_ = false;
  bool bIsDown_ = false;
  bool givenUp_ = false;
  bool admittedWhileDraining_ = false;
  bool ranTwice_ = false;
  bool reportedNotRunButRan_ = false;
  bool lostNewRequest_ = false;
};

} // namespace

TEST_CASE("no fault and no pair of faults breaks the guarantees of a drain")
{
  std::vector<PlannedFault> all;
  for (const auto& [step, stepName] : kSteps) {
    for (const auto& [fault, faultName] : kFaults) {
      all.push_back({ step, fault });
    }
  }
  std::size_t cells = 0;
  std::size_t answered = 0;
  const auto run = [&](const std::vector<PlannedFault>& aPlan) {
    for (const bool isIdempotent : { false, true }) {
      Drain drain(isIdempotent, aPlan);
      const auto violation = drain.Run();
      ++cells;
      answered += drain.answered;
      if (!violation.empty()) {
        std::string text;
        for (const auto& planned : aPlan) {
          text.append(state::FindEnumName(kFaults, planned.fault));
          text.append(" at ").append(state::FindEnumName(kSteps, planned.step));
          text.append("; ");
        }
        FAIL_CHECK(text + violation);
      }
    }
  };
  run({});
  for (const auto& first : all) {
    run({ first });
    for (const auto& second : all) {
      run({ first, second });
    }
  }
  std::cout << "drain fault matrix: " << cells << " cells, " << answered
            << " new requests answered\n";
  CHECK(answered > cells);
}
