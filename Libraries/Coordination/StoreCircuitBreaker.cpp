#include "Coordination/StoreCircuitBreaker.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

constexpr const char* kProbePrefix = "teaselhold/probe/";
constexpr state::Duration kInitialProbeDelay = std::chrono::milliseconds(100);
constexpr state::Duration kMaxProbeDelay = std::chrono::milliseconds(400);
/// Keeps the probes of a fleet of 6,500 nodes below the store's limit of 6,000
/// reads/s.
constexpr state::Duration kProbeDelayPerNode = std::chrono::microseconds(250);

bool
IsFailure(const StoreResult& aResult)
{
  const auto* error = std::get_if<protocol::StoreError>(&aResult);
  return error != nullptr &&
         (error->code == protocol::StoreErrorCode::Unavailable ||
          error->code == protocol::StoreErrorCode::Unknown ||
          error->code == protocol::StoreErrorCode::RateLimited);
}

bool
IsCancelled(const StoreResult& aResult)
{
  const auto* error = std::get_if<protocol::StoreError>(&aResult);
  return error != nullptr && error->code == protocol::StoreErrorCode::Cancelled;
}

/// Writes of the configuration come from an operator, who must learn of a
/// failure at once, so they are never queued.
bool
IsConfigurationWrite(const CallStore& aCall)
{
  const auto* swap = std::get_if<StoreSwap>(&aCall.request);
  return swap != nullptr && swap->key == protocol::kConfigurationKey;
}

bool
IsRead(const CallStore& aCall)
{
  return std::holds_alternative<StoreGet>(aCall.request) ||
         std::holds_alternative<StoreGetIfChanged>(aCall.request) ||
         std::holds_alternative<StoreList>(aCall.request);
}

bool
IsWatch(const CallStore& aCall)
{
  return std::holds_alternative<StoreWatch>(aCall.request);
}

} // namespace

StoreCircuitBreaker::StoreCircuitBreaker(StoreCallNumbers& aCallNumbers,
                                         RandomSource& aRandom)
  : callNumbers_(aCallNumbers)
  , random_(aRandom)
  , backoff_(kInitialProbeDelay, kMaxProbeDelay)
{
}

void
StoreCircuitBreaker::SetFleetSize(std::size_t aNodes)
{
  const auto nodes = static_cast<state::Duration::rep>(aNodes);
  backoff_.SetMaxDelay(
    std::max<state::Duration>(kMaxProbeDelay, kProbeDelayPerNode * nodes));
}

bool
StoreCircuitBreaker::OnStoreAnswer(const StoreAnswered& aAnswer,
                                   state::Instant aNow)
{
  const bool isProbe = probeCall_ != 0 && aAnswer.call == probeCall_;
  if (isProbe) {
    probeCall_ = 0;
  }
  const bool isRead = readsInFlight_.erase(aAnswer.call) > 0;
  if (IsFailure(aAnswer.result)) {
    isOutage_ = isOutage_ || isProbe || isRead;
    OnFailure(isProbe, aNow);
  } else if (!IsCancelled(aAnswer.result)) {
    isFailing_ = false;
    isRecovered_ = isRecovered_ || isOutage_;
    isOutage_ = false;
  }
  return isProbe;
}

void
StoreCircuitBreaker::OnFailure(bool aIsProbe, state::Instant aNow)
{
  if (!isFailing_) {
    isFailing_ = true;
    backoff_.Reset();
  } else if (!aIsProbe) {
    return;
  }
  nextProbeTime_ = aNow + backoff_.Next(random_);
}

bool
StoreCircuitBreaker::TakeRecovered()
{
  if (!isRecovered_) {
    return false;
  }
  isRecovered_ = false;
  std::erase_if(queued_, IsWatch);
  return true;
}

void
StoreCircuitBreaker::Pass(state::Instant aNow, Commands& aCommands)
{
  if (!isFailing_) {
    std::ranges::move(queued_, std::back_inserter(aCommands));
    queued_.clear();
    TrackReads(aCommands);
    return;
  }
  QueueCalls(aCommands);
  if (probeCall_ == 0 && aNow >= nextProbeTime_) {
    probeCall_ = callNumbers_.Next();
    aCommands.push_back(
      CallStore{ probeCall_,
                 StoreList{ kProbePrefix, protocol::ReadConsistency::Stale } });
  }
}

void
StoreCircuitBreaker::TrackReads(const Commands& aCommands)
{
  for (const auto& command : aCommands) {
    const auto* call = std::get_if<CallStore>(&command);
    if (call != nullptr && IsRead(*call)) {
      readsInFlight_.insert(call->call);
    }
  }
}

void
StoreCircuitBreaker::QueueCalls(Commands& aCommands)
{
  std::erase_if(aCommands, [&](Command& aCommand) {
    auto* call = std::get_if<CallStore>(&aCommand);
    if (call == nullptr || IsConfigurationWrite(*call)) {
      return false;
    }
    queued_.push_back(std::move(*call));
    return true;
  });
}

} // namespace teaselhold::coordination
