#include "Coordination/EndpointDistribution.h"

#include "Coordination/EndpointCodec.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

constexpr std::size_t kFanOut = 4;
/// One round with a fan-out of 4 misses about 2% of the relays, two rounds miss
/// 0.03%. Table comparison delivers the records that were missed.
constexpr unsigned kUrgentRounds = 2;
constexpr std::size_t kMaxRecordsPerDelta = 100;
constexpr state::Duration kExchangeInterval = std::chrono::seconds(2);
constexpr state::Duration kFirstExchangeInterval =
  std::chrono::milliseconds(300);
/// A new relay that knows no other relay treats its table as complete after
/// this time.
constexpr state::Duration kLoneRelayTime = std::chrono::seconds(2);
constexpr state::Duration kScanInterval = std::chrono::seconds(1);
/// See design 5.9.
constexpr double kRelayRepairBytesPerSecond = 64.0 * 1024;
/// Serves 24 returning leaves in 5 s, each with about 50 KB of records in its
/// reach.
constexpr double kLeafRepairBytesPerSecond = 256.0 * 1024;

bool
IsUrgent(const state::EndpointRecord& aRecord)
{
  return aRecord.state == state::EndpointState::Draining ||
         LostRelayRule::IsDownOrGone(aRecord);
}

} // namespace

EndpointDistribution::EndpointDistribution(const NodeIdentity& aIdentity,
                                           std::uint64_t aSeed)
  : random_(aSeed)
  , relayRepairBudget_(kRelayRepairBytesPerSecond, kRelayRepairBytesPerSecond)
  , leafRepairBudget_(kLeafRepairBytesPerSecond, kLeafRepairBytesPerSecond)
{
  self_.node = aIdentity.name;
  self_.incarnation = aIdentity.incarnation;
  self_.sequence = 1;
  self_.service = aIdentity.service;
  self_.dataCentre = aIdentity.dataCentre;
  self_.region = aIdentity.region;
  self_.dataAddress = aIdentity.dataAddress;
  self_.controlAddress = aIdentity.controlAddress;
  self_.slots = aIdentity.slots;
  reach_.insert(self_.service);
  table_.Merge(self_);
}

void
EndpointDistribution::SetState(state::EndpointState aState, state::Instant aNow)
{
  if (self_.state != aState) {
    self_.state = aState;
    Announce(aNow);
  }
}

void
EndpointDistribution::SetRole(bool aIsRelay,
                              const std::string& aRelay,
                              state::Instant aNow)
{
  if (self_.isRelay == aIsRelay && self_.relay == aRelay) {
    return;
  }
  if (self_.isRelay != aIsRelay) {
    relaySince_ = aNow;
    nextExchange_ = aNow;
    comparisons_ = 0;
    isComplete_ = false;
    feed_.Clear();
    pendingPushes_.clear();
    lostRelays_.clear();
  }
  self_.isRelay = aIsRelay;
  self_.relay = aRelay;
  Announce(aNow);
  EraseOutOfReach();
}

void
EndpointDistribution::EraseOutOfReach()
{
  if (self_.isRelay) {
    return;
  }
  for (const auto* record : table_.All()) {
    if (!reach_.contains(record->service)) {
      changedAt_.erase(record->node);
      table_.Erase(std::string(record->node));
    }
  }
}

void
EndpointDistribution::Announce(state::Instant aNow)
{
  ++self_.sequence;
  MergeRecord(self_, Source::Push, aNow);
}

void
EndpointDistribution::MergeAnnouncement(const wire::Endpoint& aEndpoint,
                                        state::Instant aNow)
{
  MergeWireRecord(aEndpoint, Source::Push, aNow);
}

void
EndpointDistribution::RaiseIncarnation(std::uint64_t aIncarnation,
                                       state::Instant aNow)
{
  if (aIncarnation >= self_.incarnation) {
    self_.incarnation = aIncarnation + 1;
    Announce(aNow);
  }
}

void
EndpointDistribution::MarkDown(const std::string& aNode, state::Instant aNow)
{
  if (const auto* record = table_.Find(aNode);
      record != nullptr && !LostRelayRule::IsDownOrGone(*record)) {
    auto down = *record;
    down.state = state::EndpointState::Down;
    MergeRecord(down, Source::Push, aNow);
  }
}

