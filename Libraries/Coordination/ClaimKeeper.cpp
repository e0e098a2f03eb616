#include "Coordination/ClaimKeeper.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// A little under one hour, for the time between the grant and its answer.
constexpr state::Duration kLeaseUse = std::chrono::minutes(55);
/// The fleet's limit; no node needs more.
constexpr double kMaxWritesPerSecond = 200;
constexpr double kFirstWritesPerSecond = 20;
/// With 6,500 nodes this is 325 writes/s in the worst case, which the store's
/// own limit cuts.
constexpr double kMinWritesPerSecond = 0.05;
/// Growth of the share for each second without a refusal.
constexpr double kGrowthPerSecond = 1;
/// Seconds of the share that may be used at once.
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
