#pragma once

#include "Coordination/Admission.h"
#include "Coordination/CallSession.h"
#include "Tests/LoadModel/Scenario.h"

#include <functional>
#include <queue>
#include <random>

namespace teaselhold::model {

/// Discrete-event simulation of callers, nodes and upstreams. It uses the
/// production code for all decisions (CallSession, Router, Admission,
/// ChooseRetryDelay), but no network and no real clock. A seed always gives the
/// same result.
class LoadModel
{
public:
  explicit LoadModel(Scenario aScenario);
  ~LoadModel();
  LoadModel(const LoadModel&) = delete;
  LoadModel& operator=(const LoadModel&) = delete;

  ModelResult Run();

private:
  struct Event
  {
    state::Instant at;
    std::uint64_t sequence;
    std::function<void()> action;

    bool operator>(const Event& aOther) const
    {
      return std::tie(at, sequence) > std::tie(aOther.at, aOther.sequence);
    }
  };
  struct Caller;
  struct Call;
  struct Node;
  using CallerPointer = std::shared_ptr<Caller>;
  using CallPointer = std::shared_ptr<Call>;

  void Schedule(state::Instant aAt, std::function<void()> aAction);
  double Uniform() { return uniform_(random_); }
  coordination::RoutingSnapshotPointer MakeSnapshot() const;
  void ScheduleArrival(std::size_t aRoute, state::Instant aAfter);
  double RateAt(std::size_t aRoute, state::Instant aNow) const;
  void Send(const CallerPointer& aCaller);
  void HandleStep(const CallPointer& aCall,
                  const coordination::CallStep& aStep);
  void Arrive(const CallPointer& aCall, const coordination::Attempt& aAttempt);
  void StartWork(std::size_t aNode, std::uint64_t aId);
  void FinishWork(std::size_t aNode,
                  std::uint64_t aId,
                  state::Duration aServiceTime);
  void Release(std::size_t aNode,
               const std::vector<coordination::AdmissionRelease>& aReleases);
  void ScheduleExpiry(std::size_t aNode);
  void DeliverOutcome(const CallPointer& aCall,
                      std::size_t aNode,
                      const coordination::Outcome& aOutcome,
                      state::Duration aServiceTime);
  void Respond(const CallPointer& aCall, const coordination::Outcome& aOutcome);
  void OnRefused(const CallerPointer& aCaller,
                 const coordination::NotRun& aRefusal);
  ModelResult Summarize() const;

  Scenario scenario_;
  std::mt19937_64 random_;
  std::uniform_real_distribution<double> uniform_{ 0, 1 };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t nextSequence_ = 0;
  std::uint64_t lastRequestId_ = 0;
  state::Instant now_{ 0 };
  coordination::RoutingSnapshotPointer snapshot_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<RouteResult> results_;
};

} // namespace teaselhold::model
