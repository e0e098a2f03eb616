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

struct Planned
{
  Step step;
  Fault fault;
};

constexpr std::uint64_t kRunning = 1;
constexpr std::uint64_t kQueued = 2;
constexpr state::Instant kWarm = 60s;

/// Drains upstream "a" while "b" is the other upstream of the service. Both use
/// the real Admission; a CallSession routes new requests between them.
class Drain
{
public:
  Drain(bool aIsIdempotent, std::vector<Planned> aPlan)
    : isIdempotent_(aIsIdempotent)
    , plan_(std::move(aPlan))
  {
    a_.SetState(state::EndpointState::Ready, 0s);
    b_.SetState(state::EndpointState::Ready, 0s);
    Decide(a_, kRunning);
    Decide(a_, kQueued);
  }

  std::string Run()
  {
    Reach(Step::Begin);
    Release(a_.SetState(state::EndpointState::Draining, now_));
    draining_ = true;
    Reach(Step::Announce);
    if (!announcementLost_) {
      Announce(state::EndpointState::Draining);
    }
    Reach(Step::NewRequest);
    Call();
    Reach(Step::RunningEnds);
    End(kRunning);
    Reach(Step::QueuedRuns);
    End(kQueued);
    Reach(Step::Idle);
    Announce(state::EndpointState::Gone);
    Call();
    return FindBrokenPromise();
  }

  unsigned answered = 0;

private:
  void Reach(Step aStep)
  {
    for (const auto& planned : plan_) {
      if (planned.step == aStep) {
        Apply(planned.fault);
      }
    }
  }

  bool Has(Fault aFault) const
  {
    return std::ranges::any_of(
      plan_, [&](const Planned& aPlanned) { return aPlanned.fault == aFault; });
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
        running_.erase(kRunning);
        Release(a_.SetState(state::EndpointState::Starting, now_));
        Release(a_.Finish(kRunning, now_));
        break;
      case Fault::DeadlinePassed:
        now_ += 1s;
        Release(a_.Expire(now_));
        break;
      case Fault::CallerGivesUp:
        givenUp_ = true;
        running_.erase(kQueued);
        Release(a_.Finish(kQueued, now_));
        break;
      case Fault::CallerSendsAgain:
        Call();
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

  void End(std::uint64_t aId)
  {
    if (running_.erase(aId) > 0) {
      ++finished_[aId];
      Release(a_.Finish(aId, now_));
    }
  }

  /// Sends a new request from a node that has the last announced table.
  void Call()
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
      step = session.Finish(Exchange(toA, id), now_);
    }
    const auto& outcome = std::get<Respond>(step).outcome;
    const bool isAnswered = std::holds_alternative<Answered>(outcome);
    answered += isAnswered ? 1 : 0;
    toldNotRunButRan_ |=
      std::holds_alternative<NotRun>(outcome) && runs_[id] > 0;
    ranTwice_ |= runs_[id] > 1;
    const bool bServes = !bIsDown_ && b_.InFlight() == 0;
    const bool bReady = bServes && !Has(Fault::OtherUpstreamRefuses);
    lostNewRequest_ |= draining_ && bReady && !isAnswered;
  }

  Outcome Exchange(bool aToA, std::uint64_t aId)
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
    if (std::holds_alternative<Wait>(decision)) {
      admission.Finish(aId, now_);
      return Unknown{ UnknownReason::Timeout };
    }
    running_.erase(aId);
    Release(admission.Finish(aId, now_));
    return Answered{ 200 };
  }

  std::string FindBrokenPromise()
  {
    if (admittedWhileDraining_) {
      return "a draining upstream admitted a new request";
    }
    if (ranTwice_ || runs_[kQueued] > 1) {
      return "a request ran twice";
    }
    if (toldNotRunButRan_ || (refused_.contains(kQueued) && runs_[kQueued])) {
      return "a request was reported as not-run but ran";
    }
    if (lostNewRequest_) {
      return "a new request was not served by the other upstream";
    }
    const bool mayRefuse =
      Has(Fault::UpstreamCrashed) || Has(Fault::DeadlinePassed);
    if (refused_.contains(kQueued) && !mayRefuse) {
      return "the drain refused a waiting request";
    }
    const bool interrupted = !aIsDown_ && !givenUp_ &&
                             !refused_.contains(kQueued) &&
                             finished_[kQueued] == 0;
    if (interrupted) {
      return "a waiting request neither ran nor was refused";
    }
    const bool isIdle = a_.InFlight() == 0 && a_.Waiting() == 0;
    return isIdle || aIsDown_ ? "" : "the drain does not end";
  }

  bool isIdempotent_;
  std::vector<Planned> plan_;
  Admission a_{ AdmissionOptions{ 1, 4, false } };
  Admission b_{ AdmissionOptions{ 4, 4, false } };
  CallEnvironment environment_ = MakeEnvironment();
  EndpointTablePointer table_ =
    MakeTable({ MakeEndpoint("a"), MakeEndpoint("b", "bud2") });
  state::ConfigurationPointer configuration_ = MakeConfiguration();
  state::Instant now_ = kWarm;
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
  bool toldNotRunButRan_ = false;
  bool lostNewRequest_ = false;
};

} // namespace

TEST_CASE("no fault and no pair of faults breaks the guarantees of a drain")
{
  std::vector<Planned> all;
  for (const auto& [step, stepName] : kSteps) {
    for (const auto& [fault, faultName] : kFaults) {
      all.push_back({ step, fault });
    }
  }
  std::size_t cells = 0;
  std::size_t answered = 0;
  const auto run = [&](const std::vector<Planned>& aPlan) {
    for (const bool isIdempotent : { false, true }) {
      Drain drain(isIdempotent, aPlan);
      const auto broken = drain.Run();
      ++cells;
      answered += drain.answered;
      if (!broken.empty()) {
        std::string text;
        for (const auto& planned : aPlan) {
          text.append(state::FindEnumName(kFaults, planned.fault));
          text.append(" at ").append(state::FindEnumName(kSteps, planned.step));
          text.append("; ");
        }
        FAIL_CHECK(text + broken);
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
