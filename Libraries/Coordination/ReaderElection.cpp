#include "Coordination/ReaderElection.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

constexpr std::chrono::milliseconds kLeaseDuration{ 4500 };
constexpr state::Duration kRenewInterval = std::chrono::milliseconds(1500);
constexpr state::Duration kRenewRetryDelay = std::chrono::milliseconds(500);
constexpr state::Duration kBeaconTimeout = std::chrono::seconds(3);
constexpr state::Duration kContentionJitter = std::chrono::seconds(1);
/// A claim needs a lease with at least this much time left.
constexpr state::Duration kMinRemainingLease = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kWatchWait{ 30000 };
/// The store client reports a result for every call; these timeouts only guard
/// against a lost result.
constexpr state::Duration kWatchTimeout = std::chrono::seconds(40);
constexpr state::Duration kCallTimeout = std::chrono::seconds(5);
constexpr state::Duration kInitialRetryDelay = std::chrono::milliseconds(100);
/// With this limit, the backoff and the claim of a slot together stay within
/// the 7 s allowed for the recovery after an outage.
constexpr state::Duration kMaxRetryDelay = std::chrono::seconds(4);
/// A restarted relay usually learns its floor from its peers within a round
/// trip. After a mass restart about 270 relays read the store within the jitter
/// window, well under 2,000 reads/s.
constexpr state::Duration kFloorReadDelay = std::chrono::milliseconds(300);
constexpr state::Duration kFloorReadJitter = std::chrono::milliseconds(1700);
constexpr state::Duration kMaxFloorRetryDelay = std::chrono::seconds(8);

state::Duration
Jitter(state::Duration aMax, RandomSource& aRandom)
{
  return aRandom.Between(state::Duration(0), aMax);
}

} // namespace

ReaderElection::ReaderElection(NodeIdentity aIdentity,
                               std::uint64_t aRandomSeed,
                               StoreCallNumbers& aCallNumbers,
                               ConfigurationDistribution& aDistribution)
  : identity_(std::move(aIdentity))
  , random_(aRandomSeed)
  , callNumbers_(aCallNumbers)
  , distribution_(aDistribution)
  , contentionBackoff_(kInitialRetryDelay, kMaxRetryDelay)
  , watchBackoff_(kInitialRetryDelay, kMaxRetryDelay)
  , writeBackBackoff_(kInitialRetryDelay, kMaxRetryDelay)
  , floorBackoff_(kInitialRetryDelay, kMaxFloorRetryDelay)
{
}

std::string
ReaderElection::SlotKey(const std::string& aRegion, std::uint32_t aSlot)
{
  return "teaselhold/reader/" + aRegion + "/" + std::to_string(aSlot);
}

std::string
ReaderElection::ClaimValue() const
{
  return identity_.name + " " + std::to_string(identity_.incarnation) + " " +
         std::to_string(lease_);
}

template<typename Request>
ReaderElection::PendingCall
ReaderElection::SendCall(Request aRequest,
                         state::Instant aNow,
                         Commands& aCommands)
{
  const PendingCall call{ callNumbers_.Next(), aNow };
  aCommands.push_back(CallStore{ call.number, std::move(aRequest) });
  return call;
}

std::vector<Peer>
ReaderElection::Candidates(const PeerDirectory& aPeers) const
{
  // Sorting by the hash of the name gives the same order on all relays and does
  // not depend on their location.
  std::vector<Peer> candidates;
  std::ranges::copy_if(
    aPeers.relays, std::back_inserter(candidates), [&](const Peer& aPeer) {
      return aPeer.region == identity_.region;
    });
  std::ranges::sort(candidates, {}, [](const Peer& aPeer) {
    return std::make_pair(state::DigestOfText(aPeer.node), aPeer.node);
  });
  if (candidates.size() > kCandidates) {
    candidates.resize(kCandidates);
  }
  return candidates;
}

bool
ReaderElection::IsCandidate(const PeerDirectory& aPeers) const
{
  const auto others = Candidates(aPeers);
  if (others.size() < kCandidates) {
    return true;
  }
  const auto& last = others.back().node;
  return std::make_pair(state::DigestOfText(identity_.name), identity_.name) <
         std::make_pair(state::DigestOfText(last), last);
}