void
EndpointDistribution::OnOwnRecord(const state::EndpointRecord& aRecord,
                                  state::Instant aNow)
{
  const auto theirs = std::tie(aRecord.incarnation, aRecord.sequence);
  const auto own = std::tie(self_.incarnation, self_.sequence);
  if (theirs > own) {
    // Another process announced itself under this name.
    RaiseIncarnation(aRecord.incarnation, aNow);
  } else if (theirs == own && aRecord.state == state::EndpointState::Down) {
    Announce(aNow);
  }
}

bool
EndpointDistribution::MergeRecord(const state::EndpointRecord& aRecord,
                                  Source aSource,
                                  state::Instant aNow)
{
  const auto* known = table_.Find(aRecord.node);
  if (known == nullptr && aSource == Source::Repair &&
      LostRelayRule::IsDownOrGone(aRecord)) {
    // This node has erased the record already. Adding it again would restart
    // its retention, so that the relays would keep it for ever.
    return false;
  }
  const bool isCompact =
    known != nullptr && known->incarnation == aRecord.incarnation;
  const bool isTopology = known == nullptr || aRecord.isRelay ||
                          known->isRelay || known->relay != aRecord.relay;
  if (!table_.Merge(aRecord)) {
    return false;
  }
  changedAt_[aRecord.node] = aNow;
  topologyVersion_ += isTopology ? 1 : 0;
  reachableChanged_ = reachableChanged_ || reach_.contains(aRecord.service);
  QueuePush(aRecord, isCompact, aSource);
  return true;
}

bool
EndpointDistribution::MergeWireRecord(const wire::Endpoint& aEndpoint,
                                      Source aSource,
                                      state::Instant aNow)
{
  auto record = FromWire(aEndpoint);
  if (record.node == self_.node) {
    OnOwnRecord(record, aNow);
    return false;
  }
  if (IsCompact(aEndpoint)) {
    const auto* known = table_.Find(record.node);
    if (known == nullptr || known->incarnation != record.incarnation) {
      // The next comparison of digests fetches the full record.
      return false;
    }
    record = FromCompactWire(aEndpoint, *known);
  }
  if (!self_.isRelay && !reach_.contains(record.service)) {
    return false;
  }
  return MergeRecord(record, aSource, aNow);
}

void
EndpointDistribution::QueuePush(const state::EndpointRecord& aRecord,
                                bool aIsCompact,
                                Source aSource)
{
  if (!self_.isRelay) {
    return;
  }
  const bool isUrgent = IsUrgent(aRecord);
  feed_.QueueRecord(aRecord, aIsCompact, isUrgent);
  if (aSource == Source::Repair) {
    return;
  }
  const auto queued = pendingPushes_.find(aRecord.node);
  const bool isCompact =
    aIsCompact && (queued == pendingPushes_.end() || queued->second.isCompact);
  pendingPushes_[aRecord.node] = { isUrgent ? kUrgentRounds : 1,
                                   isUrgent,
                                   isCompact };
}

bool
EndpointDistribution::SetReach(std::set<std::string> aServices)
{
  aServices.insert(self_.service);
  if (aServices == reach_) {
    return false;
  }
  reach_ = std::move(aServices);
  reachableChanged_ = true;
  EraseOutOfReach();
  return true;
}

void
EndpointDistribution::OnMessage(const wire::Envelope& aEnvelope,
                                const StepContext& aStep)
{
  if (aEnvelope.has_endpoint_delta()) {
    OnDelta(aEnvelope, aStep);
  } else if (aEnvelope.has_endpoint_pull()) {
    OnPull(aEnvelope, aStep);
  } else if (aEnvelope.has_endpoint_data()) {
    OnData(aEnvelope, aStep);
  } else if (aEnvelope.has_relay_exchange()) {
    OnExchange(aEnvelope, aStep);
  }
}

void
EndpointDistribution::OnDelta(const wire::Envelope& aEnvelope,
                              const StepContext& aStep)
{
  const auto& delta = aEnvelope.endpoint_delta();
  const auto ownSequence = self_.sequence;
  for (const auto& endpoint : delta.endpoints()) {
    MergeWireRecord(endpoint, Source::Push, aStep.now);
  }
  if (!self_.isRelay && delta.has_lost() &&
      aEnvelope.from_node() == self_.relay) {
    SetLostRelays({ delta.lost().nodes().begin(), delta.lost().nodes().end() });
  }
  if (self_.isRelay && self_.sequence != ownSequence) {
    // Sends the refutation straight to the sender, which may be the only link
    // to a region that has marked this relay down.
    *AddMessage(aStep.commands, aEnvelope.from_address())
       .mutable_endpoint_delta()
       ->add_endpoints() = ToWire(self_);
  }
}

