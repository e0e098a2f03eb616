#pragma once

#include "Coordination/KeyedCall.h"

#include <map>
#include <set>

namespace teaselhold::test {

using namespace coordination;

/// In-memory stand-in for the platform's store, with faults that affect the
/// next calls.
class FakeClaimStore
{
public:
  StoreResult Call(const ClaimStep& aStep)
  {
    ++calls;
    if (down || callsToFail > 0) {
      callsToFail -= callsToFail > 0 ? 1 : 0;
      return protocol::StoreError{ protocol::StoreErrorCode::Unavailable, "" };
    }
    if (rateLimited) {
      return protocol::StoreError{ protocol::StoreErrorCode::RateLimited, "" };
    }
    return std::visit([this](const auto& aRequest) { return On(aRequest); },
                      aStep.request);
  }

  /// Expires the leases but keeps the claims, as if no claim had been written
  /// under these leases yet.
  void ExpireLeases() { leases_.clear(); }

  /// Expires all leases early and removes their claims. This violates the
  /// store's contract: claims rely on it to keep a lease for its full time.
  void RemoveClaims()
  {
    leases_.clear();
    entries.clear();
  }

  /// Applies the delayed write if the key still has the expected revision.
  void ApplyDelayedWrite()
  {
    if (delayedWrite_) {
      On(*std::exchange(delayedWrite_, std::nullopt));
    }
  }

  bool down = false;
  bool rateLimited = false;
  unsigned callsToFail = 0;
  /// Number of writes that the store processes but whose responses are lost.
  unsigned responsesToLose = 0;
  /// The next write takes effect later and its response is lost.
  bool delayNextWrite = false;
  unsigned calls = 0;
  std::map<std::string, protocol::StoreEntry> entries;

private:
  StoreResult On(const StoreGet& aGet) { return entries[aGet.key]; }

  StoreResult On(const StoreGrant& /*aGrant*/)
  {
    leases_.insert(++lastLease_);
    return protocol::LeaseId(lastLease_);
  }

  StoreResult On(const StoreSwap& aSwap)
  {
    const protocol::StoreError lost{ protocol::StoreErrorCode::Unknown, "" };
    if (std::exchange(delayNextWrite, false)) {
      delayedWrite_ = aSwap;
      return lost;
    }
    auto& entry = entries[aSwap.key];
    const bool swapped =
      entry.revision == aSwap.expectedRevision && leases_.contains(aSwap.lease);
    if (swapped) {
      entry = { aSwap.value, ++lastRevision_ };
    }
    if (responsesToLose > 0) {
      --responsesToLose;
      return lost;
    }
    return protocol::SwapResult{ swapped, entry };
  }

  std::set<protocol::LeaseId> leases_;
  std::optional<StoreSwap> delayedWrite_;
  protocol::LeaseId lastLease_ = 0;
  std::uint64_t lastRevision_ = 0;
};

} // namespace teaselhold::test