void
ReaderElection::Tick(const PeerDirectory& aPeers,
                     state::Instant aNow,
                     Commands& aCommands)
{
  if (aPeers.isRelay != isRelay_) {
    isRelay_ = aPeers.isRelay;
    // A new relay first waits for the beacons of the present readers.
    lastBeacons_.fill(aNow);
    nextContention_.reset();
    nextFloorRead_.reset();
    if (stage_ != Stage::Idle) {
      LoseSlot("this node is no longer a relay", aNow, aCommands);
    }
  }
  if (!isRelay_) {
    return;
  }
  LoseSlotIfExpired(aNow, aCommands);
  ReadFloor(aNow, aCommands);
  if (stage_ == Stage::Holding) {
    Renew(aNow, aCommands);
    Watch(aNow, aCommands);
    WriteBack(aNow, aCommands);
  } else {
    Contend(aPeers, aNow, aCommands);
  }
}

void
ReaderElection::OnMessage(const wire::Envelope& aEnvelope, state::Instant aNow)
{
  const auto& notice = aEnvelope.head_notice();
  if (!aEnvelope.has_head_notice() || notice.reader().empty() ||
      notice.region() != identity_.region || notice.slot() >= kSlots) {
    return;
  }
  lastBeacons_[notice.slot()] = aNow;
}

bool
ReaderElection::IsSlotFree(std::uint32_t aSlot, state::Instant aNow) const
{
  return aNow - lastBeacons_[aSlot] > kBeaconTimeout;
}

void
ReaderElection::Contend(const PeerDirectory& aPeers,
                        state::Instant aNow,
                        Commands& aCommands)
{
  if (stage_ != Stage::Idle) {
    if (aNow - slotCall_.sent > kCallTimeout) {
      BecomeIdle(contentionBackoff_.Next(random_), aNow);
    }
    return;
  }
  std::vector<std::uint32_t> freeSlots;
  for (std::uint32_t slot = 0; slot < kSlots; ++slot) {
    if (IsSlotFree(slot, aNow)) {
      freeSlots.push_back(slot);
    }
  }
  if (freeSlots.empty() || !IsCandidate(aPeers)) {
    nextContention_.reset();
    return;
  }
  if (!nextContention_) {
    nextContention_ = aNow + Jitter(kContentionJitter, random_);
  }
  if (aNow < *nextContention_) {
    return;
  }
  const bool isLeaseValid =
    lease_ != 0 && aNow + kMinRemainingLease < leaseExpiry_;
  if (isLeaseValid && IsSlotFree(slot_, aNow)) {
    // The answer to the last claim was lost, so this node may already hold the
    // slot.
    Claim(aNow, aCommands);
    return;
  }
  slot_ = freeSlots[random_.NextBelow(freeSlots.size())];
  stage_ = Stage::Granting;
  slotCall_ = SendCall(StoreGrant{ kLeaseDuration }, aNow, aCommands);
}

void
ReaderElection::Claim(state::Instant aNow, Commands& aCommands)
{
  stage_ = Stage::Claiming;
  slotCall_ = SendCall(
    StoreSwap{ SlotKey(identity_.region, slot_), 0, ClaimValue(), lease_ },
    aNow,
    aCommands);
}

void
ReaderElection::BecomeIdle(state::Duration aDelay, state::Instant aNow)
{
  stage_ = Stage::Idle;
  slotCall_ = {};
  nextContention_ = aNow + aDelay;
}

void
ReaderElection::OnGrantAnswer(const StoreResult& aResult,
                              state::Instant aNow,
                              Commands& aCommands)
{
  const auto* lease = std::get_if<protocol::LeaseId>(&aResult);
  if (lease == nullptr) {
    BecomeIdle(contentionBackoff_.Next(random_), aNow);
    return;
  }
  lease_ = *lease;
  leaseExpiry_ = slotCall_.sent + kLeaseDuration;
  Claim(aNow, aCommands);
}

void
ReaderElection::OnClaimAnswer(const StoreResult& aResult,
                              const PeerDirectory& aPeers,
                              state::Instant aNow,
                              Commands& aCommands)
{
  const auto* swap = std::get_if<protocol::SwapResult>(&aResult);
  if (swap == nullptr) {
    BecomeIdle(contentionBackoff_.Next(random_), aNow);
    return;
  }
  contentionBackoff_.Reset();
  if (!swap->swapped && swap->current.value != ClaimValue()) {
    // The beacons of the slot's holder have not arrived yet, or the lease of a
    // former holder has not expired.
    lastBeacons_[slot_] = aNow;
    lease_ = 0;
    BecomeIdle(Jitter(kContentionJitter, random_), aNow);
    return;
  }
  stage_ = Stage::Holding;
  slotCall_ = {};
  nextRenewal_ = aNow + kRenewInterval;
  nextWatch_ = aNow;
  watchBackoff_.Reset();
  aCommands.push_back(WriteLog{ LogLevel::Info,
                                "reader",
                                "Slot taken. slot=" + std::to_string(slot_) +
                                  " region=" + identity_.region });
  SendBeacon(aPeers, aCommands);
  Tick(aPeers, aNow, aCommands);
}