void
EndpointDistribution::Tick(const PeerDirectory& aPeers,
                           const StepContext& aStep)
{
  if (aStep.now >= nextScan_) {
    nextScan_ = aStep.now + kScanInterval;
    ScanTable(aStep.now);
  }
  if (!self_.isRelay) {
    return;
  }
  if (aStep.now >= nextExchange_ && !aPeers.relays.empty()) {
    const auto interval =
      isComplete_ ? kExchangeInterval : kFirstExchangeInterval;
    nextExchange_ = aStep.now + random_.Between(interval * 3 / 4, interval);
    StartComparison(
      aPeers.relays[random_.NextBelow(aPeers.relays.size())].controlAddress,
      aStep);
  }
  if (!isComplete_ && aPeers.relays.empty() &&
      aStep.now - relaySince_ >= kLoneRelayTime) {
    isComplete_ = true;
  }
  FlushRelays(aPeers, false, aStep.commands);
  feed_.Flush(false, table_, lostRelays_, aStep.commands);
}

void
EndpointDistribution::FlushUrgent(const PeerDirectory& aPeers,
                                  Commands& aCommands)
{
  FlushRelays(aPeers, true, aCommands);
  feed_.Flush(true, table_, lostRelays_, aCommands);
}

void
EndpointDistribution::FlushRelays(const PeerDirectory& aPeers,
                                  bool aOnlyUrgent,
                                  Commands& aCommands)
{
  std::vector<wire::EndpointDelta> deltas;
  for (auto entry = pendingPushes_.begin(); entry != pendingPushes_.end();) {
    auto& [node, push] = *entry;
    if (aOnlyUrgent && (!push.isUrgent || push.rounds < kUrgentRounds)) {
      ++entry;
      continue;
    }
    if (const auto* record = table_.Find(node)) {
      if (deltas.empty() || deltas.back().endpoints_size() >=
                              static_cast<int>(kMaxRecordsPerDelta)) {
        deltas.emplace_back();
      }
      *deltas.back().add_endpoints() =
        push.isCompact ? ToCompactWire(*record) : ToWire(*record);
    }
    entry = --push.rounds == 0 ? pendingPushes_.erase(entry) : std::next(entry);
  }
  if (deltas.empty()) {
    return;
  }
  for (const auto& relay : random_.Sample(aPeers.relays, kFanOut)) {
    for (const auto& delta : deltas) {
      *AddMessage(aCommands, relay.controlAddress).mutable_endpoint_delta() =
        delta;
    }
  }
}

void
EndpointDistribution::ScanTable(state::Instant aNow)
{
  if (self_.isRelay) {
    const auto result = lostRule_.Scan(
      table_,
      self_.node,
      [this](const std::string& aNode) { return feed_.Contains(aNode); },
      aNow);
    SetLostRelays(result.lost);
    for (const auto* nodes : { &result.expired, &result.orphans }) {
      for (const auto& node : *nodes) {
        MarkDown(node, aNow);
      }
    }
  }
  for (const auto* record : table_.All()) {
    if (record->node != self_.node && LostRelayRule::IsDownOrGone(*record) &&
        aNow - changedAt_[record->node] >= LostRelayRule::kRetention) {
      changedAt_.erase(record->node);
      table_.Erase(std::string(record->node));
      reachableChanged_ = true;
    }
  }
}

void
EndpointDistribution::SetLostRelays(std::set<std::string> aLost)
{
  if (aLost != lostRelays_) {
    lostRelays_ = std::move(aLost);
    reachableChanged_ = true;
    feed_.QueueLostRelays();
  }
}

bool
EndpointDistribution::TakeReachableChanged()
{
  return std::exchange(reachableChanged_, false);
}

std::shared_ptr<const state::EndpointTable>
EndpointDistribution::Reachable() const
{
  auto reachable = std::make_shared<state::EndpointTable>();
  for (const auto& service : reach_) {
    for (const auto* record : table_.OfService(service)) {
      auto effective = *record;
      effective.state = EffectiveState(*record);
      reachable->Merge(effective);
    }
  }
  return reachable;
}

state::EndpointState
EndpointDistribution::EffectiveState(const state::EndpointRecord& aRecord) const
{
  const bool isLost = !aRecord.isRelay && lostRelays_.contains(aRecord.relay) &&
                      !LostRelayRule::IsDownOrGone(aRecord) &&
                      aRecord.node != self_.node;
  return isLost ? state::EndpointState::Down : aRecord.state;
}

} // namespace teaselhold::coordination
