#include "Coordination/CallSession.h"

#include "Coordination/Links/LinkScheduler.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// Transfer time of a response between regions within a data centre group. If
/// it takes longer, the peer's own timeout response arrives too late, and only
/// the reason that it gives is lost.
constexpr state::Duration kDeadlineMargin = std::chrono::milliseconds(1);
/// Assumed for upstreams that have not reported their load.
constexpr state::Duration kDefaultServiceTime = std::chrono::milliseconds(120);
/// The longest wait for a slot if the request misses its latency objective
/// anyway.
constexpr state::Duration kMissedObjectiveMaxWait =
  std::chrono::milliseconds(150);
/// The part of the latency objective that is left for the way of a large answer
/// from the node beside the upstream to the caller.
constexpr int kAnswerTravelDivisor = 5;
/// Longer keys would exceed the size budgets of the store and the run ledger.
constexpr std::size_t kMaxKeyBytes = 256;

} // namespace

CallSession::CallSession(CallParameters aFacts,
                         RoutingSnapshotPointer aSnapshot,
                         CallEnvironment& aEnvironment)
  : facts_(std::move(aFacts))
  , snapshot_(std::move(aSnapshot))
  , environment_(aEnvironment)
{
}

CallSession::~CallSession()
{
  ReleaseEndpoint();
}

void
CallSession::ReleaseEndpoint()
{
  if (currentEndpoint_ != nullptr) {
    environment_.router.OnRequestAbandoned(*currentEndpoint_);
    currentEndpoint_.reset();
  }
}

bool
CallSession::IsReachable(const std::string& aService) const
{
  const auto& configuration = *snapshot_->configuration;
  const auto* target = configuration.FindService(aService);
  if (target == nullptr || target->isEntry) {
    return target != nullptr;
  }
  const auto* own = configuration.FindService(environment_.service);
  return own != nullptr && std::ranges::find(own->dependencies, aService) !=
                             own->dependencies.end();
}

std::optional<NotRunReason>
CallSession::RefusalReason() const
{
  if (facts_.depth > RetryPolicy::kMaxDepth) {
    return NotRunReason::DepthExceeded;
  }
  // No service has a share of the route's requests.
  if (service_.empty()) {
    return NotRunReason::NoUpstream;
  }
  if (!IsReachable(service_)) {
    return NotRunReason::ServiceNotReachable;
  }
  if (snapshot_->quarantined.contains(facts_.fingerprint)) {
    return NotRunReason::Quarantined;
  }
  if (IsKeyed() && facts_.idempotencyKey.size() > kMaxKeyBytes) {
    return NotRunReason::BadRequest;
  }
  return std::nullopt;
}

bool
CallSession::IsKeyed() const
{
  return !facts_.idempotencyKey.empty() && !route_->isIdempotent;
}

CallStep
CallSession::Start(state::Instant aNow)
{
  if (snapshot_ == nullptr || snapshot_->configuration == nullptr) {
    return Respond{ NotRun{ NotRunReason::NotReady }, facts_.retriesLeft };
  }
  route_ = snapshot_->configuration->FindRoute(
    facts_.method, facts_.target, facts_.host);
  if (route_ == nullptr) {
    return Respond{ NotRun{ NotRunReason::NoRoute }, facts_.retriesLeft };
  }
  service_ = environment_.targets.Pick(*route_);
  if (const auto reason = RefusalReason()) {
    return Respond{ NotRun{ *reason }, facts_.retriesLeft };
  }
  deadline_ =
    std::min(facts_.deadline, aNow + state::Duration(route_->timeout));
  answerBytes_ =
    static_cast<std::uint64_t>(environment_.answerSizes.Get(route_->name, 0));
  const bool isNested =
    environment_.nestedRoutes.Record(route_->name, facts_.mayBeNested);
  if (route_->latencyObjective.count() > 0 &&
      facts_.deadline != state::Instant::max()) {
    const auto& deadlines =
      environment_.callerDeadlines.Record(route_->name, facts_.deadline - aNow);
    objective_ = aNow + route_->latencyObjective - deadlines.elapsed;
    isFinalTry_ = isNested && deadlines.callerTimeout <= route_->timeout;
  }
  environment_.router.SetEndpoints(snapshot_->endpoints, aNow);
  environment_.budget.OnCall(service_, aNow);
  if (IsKeyed()) {
    return StartKeyed(aNow);
  }
  currentEndpoint_ = PickNext(aNow);
  return currentEndpoint_ == nullptr ? CallStep(End()) : Send(aNow);
}

