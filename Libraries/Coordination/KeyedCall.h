#pragma once

#include "Coordination/CallTypes.h"
#include "Coordination/ClaimBinding.h"
#include "Coordination/ClaimKeeper.h"
#include "Coordination/NodeEvents.h"

namespace teaselhold::coordination {

/// Call the store and hand its answer back.
struct ClaimStep
{
  std::variant<StoreGet, StoreSwap, StoreGrant> request;
};

/// Finds out which executor runs the request of an idempotency key, and moves
/// the key to another executor after a certain refusal.
///
/// Each value of a claim has one author, whose first delivery alone may start
/// the run; the executor refuses all other deliveries of a key that it has not
/// started, and remembers the refusal for the claim's epoch. Whoever gets such
/// a refusal, and an author whose delivery certainly did not arrive, may move
/// the claim, because the run can no longer start under the old value.
class KeyedCall
{
public:
  /// The executor that the claim names.
  struct Bound
  {
    ClaimBinding binding;
    /// This call wrote the claim, so its first delivery may start the run.
    bool mayStart = false;
  };
  /// The claim was not read or written. Nothing was delivered for it.
  struct Failed
  {
    NotRunReason reason;
  };
  using Step = std::variant<ClaimStep, Bound, Failed>;

  /// @param aName see NameOfKeyedRequest().
  KeyedCall(ClaimKeeper& aKeeper,
            const std::string& aName,
            std::uint64_t aFingerprint);

  /// Creates the claim for aCandidate unless there is one.
  /// @param aCandidate nullptr if no upstream is ready; an existing claim is
  ///        read even so, because its executor may hold the answer.
  Step Begin(const state::EndpointRecord* aCandidate, state::Instant aNow);

  /// Moves the claim after its executor certainly did not run the request and
  /// will not do so under the claim's epoch.
  Step Move(const state::EndpointRecord& aCandidate, state::Instant aNow);

  /// Takes the answer to the last ClaimStep.
  Step Finish(const StoreResult& aResult, state::Instant aNow);

private:
  enum class Phase : std::uint8_t
  {
    Granting,
    Swapping,
    Reading,
  };

  void Want(const state::EndpointRecord& aCandidate, std::uint64_t aEpoch);
  Step Write(state::Instant aNow);
  Step StopWriting();
  Step Read();
  Step Call(Phase aPhase, ClaimStep aStep);
  Step OnGranted(const StoreResult& aResult, state::Instant aNow);
  Step OnSwapped(const protocol::SwapResult& aResult, state::Instant aNow);
  Step OnSwapError(const protocol::StoreError& aError, state::Instant aNow);
  Step Adopt(const protocol::StoreEntry& aEntry, state::Instant aNow);

  ClaimKeeper& keeper_;
  std::string storeKey_;
  std::uint64_t fingerprint_;
  Phase phase_ = Phase::Reading;
  /// The value that this call tries to write; empty while it only reads.
  std::optional<ClaimBinding> wanted_;
  /// Why nothing is written, if there is no claim.
  NotRunReason absentReason_ = NotRunReason::NoUpstream;
  protocol::LeaseId lease_ = 0;
  /// The claim as last read or written.
  std::uint64_t revision_ = 0;
  std::uint64_t epoch_ = 0;
  unsigned calls_ = 0;
};

} // namespace teaselhold::coordination
