#include "Tests/LoadModel/LoadModel.h"

#include <algorithm>
#include <cmath>

namespace teaselhold::model {

namespace {

using namespace coordination;

constexpr const char* kService = "served";
/// Callers wait for the requested delay, but at most this fraction of the time
/// left until their deadline.
constexpr double kMaxWaitFraction = 1.0 / 3;
constexpr unsigned kImpatientFactor = 4;
constexpr state::Duration kExpireInterval = std::chrono::milliseconds(20);
constexpr std::uint32_t kQueuePerSlot = 4;

std::string
NodeName(std::size_t aIndex)
{
  return "node-" + std::to_string(aIndex);
}

} // namespace

struct LoadModel::Caller
{
  std::size_t route;
  std::size_t node;
  state::Instant firstSend;
  state::Instant deadline;
  unsigned sendsLeft;
  bool isImpatient;
  bool wasRefused = false;
};

struct LoadModel::Call
{
  CallerPointer caller;
  CallSession session;
  EndpointPointer endpoint;
};

/// The node beside one upstream, which also receives the requests of callers.
struct LoadModel::Node
{
  Node(std::size_t aIndex, const Scenario& aScenario)
    : environment({ NodeName(aIndex), "dc", "region", aIndex + 1, false },
                  aIndex + 1,
                  kService)
    , admission(AdmissionOptions{ aScenario.slots,
                                  aScenario.slots * kQueuePerSlot,
                                  false,
                                  false })
  {
    environment.policy = CallPolicy::WithLoadReports();
    admission.SetState(state::EndpointState::Ready, state::Instant{ 0 });
  }