void
ReaderElection::Renew(state::Instant aNow, Commands& aCommands)
{
  const bool isPending =
    slotCall_.number != 0 && aNow - slotCall_.sent <= kCallTimeout;
  if (!isPending && aNow >= nextRenewal_) {
    nextRenewal_ = aNow + kRenewInterval;
    slotCall_ = SendCall(StoreKeepAlive{ lease_ }, aNow, aCommands);
  }
}

void
ReaderElection::OnRenewalAnswer(const StoreResult& aResult,
                                const PeerDirectory& aPeers,
                                state::Instant aNow,
                                Commands& aCommands)
{
  const auto sent = std::exchange(slotCall_, {}).sent;
  const auto* isAlive = std::get_if<bool>(&aResult);
  if (isAlive == nullptr) {
    nextRenewal_ = aNow + kRenewRetryDelay;
  } else if (!*isAlive) {
    LoseSlot("the lease expired in the store", aNow, aCommands);
  } else {
    leaseExpiry_ = sent + kLeaseDuration;
    SendBeacon(aPeers, aCommands);
  }
}

void
ReaderElection::LoseSlot(const char* aReason,
                         state::Instant aNow,
                         Commands& aCommands)
{
  if (stage_ == Stage::Holding) {
    aCommands.push_back(WriteLog{ LogLevel::Info,
                                  "reader",
                                  "Slot lost. slot=" + std::to_string(slot_) +
                                    " reason=" + aReason });
  }
  lease_ = 0;
  BecomeIdle(Jitter(kContentionJitter, random_), aNow);
}

void
ReaderElection::LoseSlotIfExpired(state::Instant aNow, Commands& aCommands)
{
  if (stage_ == Stage::Holding && aNow >= leaseExpiry_) {
    LoseSlot("the lease was not renewed in time", aNow, aCommands);
  }
}

void
ReaderElection::SendBeacon(const PeerDirectory& aPeers, Commands& aCommands)
{
  wire::Envelope envelope;
  auto& notice = *envelope.mutable_head_notice();
  *notice.mutable_head() = distribution_.Head();
  notice.set_reader(identity_.name);
  notice.set_region(identity_.region);
  notice.set_slot(slot_);
  notice.set_beacon(++beaconNumber_);
  for (const auto& peer : Candidates(aPeers)) {
    aCommands.push_back(SendMessage{ peer.controlAddress, envelope });
  }
}

bool
ReaderElection::OnStoreAnswer(const StoreAnswered& aAnswer,
                              const PeerDirectory& aPeers,
                              state::Instant aNow,
                              Commands& aCommands)
{
  const auto isAnswerTo = [&](const PendingCall& aCall) {
    return aCall.number != 0 && aCall.number == aAnswer.call;
  };
  const bool isSlotCall = isAnswerTo(slotCall_);
  if (!isSlotCall && !isAnswerTo(watchCall_) && !isAnswerTo(writeBackCall_) &&
      !isAnswerTo(floorCall_)) {
    return false;
  }
  isStoreReachable_ =
    !std::holds_alternative<protocol::StoreError>(aAnswer.result);
  if (isSlotCall && stage_ == Stage::Granting) {
    OnGrantAnswer(aAnswer.result, aNow, aCommands);
  } else if (isSlotCall && stage_ == Stage::Claiming) {
    OnClaimAnswer(aAnswer.result, aPeers, aNow, aCommands);
  } else if (isSlotCall) {
    OnRenewalAnswer(aAnswer.result, aPeers, aNow, aCommands);
  } else if (isAnswerTo(watchCall_)) {
    OnWatchAnswer(aAnswer.result, aPeers, aNow, aCommands);
  } else if (isAnswerTo(writeBackCall_)) {
    OnWriteBackAnswer(aAnswer.result, aPeers, aNow, aCommands);
  } else {
    OnFloorAnswer(aAnswer.result, aPeers, aNow, aCommands);
  }
  LoseSlotIfExpired(aNow, aCommands);
  return true;
}

void
ReaderElection::Watch(state::Instant aNow, Commands& aCommands)
{
  const bool isPending =
    watchCall_.number != 0 && aNow - watchCall_.sent <= kWatchTimeout;
  if (!isPending && aNow >= nextWatch_) {
    watchCall_ = SendCall(
      StoreWatch{ protocol::kConfigurationKey, knownRevision_, kWatchWait },
      aNow,
      aCommands);
  }
}

