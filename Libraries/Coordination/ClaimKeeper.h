#pragma once

#include "Protocol/StoreClient.h"
#include "State/Instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace teaselhold::coordination {

/// What the keyed calls of one node share: the lease of their claims and the
/// node's share of the store's writes.
class ClaimKeeper
{
public:
  /// @param aNode the name of this node, which together with aIncarnation
  ///        makes the tokens unique.
  ClaimKeeper(std::string aNode, std::uint64_t aIncarnation);

  /// A mark that recognizes one write of one claim.
  std::string NextToken();

  /// @return the lease for new claims; empty if one must be granted first.
  std::optional<protocol::LeaseId> Lease(state::Instant aNow) const;
  void SetLease(protocol::LeaseId aLease, state::Instant aNow);

  /// Forgets a lease that the store does not know any more.
  void DropLease(protocol::LeaseId aLease);

  /// Takes one write from the node's share of the rate.
  /// @return false if the share is used up.
  bool TryWrite(state::Instant aNow);

  /// The store refused a call for its rate: halves the node's share. Nodes find
  /// their shares of the fleet's rate in this way without exchanging them.
  void OnRateLimited(state::Instant aNow);

private:
  void Refill(state::Instant aNow);

  std::string prefix_;
  std::uint64_t nextToken_ = 1;
  std::optional<protocol::LeaseId> lease_;
  state::Instant leaseUsableUntil_{ 0 };
  double writesPerSecond_;
  double tokens_;
  state::Instant refilled_{ 0 };
};

/// Lifetime that a claim's lease is granted for. A claim lives for at least 24
/// hours, because a lease takes new claims in its first hour only.
inline constexpr std::chrono::milliseconds kClaimLeaseTime =
  std::chrono::hours(25);

} // namespace teaselhold::coordination
