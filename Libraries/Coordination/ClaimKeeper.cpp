#include "Coordination/ClaimKeeper.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// Time in which a lease takes new claims. It is less than one hour to allow
/// for the time between the grant and its response.
constexpr state::Duration kLeaseUse = std::chrono::minutes(55);
/// The limit for the whole fleet; no single node needs more.
constexpr double kMaxWritesPerSecond = 200;
constexpr double kFirstWritesPerSecond = 20;
/// With 6,500 nodes this allows 325 writes/s in the worst case; the store's
/// own rate limit caps it.
constexpr double kMinWritesPerSecond = 0.05;
/// Growth of the share, in writes/s, per second without a refusal.
constexpr double kGrowthPerSecond = 1;
/// Number of seconds whose share may be used in one burst.
constexpr double kBurstSeconds = 1;

} // namespace

ClaimKeeper::ClaimKeeper(std::string aNode, std::uint64_t aIncarnation)
  : prefix_(std::move(aNode) + "/" + std::to_string(aIncarnation) + "/")
  , writesPerSecond_(kFirstWritesPerSecond)
  , tokens_(kFirstWritesPerSecond)
{
}

std::string
ClaimKeeper::NextToken()
{
  return prefix_ + std::to_string(nextToken_++);
}

std::optional<protocol::LeaseId>
ClaimKeeper::Lease(state::Instant aNow) const
{
  return aNow < leaseUsableUntil_ ? lease_ : std::nullopt;
}

void
ClaimKeeper::SetLease(protocol::LeaseId aLease, state::Instant aNow)
{
  lease_ = aLease;
  leaseUsableUntil_ = aNow + kLeaseUse;
}

void
ClaimKeeper::DropLease(protocol::LeaseId aLease)
{
  if (lease_ == aLease) {
    lease_.reset();
  }
}

void
ClaimKeeper::Refill(state::Instant aNow)
{
  const std::chrono::duration<double> elapsed =
    std::max(aNow - refilled_, state::Duration{ 0 });
  refilled_ = std::max(aNow, refilled_);
  writesPerSecond_ = std::min(
    kMaxWritesPerSecond, writesPerSecond_ + elapsed.count() * kGrowthPerSecond);
  const double limit = std::max(1.0, writesPerSecond_ * kBurstSeconds);
  tokens_ = std::min(limit, tokens_ + elapsed.count() * writesPerSecond_);
}

bool
ClaimKeeper::TryWrite(state::Instant aNow)
{
  Refill(aNow);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void
ClaimKeeper::OnRateLimited(state::Instant aNow)
{
  Refill(aNow);
  writesPerSecond_ = std::max(kMinWritesPerSecond, writesPerSecond_ / 2);
  tokens_ = std::min(tokens_, writesPerSecond_);
}

} // namespace teaselhold::coordination