CallStep
CallSession::Finish(const Outcome& aOutcome,
                    state::Instant aNow,
                    unsigned aReturnedRetries)
{
  environment_.router.OnRequestFinished(*currentEndpoint_, aOutcome, aNow);
  RecordArrival(aOutcome);
  triedEndpoints_.push_back(std::move(currentEndpoint_));
  currentEndpoint_.reset();
  ReclaimRetries(aOutcome, aReturnedRetries);
  lastOutcome_ = aOutcome;
  RecordRefusal(aOutcome);
  if (const auto* answered = std::get_if<Answered>(&aOutcome)) {
    if (!ShouldRetryAnswer(*answered)) {
      return Respond{ aOutcome, facts_.retriesLeft };
    }
    earlierAnswer_ = *answered;
    return Retry(aNow);
  }
  const auto* notRun = std::get_if<NotRun>(&aOutcome);
  onlyLoadRefusals_ = onlyLoadRefusals_ && notRun != nullptr &&
                      RetryPolicy::IsLoadRefusal(notRun->reason);
  if (keyed_) {
    return FinishKeyed(aOutcome, aNow);
  }
  const auto* unknown = std::get_if<Unknown>(&aOutcome);
  if (unknown != nullptr && !unknownOutcome_) {
    unknownOutcome_ = *unknown;
  }
  if (!RetryPolicy::MayRetry(aOutcome, route_->isIdempotent)) {
    return End();
  }
  return Retry(aNow);
}

void
CallSession::ReclaimRetries(const Outcome& aOutcome, unsigned aReturnedRetries)
{
  // If the request did not run, no call below this one used a retry.
  const bool unused = std::holds_alternative<NotRun>(aOutcome);
  facts_.retriesLeft += unused ? retriesPassedDown_
                               : std::min(aReturnedRetries, retriesPassedDown_);
  retriesPassedDown_ = 0;
}

void
CallSession::RecordRefusal(const Outcome& aOutcome)
{
  const auto* notRun = std::get_if<NotRun>(&aOutcome);
  wasRefusedByNode_ =
    notRun != nullptr && RetryPolicy::IsRefusedBeforeDelivery(notRun->reason);
  if (IsRefusalFree()) {
    // The attempt reached no upstream.
    --attempts_;
  }
  if (notRun != nullptr && notRun->retryAfter.count() > 0) {
    retryAfter_ =
      std::min(retryAfter_.value_or(notRun->retryAfter), notRun->retryAfter);
  }
}

bool
CallSession::IsRefusalFree() const
{
  return environment_.policy.refusalsAreFree && wasRefusedByNode_;
}

bool
CallSession::ShouldRetryAnswer(const Answered& aAnswer) const
{
  constexpr unsigned kFirstServerError = 500;
  return environment_.policy.retriesServerErrors && route_->isIdempotent &&
         aAnswer.status >= kFirstServerError;
}

unsigned
CallSession::MaxAttempts() const
{
  return route_->maxAttempts > 0 ? route_->maxAttempts
                                 : RetryPolicy::kMaxAttempts;
}

state::Duration
CallSession::ServiceTime()
{
  const auto known = environment_.router.ServiceTime(*currentEndpoint_);
  return environment_.serviceTimes.Get(
    route_->name, known.count() > 0 ? known : kDefaultServiceTime);
}

