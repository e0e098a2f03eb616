#pragma once

#include "Coordination/CallTypes.h"
#include "Coordination/ClaimBinding.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/SharedClaimState.h"

namespace teaselhold::coordination {

/// Send this request to the store and pass its response back.
struct ClaimStep
{
  std::variant<StoreGet, StoreSwap, StoreGrant> request;
};

/// Determines which executor runs the request of an idempotency key, and moves
/// the claim to another executor after a refusal that proves that the request
/// did not run.
///
/// Each value of a claim is written by one sender, and only the first delivery
/// of that sender may start the run. The executor refuses every other delivery
/// of a key that it has not started, and remembers the refusal for the claim's
/// epoch. A sender that gets such a refusal, or a writer whose delivery
/// provably did not arrive, may move the claim, because the run can no longer
/// start under the old value.
class KeyedCall
{
public:
  /// The executor that the claim names.
  struct Claimed
  {
    ClaimBinding binding;
    /// This call wrote the claim, so its first delivery may start the run.
    bool mayStart = false;
  };
  /// No usable claim was obtained, so nothing was delivered for this step.
  struct Failed
  {
    NotRunReason reason;
  };
  using Step = std::variant<ClaimStep, Claimed, Failed>;

  /// @param aName the result of KeyedRequestName().
  KeyedCall(SharedClaimState& aKeeper,
            const std::string& aName,
            std::uint64_t aFingerprint);

  /// Creates the claim for aCandidate unless a claim exists.
  /// @param aCandidate nullptr if no upstream is ready; an existing claim is
  ///        still read, because its executor may hold the response.
  Step Begin(const state::EndpointRecord* aCandidate, state::Instant aNow);

  /// Moves the claim to aCandidate. Must be called only if the present
  /// executor did not run the request and will not do so under the claim's
  /// epoch.
  Step MoveClaim(const state::EndpointRecord& aCandidate, state::Instant aNow);

  /// Processes the store's response to the last ClaimStep.
  Step Finish(const StoreResult& aResult, state::Instant aNow);

private:
  enum class Phase : std::uint8_t
  {
    Granting,
    Swapping,
    Reading,
  };

  void PrepareWrite(const state::EndpointRecord& aCandidate,
                    std::uint64_t aEpoch);
  Step Write(state::Instant aNow);
  Step FallBackToRead();
  Step Read();
  Step IssueStoreCall(Phase aPhase, ClaimStep aStep);
  Step OnGranted(const StoreResult& aResult, state::Instant aNow);
  Step OnSwapped(const protocol::SwapResult& aResult, state::Instant aNow);
  Step OnSwapError(const protocol::StoreError& aError, state::Instant aNow);
  Step OnEntry(const protocol::StoreEntry& aEntry, state::Instant aNow);

  SharedClaimState& keeper_;
  std::string storeKey_;
  std::uint64_t fingerprint_;
  Phase phase_ = Phase::Reading;
  /// The value that this call is trying to write; empty while it only reads.
  std::optional<ClaimBinding> pendingClaim_;
  /// The reason for failure if no claim exists and this call only reads.
  NotRunReason noClaimReason_ = NotRunReason::NoUpstream;
  protocol::LeaseId lease_ = 0;
  /// Revision and epoch of the claim as last read or written.
  std::uint64_t revision_ = 0;
  std::uint64_t epoch_ = 0;
  unsigned storeCalls_ = 0;
};

} // namespace teaselhold::coordination