  CallEnvironment environment;
  Admission admission;
  std::map<std::uint64_t, CallPointer> calls;
  bool hasScheduledExpiry = false;
};

LoadModel::LoadModel(Scenario aScenario)
  : scenario_(std::move(aScenario))
  , random_(scenario_.seed)
  , snapshot_(MakeSnapshot())
  , results_(scenario_.routes.size())
{
  for (std::size_t index = 0; index < scenario_.nodes; ++index) {
    nodes_.push_back(std::make_unique<Node>(index, scenario_));
  }
}

LoadModel::~LoadModel() = default;

RoutingSnapshotPointer
LoadModel::MakeSnapshot() const
{
  state::ConfigurationBuilder builder;
  builder.AddService({ kService, {}, true });
  for (const auto& load : scenario_.routes) {
    using Milliseconds = std::chrono::milliseconds;
    state::RouteSpec route;
    route.name = load.name;
    route.method = state::kAnyMethod;
    route.pathPrefix = "/" + load.name;
    route.service = kService;
    route.requestClass = load.requestClass;
    route.isIdempotent = load.isIdempotent;
    route.timeout = std::chrono::duration_cast<Milliseconds>(load.timeout);
    route.latencyObjective =
      std::chrono::duration_cast<Milliseconds>(load.objective);
    builder.AddRoute(std::move(route));
  }
  auto table = std::make_shared<state::EndpointTable>();
  for (std::size_t index = 0; index < scenario_.nodes; ++index) {
    state::EndpointRecord record;
    record.node = NodeName(index);
    record.incarnation = 1;
    record.sequence = 1;
    record.service = kService;
    record.dataCentre = "dc";
    record.region = "region";
    record.state = state::EndpointState::Ready;
    record.slots = scenario_.slots;
    table->Merge(record);
  }
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->configuration = *builder.Build();
  snapshot->endpoints = std::move(table);
  return snapshot;
}

void
LoadModel::Schedule(state::Instant aAt, std::function<void()> aAction)
{
  events_.push({ aAt, nextSequence_++, std::move(aAction) });
}

ModelResult
LoadModel::Run()
{
  for (std::size_t route = 0; route < scenario_.routes.size(); ++route) {
    ScheduleArrival(route, state::Instant{ 0 });
  }
  while (!events_.empty()) {
    const auto event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  return Summarize();
}

double
LoadModel::RateAt(std::size_t aRoute, state::Instant aNow) const
{
  const auto& burst = scenario_.burst;
  const bool isBurst = aNow >= burst.from && aNow < burst.until;
  return scenario_.routes[aRoute].requestsPerSecond *
         (isBurst ? burst.factor : 1);
}

void
LoadModel::ScheduleArrival(std::size_t aRoute, state::Instant aAfter)
{
  const std::chrono::duration<double> gap(-std::log(1 - Uniform()) /
                                          RateAt(aRoute, aAfter));
  const auto at = aAfter + std::chrono::duration_cast<state::Duration>(gap);
  if (at >= scenario_.duration) {
    return;
  }
  Schedule(at, [this, aRoute, at] {
    ScheduleArrival(aRoute, at);
    const auto& load = scenario_.routes[aRoute];
    const bool isImpatient = Uniform() < scenario_.impatientShare;
    const auto node =
      static_cast<std::size_t>(Uniform() * static_cast<double>(nodes_.size()));
    ++results_[aRoute].callers;
    Send(std::make_shared<Caller>(
      Caller{ aRoute,
              node,
              at,
              at + load.deadline,
              1 + load.retries * (isImpatient ? kImpatientFactor : 1),
              isImpatient }));
  });
}

void
LoadModel::Send(const CallerPointer& aCaller)
{
  --aCaller->sendsLeft;
  CallParameters facts;
  facts.method = "GET";
  facts.target = "/" + scenario_.routes[aCaller->route].name;
  facts.deadline = aCaller->deadline;
  auto& environment = nodes_[aCaller->node]->environment;
  const auto call = std::shared_ptr<Call>(
    new Call{ aCaller, { std::move(facts), snapshot_, environment }, {} });
  HandleStep(call, call->session.Start(now_));
}

void
LoadModel::HandleStep(const CallPointer& aCall, const CallStep& aStep)
{
  if (const auto* attempt = std::get_if<Attempt>(&aStep)) {
    aCall->endpoint = attempt->endpoint;
    Schedule(now_ + scenario_.hopLatency,
             [this, aCall, attempt = *attempt] { Arrive(aCall, attempt); });
  } else if (const auto* respond = std::get_if<coordination::Respond>(&aStep)) {
    Respond(aCall, respond->outcome);
  } else if (const auto* backoff = std::get_if<BackoffStep>(&aStep)) {
    Schedule(backoff->until,
             [this, aCall] { HandleStep(aCall, aCall->session.Resume(now_)); });
  }
}

void
LoadModel::Arrive(const CallPointer& aCall, const Attempt& aAttempt)
{
  std::size_t index = 0;
  while (NodeName(index) != aAttempt.endpoint->node) {
    ++index;
  }
  auto& node = *nodes_[index];
  AdmissionRequest request;
  request.id = ++lastRequestId_;
  request.requestClass = scenario_.routes[aCall->caller->route].requestClass;
  request.deadline = aAttempt.carriedDeadline;
  request.isFinalTry = aAttempt.isFinalTry;
  request.maxWait = aAttempt.maxWait;
  const auto decision = node.admission.Decide(request, now_);
  if (const auto* refused = std::get_if<NotRun>(&decision)) {
    DeliverOutcome(aCall, index, *refused, state::Duration{ 0 });
    return;
  }
  node.calls[request.id] = aCall;
  if (std::holds_alternative<Admit>(decision)) {
    StartWork(index, request.id);
    return;
  }
  if (const auto displaced = std::get<Queued>(decision).displaced) {
    Release(index, { { *displaced, NotRunReason::Shed } });
  }
  ScheduleExpiry(index);
}

void
LoadModel::ScheduleExpiry(std::size_t aNode)
{
  auto& node = *nodes_[aNode];
  if (node.hasScheduledExpiry || node.admission.Waiting() == 0) {
    return;
  }
  node.hasScheduledExpiry = true;
  Schedule(now_ + kExpireInterval, [this, aNode] {
    auto& expiring = *nodes_[aNode];
    expiring.hasScheduledExpiry = false;
    Release(aNode, expiring.admission.Expire(now_));
    ScheduleExpiry(aNode);
  });
}

void
LoadModel::StartWork(std::size_t aNode, std::uint64_t aId)
{
  const auto& load = scenario_.routes[nodes_[aNode]->calls[aId]->caller->route];
  const auto time = std::chrono::duration_cast<state::Duration>(
    load.serviceTime * (0.5 + Uniform()));
  Schedule(now_ + time,
           [this, aNode, aId, time] { FinishWork(aNode, aId, time); });
}

void
LoadModel::FinishWork(std::size_t aNode,
                      std::uint64_t aId,
                      state::Duration aServiceTime)
{
  auto& node = *nodes_[aNode];
  const auto call = node.calls[aId];
  node.calls.erase(aId);
  node.admission.RecordResult(aServiceTime, true, now_);
  Release(aNode, node.admission.Finish(aId, now_));
  constexpr unsigned kOk = 200;
  DeliverOutcome(call, aNode, Answered{ kOk }, aServiceTime);
}

void
LoadModel::Release(std::size_t aNode,
                   const std::vector<AdmissionRelease>& aReleases)
{
  auto& node = *nodes_[aNode];
  for (const auto& release : aReleases) {
    if (!release.refused) {
      StartWork(aNode, release.id);
      continue;
    }
    const auto call = node.calls[release.id];
    node.calls.erase(release.id);
    DeliverOutcome(
      call, aNode, NotRun{ *release.refused }, state::Duration{ 0 });
  }
}

void
LoadModel::DeliverOutcome(const CallPointer& aCall,
                          std::size_t aNode,
                          const Outcome& aOutcome,
                          state::Duration aServiceTime)
{
  auto report = nodes_[aNode]->admission.MakeLoadReport(now_);
  report.ownServiceTime = aServiceTime;
  Schedule(now_ + scenario_.hopLatency, [this, aCall, aOutcome, report] {
    const auto& caller = *aCall->caller;
    auto& environment = nodes_[caller.node]->environment;
    const auto endpoint = aCall->endpoint;
    const auto step = aCall->session.Finish(aOutcome, now_);
    environment.router.RecordLoadReport(*endpoint, report, now_);
    environment.serviceTimes.Record(scenario_.routes[caller.route].name,
                                    report.ownServiceTime);
    HandleStep(aCall, step);
  });
}

void
LoadModel::Respond(const CallPointer& aCall, const Outcome& aOutcome)
{
  const auto& caller = *aCall->caller;
  auto& result = results_[caller.route];
  if (const auto* refused = std::get_if<NotRun>(&aOutcome)) {
    OnRefused(aCall->caller, *refused);
  } else if (std::holds_alternative<Answered>(aOutcome)) {
    const auto& load = scenario_.routes[caller.route];
    const bool isInTime = now_ - caller.firstSend <= load.objective;
    ++(isInTime ? result.inTime : result.late);
  } else {
    ++result.unknown;
  }
}

void
LoadModel::OnRefused(const CallerPointer& aCaller, const NotRun& aRefusal)
{
  auto& result = results_[aCaller->route];
  result.refusedAgain += aCaller->wasRefused ? 1 : 0;
  aCaller->wasRefused = true;
  const auto left = aCaller->deadline - now_;
  if (aCaller->sendsLeft == 0 || left <= state::Duration{ 0 }) {
    ++result.refused;
    return;
  }
  const auto maxDelay = std::chrono::duration_cast<state::Duration>(
    std::chrono::duration<double>(left) * kMaxWaitFraction);
  const auto requestedDelay =
    ChooseRetryDelay(scenario_.retryDelays, aRefusal, Uniform());
  const auto wait = aCaller->isImpatient ? scenario_.hopLatency
                                         : std::min(requestedDelay, maxDelay);
  Schedule(now_ + wait, [this, aCaller] { Send(aCaller); });
}

ModelResult
LoadModel::Summarize() const
{
  ModelResult summary{ results_, 0, 0 };
  double maximumValue = 0;
  double achievedValue = 0;
  unsigned callers = 0;
  unsigned served = 0;
  for (std::size_t route = 0; route < results_.size(); ++route) {
    const auto& load = scenario_.routes[route];
    const auto& result = results_[route];
    maximumValue += load.inTimeValue * result.callers;
    achievedValue +=
      load.inTimeValue * result.inTime + load.lateValue * result.late;
    callers += result.callers;
    served += result.inTime + result.late;
  }
  summary.credit = maximumValue > 0 ? achievedValue / maximumValue : 1;
  summary.served = callers > 0 ? static_cast<double>(served) / callers : 1;
  return summary;
}

} // namespace teaselhold::model