void
ReaderElection::OnWatchAnswer(const StoreResult& aResult,
                              const PeerDirectory& aPeers,
                              state::Instant aNow,
                              Commands& aCommands)
{
  watchCall_ = {};
  const auto* entry = std::get_if<protocol::StoreEntry>(&aResult);
  if (entry == nullptr) {
    nextWatch_ = aNow + watchBackoff_.Next(random_);
    return;
  }
  watchBackoff_.Reset();
  nextWatch_ = aNow;
  OnEntry(*entry, aPeers, aNow, aCommands);
  // Sends the next watch at once instead of on the next tick.
  if (stage_ == Stage::Holding && aNow < leaseExpiry_) {
    Watch(aNow, aCommands);
  }
}

void
ReaderElection::OnEntry(const protocol::StoreEntry& aEntry,
                        const PeerDirectory& aPeers,
                        state::Instant aNow,
                        Commands& aCommands)
{
  knownRevision_ = aEntry.revision;
  staleRevision_.reset();
  wire::StoredConfiguration stored;
  if (aEntry.revision != 0 && !stored.ParseFromString(aEntry.value)) {
    distribution_.RaiseAlarm("The configuration in the store cannot be parsed; "
                             "the version in force is kept.",
                             aCommands);
    return;
  }
  storeGeneration_ = stored.generation();
  distribution_.OnStored(stored, aPeers, aNow, aCommands);
  if (stored.generation() < distribution_.Held().generation()) {
    staleRevision_ = aEntry.revision;
    nextWriteBack_ = aNow;
    if (stage_ == Stage::Holding) {
      WriteBack(aNow, aCommands);
    }
  }
}

void
ReaderElection::WriteBack(state::Instant aNow, Commands& aCommands)
{
  const auto& held = distribution_.Held();
  const bool isPending =
    writeBackCall_.number != 0 && aNow - writeBackCall_.sent <= kCallTimeout;
  if (!staleRevision_ || isPending || aNow < nextWriteBack_ ||
      distribution_.Approved() < held.generation()) {
    return;
  }
  writtenBack_ = held;
  writeBackCall_ = SendCall(StoreSwap{ protocol::kConfigurationKey,
                                       *staleRevision_,
                                       writtenBack_.SerializeAsString(),
                                       0 },
                            aNow,
                            aCommands);
}

void
ReaderElection::OnWriteBackAnswer(const StoreResult& aResult,
                                  const PeerDirectory& aPeers,
                                  state::Instant aNow,
                                  Commands& aCommands)
{
  writeBackCall_ = {};
  const auto* swap = std::get_if<protocol::SwapResult>(&aResult);
  if (swap == nullptr) {
    nextWriteBack_ = aNow + writeBackBackoff_.Next(random_);
    return;
  }
  writeBackBackoff_.Reset();
  if (!swap->swapped) {
    // The value has changed since it was read, so it is evaluated again.
    OnEntry(swap->current, aPeers, aNow, aCommands);
    return;
  }
  const auto storedGeneration = std::to_string(storeGeneration_);
  const auto generation = std::to_string(writtenBack_.generation());
  distribution_.RaiseAlarm("The store went back to generation " +
                             storedGeneration + "; generation " + generation +
                             " was written back.",
                           aCommands);
  staleRevision_.reset();
  knownRevision_ = swap->current.revision;
  storeGeneration_ = writtenBack_.generation();
}

void
ReaderElection::ReadFloor(state::Instant aNow, Commands& aCommands)
{
  if (distribution_.IsSettled()) {
    nextFloorRead_.reset();
    return;
  }
  if (!nextFloorRead_) {
    nextFloorRead_ = aNow + kFloorReadDelay + Jitter(kFloorReadJitter, random_);
  }
  const bool isPending =
    floorCall_.number != 0 && aNow - floorCall_.sent <= kCallTimeout;
  if (!isPending && aNow >= *nextFloorRead_) {
    floorCall_ =
      SendCall(StoreGet{ protocol::kConfigurationKey }, aNow, aCommands);
  }
}

void
ReaderElection::OnFloorAnswer(const StoreResult& aResult,
                              const PeerDirectory& aPeers,
                              state::Instant aNow,
                              Commands& aCommands)
{
  floorCall_ = {};
  nextFloorRead_ = aNow + floorBackoff_.Next(random_);
  const auto* entry = std::get_if<protocol::StoreEntry>(&aResult);
  wire::StoredConfiguration stored;
  if (entry == nullptr) {
    distribution_.OnStoreUnavailable();
    distribution_.Tick(aPeers, aNow, aCommands);
    return;
  }
  if (entry->revision != 0 && !stored.ParseFromString(entry->value)) {
    return;
  }
  floorBackoff_.Reset();
  storeGeneration_ = std::max(storeGeneration_, stored.generation());
  distribution_.OnStored(stored, aPeers, aNow, aCommands);
}

} // namespace teaselhold::coordination