std::optional<state::Duration>
CallSession::MaxWait(state::Instant aNow)
{
  if (!environment_.policy.boundsWait) {
    return std::nullopt;
  }
  const auto service = ServiceTime();
  const auto left = deadline_ - aNow - service - service / 2;
  const auto sizes = Sizes();
  if (isFinalTry_ && sizes.request == BodySize::Small &&
      sizes.answer == BodySize::Small) {
    // A running request often depends on this one, and a refusal would waste
    // that request's work too. No request depends on an upload or a download,
    // and on a saturated link a long queue would make all of them late.
    return std::max(left, state::Duration{ 0 });
  }
  const auto useful = UsefulWait(aNow);
  if (useful && *useful > kMissedObjectiveMaxWait) {
    return useful;
  }
  // There is no objective or it cannot be met, so a short wait leaves the
  // slots to requests that can still meet theirs.
  return std::clamp(left, state::Duration{ 0 }, kMissedObjectiveMaxWait);
}

std::optional<state::Duration>
CallSession::UsefulWait(state::Instant aNow)
{
  if (!environment_.policy.boundsWait || objective_ == state::Instant::max()) {
    return std::nullopt;
  }
  const auto service = ServiceTime();
  return std::max(objective_ - aNow - service - service / 4,
                  state::Duration{ 0 });
}

std::optional<LargeAnswer>
CallSession::ExpectedLargeAnswer(state::Instant aNow)
{
  if (Sizes().answer == BodySize::Small) {
    return std::nullopt;
  }
  const auto service = ServiceTime();
  auto time = std::min(deadline_ - aNow, kMissedObjectiveMaxWait + service);
  if (objective_ != state::Instant::max()) {
    const auto travel =
      state::Duration(route_->latencyObjective) / kAnswerTravelDivisor;
    time = std::max(time, objective_ - aNow - travel);
  }
  if (environment_.router.IsFar(*currentEndpoint_)) {
    time = std::min(time, Router::kMaxFarAnswerWait + service);
  }
  return LargeAnswer{ answerBytes_, std::max(time, state::Duration{ 0 }) };
}

bool
CallSession::MayRetry(state::Instant aNow)
{
  if (aNow >= deadline_) {
    return false;
  }
  if (IsRefusalFree()) {
    return placements_ < environment_.policy.maxPlacements;
  }
  return facts_.retriesLeft > 0 && attempts_ < MaxAttempts() &&
         environment_.budget.HasToken(service_, aNow);
}

void
CallSession::SpendRetry(state::Instant aNow)
{
  if (IsRefusalFree()) {
    return;
  }
  --facts_.retriesLeft;
  environment_.budget.Spend(service_, aNow);
}

TransferSizes
CallSession::Sizes() const
{
  const bool isLarge = answerBytes_ >= LinkScheduler::kLargeMessageBytes;
  return { facts_.bodySize, isLarge ? BodySize::Large : BodySize::Small };
}

EndpointPointer
CallSession::PickNext(state::Instant aNow)
{
  auto& router = environment_.router;
  if (!keyed_ && environment_.rollouts != nullptr &&
      !environment_.rollouts->IsEmpty()) {
    return PickVersion(aNow);
  }
  return keyed_ ? router.PickExecutor(service_, keyHash_, triedEndpoints_, aNow)
                : router.Pick(service_, triedEndpoints_, aNow, Sizes());
}

EndpointPointer
CallSession::PickVersion(state::Instant aNow)
{
  auto& rollouts = *environment_.rollouts;
  isRolloutShare_ = false;
  for (const auto choice :
       rollouts.Choose(service_, triedEndpoints_.empty(), aNow)) {
    auto picked = environment_.router.Pick(
      service_,
      triedEndpoints_,
      aNow,
      Sizes(),
      [&](const state::EndpointRecord& aUpstream) {
        return rollouts.Allows(choice, aUpstream, aNow);
      });
    if (picked != nullptr) {
      isRolloutShare_ = choice == VersionChoice::Target;
      return picked;
    }
    if (choice == VersionChoice::Target) {
      rollouts.Return(service_);
    }
  }
  return nullptr;
}

