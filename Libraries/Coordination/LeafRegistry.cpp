#include "Coordination/LeafRegistry.h"

#include "Coordination/EndpointCodec.h"

namespace teaselhold::coordination {

namespace {

/// See design 5.9.
constexpr double kAttachmentsPerSecond = 20;
/// Three heartbeat intervals and a margin for jitter in transit.
constexpr state::Duration kLeafTimeout = std::chrono::milliseconds(6200);
/// Relay lists change rarely; one heartbeat in eight carries them.
constexpr std::uint64_t kHeartbeatsPerRelayList = 8;
constexpr std::uint32_t kBusyRetryMilliseconds = 500;

} // namespace

LeafRegistry::LeafRegistry(EndpointDistribution& aEndpoints)
  : endpoints_(aEndpoints)
  , admission_(kAttachmentsPerSecond, kAttachmentsPerSecond)
{
}

std::uint64_t
LeafRegistry::NewerIncarnation(const wire::Endpoint& aEndpoint) const
{
  const auto* known = endpoints_.Table().Find(aEndpoint.node());
  if (known == nullptr) {
    return 0;
  }
  const bool isNewer = known->incarnation > aEndpoint.incarnation() ||
                       (known->incarnation == aEndpoint.incarnation() &&
                        known->sequence > aEndpoint.sequence());
  return isNewer ? known->incarnation : 0;
}

wire::AttachAnswer::Result
LeafRegistry::DecideAttach(const wire::Attach& aAttach,
                           const RelayCandidates& aCandidates,
                           state::Instant aNow)
{
  const auto& self = endpoints_.Self();
  if (!self.isRelay) {
    return wire::AttachAnswer::NOT_A_RELAY;
  }
  const bool isKnown = leaves_.contains(aAttach.endpoint().node());
  if (aAttach.endpoint().data_centre() != self.dataCentre ||
      LostRelayRule::IsDownOrGone(self) ||
      aCandidates.localRelayCount < kMinRelays ||
      (!isKnown && leaves_.size() >= kMaxLeaves)) {
    return wire::AttachAnswer::FULL;
  }
  if (!endpoints_.IsComplete() || !admission_.TryTake(1, aNow)) {
    return wire::AttachAnswer::BUSY;
  }
  return wire::AttachAnswer::ACCEPTED;
}

void
LeafRegistry::OnAttach(const wire::Envelope& aEnvelope,
                       const RelayCandidates& aCandidates,
                       const StepContext& aStep)
{
  const auto& attach = aEnvelope.attach();
  const auto newer = NewerIncarnation(attach.endpoint());
  const auto result = DecideAttach(attach, aCandidates, aStep.now);
  auto& answer = *AddMessage(aStep.commands, aEnvelope.from_address())
                    .mutable_attach_answer();
  answer.set_result(result);
  answer.set_known_incarnation(newer);
  *answer.mutable_head() = aStep.head;
  for (const auto& relay : aCandidates.relays) {
    *answer.add_relays() = relay;
  }
  if (result == wire::AttachAnswer::BUSY) {
    answer.set_retry_after_milliseconds(kBusyRetryMilliseconds);
  }
  if (result != wire::AttachAnswer::ACCEPTED) {
    return;
  }
  const auto& endpoint = attach.endpoint();
  Leaf leaf;
  leaf.peer = { endpoint.node(),
                newer == 0 ? endpoint.incarnation() : newer + 1,
                aEnvelope.from_address(),
                endpoint.data_centre(),
                endpoint.region() };
  leaf.lastHeard = aStep.now;
  leaf.attachSequence = endpoint.sequence();
  endpoints_.SetLeaf(leaf.peer,
                     { attach.reach().begin(), attach.reach().end() });
  leaves_[endpoint.node()] = std::move(leaf);
  ++version_;
}

void
LeafRegistry::OnHeartbeat(const wire::Envelope& aEnvelope,
                          const RelayCandidates& aCandidates,
                          const std::string& aPromotedLeaf,
                          const StepContext& aStep)
{
  const auto& heartbeat = aEnvelope.heartbeat();
  const auto known = leaves_.find(aEnvelope.from_node());
  if (known == leaves_.end() ||
      known->second.peer.incarnation != aEnvelope.from_incarnation()) {
    auto& answer = *AddMessage(aStep.commands, aEnvelope.from_address())
                      .mutable_heartbeat_answer();
    answer.set_number(heartbeat.number());
    answer.set_attach_again(true);
    *answer.mutable_head() = aStep.head;
    return;
  }
  auto& leaf = known->second;
  if (heartbeat.number() <= leaf.lastHeartbeatNumber) {
    // A duplicate, or older than one that has arrived already.
    return;
  }
  leaf.lastHeartbeatNumber = heartbeat.number();
  leaf.lastHeard = aStep.now;
  leaf.activeGeneration = heartbeat.head().active_generation();
  leaf.refusedGeneration = heartbeat.refused_generation();
  if (!heartbeat.refused_reason().empty()) {
    leaf.refusedReason = heartbeat.refused_reason();
  }
  if (heartbeat.has_endpoint()) {
    endpoints_.MergeAnnouncement(heartbeat.endpoint(), aStep.now);
  }
  if (heartbeat.has_reach()) {
    const auto& services = heartbeat.reach().services();
    endpoints_.SetLeaf(leaf.peer, { services.begin(), services.end() });
  }
  const auto* record = endpoints_.Table().Find(leaf.peer.node);
  auto& answer = *AddMessage(aStep.commands, leaf.peer.controlAddress)
                    .mutable_heartbeat_answer();
  answer.set_number(heartbeat.number());
  *answer.mutable_head() = aStep.head;
  answer.set_reach_digest(endpoints_.LeafDigest(leaf.peer.node));
  answer.set_take_relay_role(leaf.peer.node == aPromotedLeaf);
  if (record != nullptr && record->incarnation == leaf.peer.incarnation) {
    answer.set_known_sequence(record->sequence);
  }
  if (heartbeat.number() % kHeartbeatsPerRelayList == 1) {
    for (const auto& relay : aCandidates.relays) {
      *answer.add_relays() = relay;
    }
  }
}

void
LeafRegistry::MarkAlive(const std::string& aNode,
                        std::uint64_t aIncarnation,
                        state::Instant aNow)
{
  const auto leaf = leaves_.find(aNode);
  if (leaf != leaves_.end() && leaf->second.peer.incarnation == aIncarnation) {
    leaf->second.lastHeard = aNow;
  }
}

void
LeafRegistry::OnEventLoopLate(state::Instant aNow)
{
  for (auto& [node, leaf] : leaves_) {
    leaf.lastHeard = aNow;
  }
}

std::vector<Peer>
LeafRegistry::SilentLeaves(state::Instant aNow) const
{
  std::vector<Peer> silent;
  for (const auto& [node, leaf] : leaves_) {
    if (aNow - leaf.lastHeard >= kLeafTimeout) {
      silent.push_back(leaf.peer);
    }
  }
  return silent;
}

bool
LeafRegistry::RemoveMoved()
{
  std::vector<std::string> moved;
  for (const auto& [node, leaf] : leaves_) {
    const auto* record = endpoints_.Table().Find(node);
    if (record == nullptr) {
      continue;
    }
    const bool isLaterProcess = record->incarnation > leaf.peer.incarnation;
    const bool isNewer = record->incarnation == leaf.peer.incarnation &&
                         record->sequence > leaf.attachSequence;
    const bool isElsewhere =
      record->isRelay || record->relay != endpoints_.Self().node;
    const bool isGone = isNewer && LostRelayRule::IsDownOrGone(*record);
    if (isLaterProcess || (isNewer && isElsewhere) || isGone) {
      moved.push_back(node);
    }
  }
  for (const auto& node : moved) {
    Remove(node);
  }
  return !moved.empty();
}

void
LeafRegistry::Remove(const std::string& aNode)
{
  leaves_.erase(aNode);
  endpoints_.RemoveLeaf(aNode);
  ++version_;
}

void
LeafRegistry::HandOverLeaves(const std::vector<wire::RelayAddress>& aRelays,
                             Commands& aCommands)
{
  for (const auto& [node, leaf] : leaves_) {
    auto& answer = *AddMessage(aCommands, leaf.peer.controlAddress)
                      .mutable_heartbeat_answer();
    answer.set_attach_again(true);
    for (const auto& relay : aRelays) {
      *answer.add_relays() = relay;
    }
  }
  leaves_.clear();
  ++version_;
}

void
LeafRegistry::AskToReattach(const Peer& aLeaf, Commands& aCommands) const
{
  AddMessage(aCommands, aLeaf.controlAddress)
    .mutable_heartbeat_answer()
    ->set_attach_again(true);
}

} // namespace teaselhold::coordination
