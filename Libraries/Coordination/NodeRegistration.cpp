#include "Coordination/NodeRegistration.h"

#include "Coordination/EndpointCodec.h"

namespace teaselhold::coordination {

namespace {

/// The record of a failed host stays in the store for this long. Callers notice
/// the failure by their failed requests much earlier.
constexpr std::chrono::milliseconds kLeaseTime{ 9000 };
/// The lease survives up to three lost renewals.
constexpr state::Duration kRenewalInterval = std::chrono::milliseconds(2500);

} // namespace

NodeRegistration::NodeRegistration(const std::string& aNode,
                                   CallNumbers& aNumbers,
                                   RandomSource& aRandom)
  : key_(protocol::kNodePrefix + aNode)
  , numbers_(aNumbers)
  , random_(aRandom)
{
}

void
NodeRegistration::Set(const state::EndpointRecord& aRecord,
                      std::uint64_t aSaveNumber)
{
  wanted_ = ToWire(aRecord).SerializeAsString();
  saveNumber_ = aSaveNumber != 0 ? aSaveNumber : saveNumber_;
  next_ = state::Instant{ 0 };
}

void
NodeRegistration::Call(Commands& aCommands,
                       decltype(CallStore::request) aRequest)
{
  call_ = numbers_.Next();
  aCommands.push_back(CallStore{ call_, std::move(aRequest) });
}

void
NodeRegistration::Tick(const NodeDirectory& aDirectory,
                       state::Instant aNow,
                       Commands& aCommands)
{
  if (wanted_.empty() || !aDirectory.IsListed() || pending_ != Pending::None ||
      aNow < next_) {
    return;
  }
  if (!written_.empty() && aDirectory.OwnAbsentRevision() > revision_) {
    aCommands.push_back(
      WriteLog{ LogLevel::Info,
                "membership",
                "Record was removed from the store; registering again." });
    Forget();
  }
  if (lease_ == 0) {
    pending_ = Pending::Grant;
    Call(aCommands, StoreGrant{ kLeaseTime });
  } else if (written_ != wanted_) {
    pending_ = Pending::Swap;
    swapping_ = wanted_;
    if (revision_ == 0) {
      revision_ = aDirectory.OwnRevision();
    }
    Call(aCommands, StoreSwap{ key_, revision_, wanted_, lease_ });
  } else if (aNow >= nextRenewal_) {
    pending_ = Pending::Renew;
    Call(aCommands, StoreKeepAlive{ lease_ });
  }
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
    next_ = aNow + backoff_.Next(random_);
  } else {
    backoff_.Reset();
  }
  switch (pending) {
    case Pending::Grant:
      OnGranted(aAnswer.result, aNow);
      break;
    case Pending::Swap:
      OnSwapped(aAnswer.result, aNow, aCommands);
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
NodeRegistration::OnSwapped(const StoreResult& aResult,
                            state::Instant aNow,
                            Commands& aCommands)
{
  const auto* error = std::get_if<protocol::StoreError>(&aResult);
  if (error != nullptr) {
    if (error->code == protocol::StoreErrorCode::LeaseLapsed) {
      lease_ = 0;
      next_ = aNow;
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
  if (!swap->swapped && swap->current.value != swapping_) {
    return;
  }
  written_ = swapping_;
  nextRenewal_ = aNow + kRenewalInterval;
  if (written_ == wanted_ && saveNumber_ != 0) {
    aCommands.push_back(LeavingSaved{ std::exchange(saveNumber_, 0) });
  }
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
    Forget();
  }
}

void
NodeRegistration::Forget()
{
  lease_ = 0;
  written_.clear();
  revision_ = 0;
}

} // namespace teaselhold::coordination