void
CallSession::RecordArrival(const Outcome& aOutcome)
{
  if (environment_.rollouts == nullptr || environment_.rollouts->IsEmpty()) {
    return;
  }
  if (!std::holds_alternative<NotRun>(aOutcome)) {
    environment_.rollouts->OnArrival(service_);
  } else if (isRolloutShare_) {
    environment_.rollouts->Return(service_);
  }
  isRolloutShare_ = false;
}

CallStep
CallSession::Retry(state::Instant aNow)
{
  if (!MayRetry(aNow)) {
    return End();
  }
  auto next = PickNext(aNow);
  return next == nullptr ? BackOffOrEnd(aNow) : RetryAt(std::move(next), aNow);
}

CallStep
CallSession::RetryAt(EndpointPointer aEndpoint, state::Instant aNow)
{
  SpendRetry(aNow);
  currentEndpoint_ = std::move(aEndpoint);
  return keyed_ ? OnClaimStep(keyed_->MoveClaim(*currentEndpoint_, aNow), aNow)
                : Send(aNow);
}

CallStep
CallSession::BackOffOrEnd(state::Instant aNow)
{
  if (!onlyLoadRefusals_ || triedEndpoints_.empty() ||
      environment_.policy.boundsWait) {
    return End();
  }
  constexpr double kMaxRandom = std::minstd_rand::max();
  const auto until =
    aNow +
    RetryPolicy::Backoff(
      backoffs_, static_cast<double>(environment_.random()) / kMaxRandom);
  if (until >= deadline_) {
    return End();
  }
  ++backoffs_;
  return BackoffStep{ until };
}

CallStep
CallSession::Resume(state::Instant aNow)
{
  triedEndpoints_.clear();
  return Retry(aNow);
}

CallStep
CallSession::Send(state::Instant aNow)
{
  if (aNow >= deadline_) {
    ReleaseEndpoint();
    if (!unknownOutcome_) {
      lastOutcome_ = NotRun{ NotRunReason::DeadlineExceeded };
    }
    return End();
  }
  ++attempts_;
  ++placements_;
  const unsigned kept = std::min(1U, facts_.retriesLeft);
  retriesPassedDown_ = facts_.retriesLeft - kept;
  facts_.retriesLeft = kept;
  const auto carried = std::max(aNow, deadline_ - kDeadlineMargin);
  Attempt attempt{
    currentEndpoint_, deadline_, carried, retriesPassedDown_, {}
  };
  if (environment_.rollouts != nullptr) {
    attempt.rolloutOrder = environment_.rollouts->Permit(service_);
  }
  attempt.maxWait = MaxWait(aNow);
  attempt.usefulWait = UsefulWait(aNow);
  attempt.largeAnswer = ExpectedLargeAnswer(aNow);
  attempt.isFinalTry = environment_.policy.boundsWait && isFinalTry_;
  if (keyed_) {
    attempt.claim =
      ClaimTicket{ binding_.incarnation, binding_.epoch, mayStart_ };
  }
  return attempt;
}

Respond
CallSession::End() const
{
  if (earlierAnswer_) {
    return { *earlierAnswer_, facts_.retriesLeft, true };
  }
  if (unknownOutcome_) {
    return { *unknownOutcome_, facts_.retriesLeft };
  }
  auto outcome = lastOutcome_;
  if (auto* notRun = std::get_if<NotRun>(&outcome)) {
    notRun->retryAfter = retryAfter_.value_or(state::Duration{ 0 });
  }
  return { std::move(outcome), facts_.retriesLeft };
}

} // namespace teaselhold::coordination
