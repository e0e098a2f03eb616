#include "Coordination/CallSession.h"

namespace teaselhold::coordination {

namespace {

constexpr unsigned kMaxDepth = 24;
constexpr std::size_t kMaxAttempts = 3;

} // namespace

CallSession::CallSession(CallFacts aFacts,
                         RoutingSnapshotPointer aSnapshot,
                         Router& aRouter)
  : facts_(std::move(aFacts))
  , snapshot_(std::move(aSnapshot))
  , router_(aRouter)
{
}

CallStep
CallSession::Start(state::Instant aNow)
{
  if (snapshot_ == nullptr || snapshot_->configuration == nullptr) {
    return Respond{ NotRun{ NotRunReason::NotReady } };
  }
  route_ = snapshot_->configuration->FindRoute(facts_.method, facts_.target);
  if (route_ == nullptr) {
    return Respond{ NotRun{ NotRunReason::NoRoute } };
  }
  if (facts_.depth > kMaxDepth) {
    return Respond{ NotRun{ NotRunReason::DepthExceeded } };
  }
  if (snapshot_->quarantined.contains(facts_.fingerprint)) {
    return Respond{ NotRun{ NotRunReason::Quarantined } };
  }
  deadline_ =
    std::min(facts_.deadline, aNow + state::Duration(route_->timeout));
  return Next(aNow);
}

CallStep
CallSession::Finish(const Outcome& aOutcome, state::Instant aNow)
{
  router_.Finished(current_, aOutcome, aNow);
  lastOutcome_ = aOutcome;
  if (std::holds_alternative<Answered>(aOutcome)) {
    return Respond{ aOutcome };
  }
  const auto* unknown = std::get_if<Unknown>(&aOutcome);
  const bool mayRepeat =
    unknown == nullptr ||
    (route_->isIdempotent && unknown->reason != UnknownReason::UpstreamCrashed);
  if (!mayRepeat || facts_.retriesLeft == 0 || tried_.size() >= kMaxAttempts) {
    return Respond{ aOutcome };
  }
  --facts_.retriesLeft;
  return Next(aNow);
}

CallStep
CallSession::Next(state::Instant aNow)
{
  if (aNow >= deadline_) {
    return Respond{ tried_.empty()
                      ? Outcome(NotRun{ NotRunReason::DeadlineExceeded })
                      : lastOutcome_ };
  }
  const auto picked =
    router_.Pick(*snapshot_->endpoints, route_->service, tried_, aNow);
  if (!picked) {
    return Respond{ lastOutcome_ };
  }
  current_ = picked->node;
  tried_.push_back(current_);
  return Attempt{ *picked, deadline_, facts_.retriesLeft };
}

} // namespace teaselhold::coordination
