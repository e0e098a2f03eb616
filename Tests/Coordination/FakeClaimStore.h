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
    if (down || downCalls > 0) {
      downCalls -= downCalls > 0 ? 1 : 0;
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
  void LapseLeases() { leases_.clear(); }

  /// Expires all leases early and removes their claims. This violates the
  /// store's contract: claims rely on it to keep a lease for its full time.
  void LoseClaims()
  {
    leases_.clear();
    entries.clear();
  }

  /// Applies the delayed write if the key still has the expected revision.
  void LandDelayedWrite()
  {
    if (delayed_) {
      On(*std::exchange(delayed_, std::nullopt));
    }
  }

  bool down = false;
  bool rateLimited = false;
  unsigned downCalls = 0;
  /// Number of writes that take effect but whose responses are lost.
  unsigned loseAnswers = 0;
  /// The next write takes effect later and its response is lost.
  bool delayWrite = false;
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
    if (std::exchange(delayWrite, false)) {
      delayed_ = aSwap;
      return lost;
    }
    auto& entry = entries[aSwap.key];
    const bool swapped =
      entry.revision == aSwap.expectedRevision && leases_.contains(aSwap.lease);
    if (swapped) {
      entry = { aSwap.value, ++lastRevision_ };
    }
    if (loseAnswers > 0) {
      --loseAnswers;
      return lost;
    }
    return protocol::SwapResult{ swapped, entry };
  }

  std::set<protocol::LeaseId> leases_;
  std::optional<StoreSwap> delayed_;
  protocol::LeaseId lastLease_ = 0;
  std::uint64_t lastRevision_ = 0;
};

} // namespace teaselhold::test
