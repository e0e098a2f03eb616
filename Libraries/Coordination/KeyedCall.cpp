#include "Coordination/KeyedCall.h"

namespace teaselhold::coordination {

namespace {

/// Covers a lease grant, an expired lease, a lost response and a write
/// conflict in the same step.
constexpr unsigned kMaxStoreCallsPerStep = 6;

} // namespace

KeyedCall::KeyedCall(SharedClaimState& aKeeper,
                     const std::string& aName,
                     std::uint64_t aFingerprint)
  : keeper_(aKeeper)
  , storeKey_(ClaimKey(aName))
  , fingerprint_(aFingerprint)
{
}

KeyedCall::Step
KeyedCall::Begin(const state::EndpointRecord* aCandidate, state::Instant aNow)
{
  storeCalls_ = 0;
  if (aCandidate == nullptr) {
    return Read();
  }
  PrepareWrite(*aCandidate, 1);
  return Write(aNow);
}

KeyedCall::Step
KeyedCall::MoveClaim(const state::EndpointRecord& aCandidate,
                     state::Instant aNow)
{
  storeCalls_ = 0;
  PrepareWrite(aCandidate, epoch_ + 1);
  return Write(aNow);
}

void
KeyedCall::PrepareWrite(const state::EndpointRecord& aCandidate,
                        std::uint64_t aEpoch)
{
  pendingClaim_ = ClaimBinding{ aEpoch,
                                aCandidate.node,
                                aCandidate.incarnation,
                                aCandidate.dataAddress,
                                fingerprint_,
                                keeper_.NextToken() };
}

KeyedCall::Step
KeyedCall::Write(state::Instant aNow)
{
  if (!keeper_.TryWrite(aNow)) {
    return FallBackToRead();
  }
  const auto lease = keeper_.Lease(aNow);
  if (!lease) {
    return IssueStoreCall(Phase::Granting, { StoreGrant{ kClaimLeaseTime } });
  }
  lease_ = *lease;
  return IssueStoreCall(
    Phase::Swapping,
    { StoreSwap{ storeKey_, revision_, FormatClaim(*pendingClaim_), lease_ } });
}

KeyedCall::Step
KeyedCall::FallBackToRead()
{
  if (revision_ != 0) {
    // The claim names an executor that has refused the request, so it did not
    // run.
    return Failed{ NotRunReason::ClaimUnavailable };
  }
  // Reads are cheap for the store, and an existing claim needs no write.
  pendingClaim_.reset();
  noClaimReason_ = NotRunReason::ClaimUnavailable;
  return Read();
}

KeyedCall::Step
KeyedCall::Read()
{
  return IssueStoreCall(Phase::Reading, { StoreGet{ storeKey_ } });
}

KeyedCall::Step
KeyedCall::IssueStoreCall(Phase aPhase, ClaimStep aStep)
{
  if (++storeCalls_ > kMaxStoreCallsPerStep) {
    return Failed{ NotRunReason::ClaimUnavailable };
  }
  phase_ = aPhase;
  return aStep;
}

KeyedCall::Step
KeyedCall::Finish(const StoreResult& aResult, state::Instant aNow)
{
  if (phase_ == Phase::Granting) {
    return OnGranted(aResult, aNow);
  }
  if (const auto* error = std::get_if<protocol::StoreError>(&aResult)) {
    if (phase_ == Phase::Swapping) {
      return OnSwapError(*error, aNow);
    }
    return Failed{ NotRunReason::ClaimUnavailable };
  }
  if (const auto* swap = std::get_if<protocol::SwapResult>(&aResult)) {
    return OnSwapped(*swap, aNow);
  }
  if (const auto* entry = std::get_if<protocol::StoreEntry>(&aResult)) {
    return OnEntry(*entry, aNow);
  }
  return Failed{ NotRunReason::ClaimUnavailable };
}

KeyedCall::Step
KeyedCall::OnGranted(const StoreResult& aResult, state::Instant aNow)
{
  const auto* lease = std::get_if<protocol::LeaseId>(&aResult);
  if (lease == nullptr) {
    const auto* error = std::get_if<protocol::StoreError>(&aResult);
    if (error != nullptr &&
        error->code == protocol::StoreErrorCode::RateLimited) {
      keeper_.OnRateLimited(aNow);
    }
    return FallBackToRead();
  }
  keeper_.SetLease(*lease, aNow);
  return Write(aNow);
}

KeyedCall::Step
KeyedCall::OnSwapError(const protocol::StoreError& aError, state::Instant aNow)
{
  switch (aError.code) {
    case protocol::StoreErrorCode::Unknown:
      // The write may have taken effect or may still do so.
      return Read();
    case protocol::StoreErrorCode::RateLimited:
      keeper_.OnRateLimited(aNow);
      return FallBackToRead();
    case protocol::StoreErrorCode::TooLarge:
      return Failed{ NotRunReason::BadRequest };
    case protocol::StoreErrorCode::LeaseLapsed:
      // Nothing was written, so the next read finds the key unchanged and the
      // write is repeated under a new lease.
      keeper_.DiscardLease(lease_);
      return Read();
    case protocol::StoreErrorCode::Unavailable:
    case protocol::StoreErrorCode::HistoryLost:
    case protocol::StoreErrorCode::Cancelled:
      break;
  }
  return Failed{ NotRunReason::ClaimUnavailable };
}

KeyedCall::Step
KeyedCall::OnSwapped(const protocol::SwapResult& aResult, state::Instant aNow)
{
  if (!aResult.swapped && aResult.current.revision == revision_) {
    // The key has the expected revision, so the store refused the lease.
    keeper_.DiscardLease(lease_);
  }
  return OnEntry(aResult.current, aNow);
}

KeyedCall::Step
KeyedCall::OnEntry(const protocol::StoreEntry& aEntry, state::Instant aNow)
{
  const auto binding = ParseClaim(aEntry.value);
  const bool isOurs = aEntry.revision != 0 && binding && pendingClaim_ &&
                      binding->token == pendingClaim_->token;
  if (!isOurs && pendingClaim_ &&
      (aEntry.revision == revision_ || aEntry.revision == 0)) {
    // The claim is unchanged, or it no longer exists and its last executor, if
    // any, has refused the request permanently. Either way it may be written.
    revision_ = aEntry.revision;
    return Write(aNow);
  }
  if (aEntry.revision == 0) {
    return Failed{ noClaimReason_ };
  }
  if (!binding) {
    return Failed{ NotRunReason::ClaimUnavailable };
  }
  if (binding->fingerprint != fingerprint_) {
    return Failed{ NotRunReason::KeyMismatch };
  }
  revision_ = aEntry.revision;
  epoch_ = binding->epoch;
  pendingClaim_.reset();
  return Claimed{ *binding, isOurs };
}

} // namespace teaselhold::coordination
