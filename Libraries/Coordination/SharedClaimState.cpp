#include "Coordination/SharedClaimState.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// Time in which a lease takes new claims. It is less than one hour to allow
/// for the time between the grant and its response.
constexpr state::Duration kLeaseUseTime = std::chrono::minutes(55);
/// The limit for the whole fleet; no single node needs more.
constexpr double kMaxWritesPerSecond = 200;
constexpr double kInitialWritesPerSecond = 20;
/// With 6,500 nodes this allows 325 writes/s in the worst case; the store's
/// own rate limit caps it.
constexpr double kMinWritesPerSecond = 0.05;
/// Growth of the share, in writes/s, per second without a refusal.
constexpr double kShareGrowthPerSecond = 1;
/// Number of seconds whose share may be used in one burst.
constexpr double kBurstSeconds = 1;

} // namespace

SharedClaimState::SharedClaimState(std::string aNode,
                                   std::uint64_t aIncarnation)
  : tokenPrefix_(std::move(aNode) + "/" + std::to_string(aIncarnation) + "/")
  , writesPerSecond_(kInitialWritesPerSecond)
  , availableWrites_(kInitialWritesPerSecond)
{
}

std::string
SharedClaimState::NextToken()
{
  return tokenPrefix_ + std::to_string(nextToken_++);
}

std::optional<protocol::LeaseId>
SharedClaimState::Lease(state::Instant aNow) const
{
  return aNow < leaseUsableUntil_ ? lease_ : std::nullopt;
}

void
SharedClaimState::SetLease(protocol::LeaseId aLease, state::Instant aNow)
{
  lease_ = aLease;
  leaseUsableUntil_ = aNow + kLeaseUseTime;
}

void
SharedClaimState::DiscardLease(protocol::LeaseId aLease)
{
  if (lease_ == aLease) {
    lease_.reset();
  }
}

void
SharedClaimState::Refill(state::Instant aNow)
{
  const std::chrono::duration<double> elapsed =
    std::max(aNow - lastRefill_, state::Duration{ 0 });
  lastRefill_ = std::max(aNow, lastRefill_);
  writesPerSecond_ =
    std::min(kMaxWritesPerSecond,
             writesPerSecond_ + elapsed.count() * kShareGrowthPerSecond);
  const double limit = std::max(1.0, writesPerSecond_ * kBurstSeconds);
  availableWrites_ =
    std::min(limit, availableWrites_ + elapsed.count() * writesPerSecond_);
}

bool
SharedClaimState::TryWrite(state::Instant aNow)
{
  Refill(aNow);
  if (availableWrites_ < 1) {
    return false;
  }
  availableWrites_ -= 1;
  return true;
}

void
SharedClaimState::OnRateLimited(state::Instant aNow)
{
  Refill(aNow);
  writesPerSecond_ = std::max(kMinWritesPerSecond, writesPerSecond_ / 2);
  availableWrites_ = std::min(availableWrites_, writesPerSecond_);
}

} // namespace teaselhold::coordination
