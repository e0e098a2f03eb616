#pragma once

#include "Protocol/StoreClient.h"
#include "State/Instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace teaselhold::coordination {

/// State shared by the keyed calls of one node: the lease for their claims and
/// the node's share of the fleet's write rate to the store.
class SharedClaimState
{
public:
  /// @param aNode the name of this node. Together with aIncarnation it makes
  ///        the tokens unique.
  SharedClaimState(std::string aNode, std::uint64_t aIncarnation);

  /// Returns a new token that identifies one write of one claim.
  std::string NextToken();

  /// Returns the lease for new claims, or nothing if one must be granted
  /// first.
  std::optional<protocol::LeaseId> Lease(state::Instant aNow) const;
  void SetLease(protocol::LeaseId aLease, state::Instant aNow);

  /// Discards a lease that the store no longer accepts.
  void DiscardLease(protocol::LeaseId aLease);

  /// Consumes one write from the node's share of the write rate.
  /// @return false if the share is used up.
  bool TryWrite(state::Instant aNow);

  /// Halves the node's share after the store refused a call because of its
  /// rate limit. In this way the nodes find their shares of the fleet's rate
  /// without exchanging them.
  void OnRateLimited(state::Instant aNow);

private:
  void Refill(state::Instant aNow);

  std::string tokenPrefix_;
  std::uint64_t nextToken_ = 1;
  std::optional<protocol::LeaseId> lease_;
  state::Instant leaseUsableUntil_{ 0 };
  double writesPerSecond_;
  double availableWrites_;
  state::Instant lastRefill_{ 0 };
};

/// Lifetime of a claim's lease. A lease takes new claims in its first hour
/// only, so every claim lives for at least 24 hours.
inline constexpr std::chrono::milliseconds kClaimLeaseTime =
  std::chrono::hours(25);

} // namespace teaselhold::coordination
