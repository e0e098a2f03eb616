#include "Coordination/NodeRegistration.h"

#include "Coordination/EndpointCodec.h"

namespace teaselhold::coordination {

namespace {

/// The record of a failed host stays in the store for this long. Callers notice
/// the failure by their failed requests much earlier.
constexpr std::chrono::milliseconds kLeaseDuration{ 9000 };
/// The lease expires only after three renewals in a row were missed.
constexpr state::Duration kRenewalInterval = std::chrono::milliseconds(2500);

} // namespace

NodeRegistration::NodeRegistration(const std::string& aNode,
                                   StoreCallNumbers& aCallNumbers,
                                   RandomSource& aRandom)
  : key_(protocol::kNodePrefix + aNode)
  , callNumbers_(aCallNumbers)
  , random_(aRandom)
{
}

void
NodeRegistration::Set(const state::EndpointRecord& aRecord)
{
  desiredValue_ = ToWire(aRecord).SerializeAsString();
  nextAttempt_ = state::Instant{ 0 };
}

void
NodeRegistration::SendCall(Commands& aCommands,
                           decltype(CallStore::request) aRequest)
{
  call_ = callNumbers_.Next();
  aCommands.push_back(CallStore{ call_, std::move(aRequest) });
}

void
NodeRegistration::Tick(const NodeDirectory& aDirectory,
                       state::Instant aNow,
                       Commands& aCommands)
{
  if (desiredValue_.empty() || !aDirectory.IsListed() ||
      pending_ != Pending::None || aNow < nextAttempt_) {
    return;
  }
  if (!storedValue_.empty() && aDirectory.OwnAbsentRevision() > revision_) {
    aCommands.push_back(
      WriteLog{ LogLevel::Info,
                "membership",
                "Record was removed from the store; registering again." });
    ResetRegistration();
  }
  if (IsReplaced(aDirectory)) {
    aCommands.push_back(
      WriteLog{ LogLevel::Info,
                "membership",
                "Record in the store is another one; registering again." });
    ResetRegistration();
  }
  if (lease_ == 0) {
    pending_ = Pending::Grant;
    SendCall(aCommands, StoreGrant{ kLeaseDuration });
  } else if (storedValue_ != desiredValue_) {
    pending_ = Pending::Swap;
    valueInFlight_ = desiredValue_;
    if (revision_ == 0) {
      revision_ = aDirectory.OwnRevision();
    }
    SendCall(aCommands, StoreSwap{ key_, revision_, desiredValue_, lease_ });
  } else if (aNow >= nextRenewal_) {
    pending_ = Pending::Renew;
    SendCall(aCommands, StoreKeepAlive{ lease_ });
  }
}

bool
NodeRegistration::IsReplaced(const NodeDirectory& aDirectory) const
{
  return !storedValue_.empty() && aDirectory.OwnRevision() > revision_ &&
         aDirectory.OwnValue() != storedValue_;
}

bool
NodeRegistration::OnStoreAnswer(const StoreAnswered& aAnswer,
                                state::Instant aNow,
                                Commands& aCommands)
{
  if (aAnswer.call != call_ || pending_ == Pending::None) {
    return false;
  }
  const auto pending = std::exchange(pending_, Pending::None);
  if (std::holds_alternative<protocol::StoreError>(aAnswer.result)) {
    nextAttempt_ = aNow + backoff_.Next(random_);
  } else {
    backoff_.Reset();
  }
  switch (pending) {
    case Pending::Grant:
      OnGranted(aAnswer.result, aNow);
      break;
    case Pending::Swap:
      OnSwapped(aAnswer.result, aNow);
      break;
    default:
      OnRenewed(aAnswer.result, aNow, aCommands);
  }
  return true;
}

void
NodeRegistration::OnGranted(const StoreResult& aResult, state::Instant aNow)
{
  if (const auto* lease = std::get_if<protocol::LeaseId>(&aResult)) {
    lease_ = *lease;
    nextRenewal_ = aNow + kRenewalInterval;
  }
}

void
NodeRegistration::OnSwapped(const StoreResult& aResult, state::Instant aNow)
{
  const auto* error = std::get_if<protocol::StoreError>(&aResult);
  if (error != nullptr) {
    if (error->code == protocol::StoreErrorCode::LeaseLapsed) {
      lease_ = 0;
      nextAttempt_ = aNow;
    }
    return;
  }
  const auto* swap = std::get_if<protocol::SwapResult>(&aResult);
  if (swap == nullptr) {
    return;
  }
  revision_ = swap->current.revision;
  // If the answer to an earlier attempt was lost but the write took effect, the
  // comparison fails although the store holds the value.
  if (!swap->swapped && swap->current.value != valueInFlight_) {
    return;
  }
  storedValue_ = valueInFlight_;
  nextRenewal_ = aNow + kRenewalInterval;
}

void
NodeRegistration::OnRenewed(const StoreResult& aResult,
                            state::Instant aNow,
                            Commands& aCommands)
{
  const auto* isAlive = std::get_if<bool>(&aResult);
  if (isAlive == nullptr) {
    return;
  }
  nextRenewal_ = aNow + kRenewalInterval;
  if (!*isAlive) {
    aCommands.push_back(WriteLog{
      LogLevel::Info, "membership", "Lease expired; registering again." });
    ResetRegistration();
  }
}

void
NodeRegistration::ResetRegistration()
{
  lease_ = 0;
  storedValue_.clear();
  revision_ = 0;
}

} // namespace teaselhold::coordination
