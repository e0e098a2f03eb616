#include "Coordination/Membership.h"

#include "Coordination/EndpointCodec.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

constexpr std::size_t kMaxRelaysInList = 8;
constexpr state::Duration kRelayProbeInterval = std::chrono::seconds(1);
constexpr state::Duration kDownRelayComparisonInterval =
  std::chrono::seconds(5);
constexpr state::Duration kRoleCheckInterval = std::chrono::seconds(5);
/// Keeps the relay role from moving back and forth between nodes.
constexpr state::Duration kMinTimeAsRelay = std::chrono::seconds(30);
/// A relay with fewer leaves than this may give up its role.
constexpr std::size_t kMinLeavesToKeepRole = 6;
/// A relay gives up its role only if the other relays of its data centre then
/// still have room for this many leaves.
constexpr std::size_t kMinSpareCapacity = 12;
constexpr unsigned kRelayProbeCycles = 2;
constexpr unsigned kLeafProbeCycles = 1;

Peer
ToPeer(const state::EndpointRecord& aRecord)
{
  return { aRecord.node,
           aRecord.incarnation,
           aRecord.controlAddress,
           aRecord.dataCentre,
           aRecord.region };
}

} // namespace

Membership::Membership(const NodeOptions& aOptions,
                       EndpointDistribution& aEndpoints)
  : options_(aOptions)
  , endpoints_(aEndpoints)
  , random_(aOptions.randomSeed)
  , attachment_(aOptions, aEndpoints, random_)
  , leaves_(aEndpoints)
{
}

void
Membership::Start(const StepContext& aStep)
{
  attachment_.Join(aStep.now);
  attachment_.Tick(aStep);
}

void
Membership::Tick(const StepContext& aStep)
{
  attachment_.Tick(aStep);
  if (!IsRelay() && attachment_.WantsRelayRole() &&
      !LostRelayRule::IsDownOrGone(endpoints_.Self())) {
    BecomeRelay(aStep);
  }
  UpdatePeers(true);
  if (IsRelay()) {
    leaves_.RemoveMoved();
    ProbeRelays(aStep);
    ProbeLeaves(aStep);
    ReviewRelayRoles(aStep);
  }
  MarkSilentNodesDown(aStep);
  UpdatePeers(false);
}

void
Membership::BecomeRelay(const StepContext& aStep)
{
  const auto contacts = attachment_.ContactAddresses();
  attachment_.Stop();
  endpoints_.SetRole(true, "", aStep.now);
  relaySince_ = aStep.now;
  nextIntroduction_ = aStep.now + kIntroductionInterval;
  nextRoleCheck_ = aStep.now + kRoleCheckInterval;
  AddLog(aStep.commands, LogLevel::Info, "membership", "Relay role taken.");
  for (const auto& address : contacts) {
    Introduce(address, aStep);
  }
}

void
Membership::GiveUpRelayRole(const StepContext& aStep)
{
  const auto candidates = FindRelayCandidates(options_.identity.dataCentre);
  for (const auto& relay : candidates.relays) {
    attachment_.AddRelay(relay);
  }
  leaves_.HandOverLeaves(candidates.relays, aStep.commands);
  prober_.Clear();
  promotionCandidate_.clear();
  // The new record is sent only after another relay has accepted this node, so
  // that no node treats its upstream as lost in between.
  endpoints_.SetRole(false, "", aStep.now);
  AddLog(aStep.commands, LogLevel::Info, "membership", "Relay role given up.");
  attachment_.Join(aStep.now);
}

void
Membership::Introduce(const std::string& aAddress,
                      const StepContext& aStep) const
{
  *AddMessage(aStep.commands, aAddress)
     .mutable_endpoint_delta()
     ->add_endpoints() = ToWire(endpoints_.Self());
  endpoints_.StartComparison(aAddress, aStep);
}

LeafRegistry::RelayCandidates
Membership::FindRelayCandidates(const std::string& aDataCentre)
{
  LeafRegistry::RelayCandidates candidates;
  std::vector<const Peer*> local;
  std::vector<const Peer*> remote;
  for (const auto& relay : peers_.relays) {
    (relay.dataCentre == aDataCentre ? local : remote).push_back(&relay);
  }
  candidates.localRelayCount =
    1 + static_cast<std::size_t>(
          std::ranges::count_if(peers_.relays, [this](const Peer& aRelay) {
            return aRelay.dataCentre == options_.identity.dataCentre;
          }));
  const auto hasRoom = [this](const Peer* aRelay) {
    return leafCounts_[aRelay->node] < LeafRegistry::kMaxLeaves;
  };
  std::vector<const Peer*> localWithRoom;
  std::ranges::copy_if(local, std::back_inserter(localWithRoom), hasRoom);
  const auto& pool = !localWithRoom.empty() ? localWithRoom
                     : !local.empty()       ? local
                                            : remote;
  for (const auto* relay : random_.Sample(pool, kMaxRelaysInList)) {
    wire::RelayAddress address;
    address.set_node(relay->node);
    address.set_control_address(relay->controlAddress);
    address.set_data_centre(relay->dataCentre);
    address.set_leaves(static_cast<std::uint32_t>(leafCounts_[relay->node]));
    candidates.relays.push_back(std::move(address));
  }
  return candidates;
}

void
Membership::OnMessage(const wire::Envelope& aEnvelope, const StepContext& aStep)
{
  switch (aEnvelope.body_case()) {
    case wire::Envelope::kAttach: {
      auto candidates =
        FindRelayCandidates(aEnvelope.attach().endpoint().data_centre());
      if (!IsRelay()) {
        candidates.relays = attachment_.KnownRelays();
        candidates.relays.resize(
          std::min(candidates.relays.size(), kMaxRelaysInList));
      }
      leaves_.OnAttach(aEnvelope, candidates, aStep);
      break;
    }
    case wire::Envelope::kAttachAnswer:
      attachment_.OnAttachAnswer(aEnvelope, aStep);
      break;
    case wire::Envelope::kHeartbeat:
      leaves_.OnHeartbeat(aEnvelope,
                          FindRelayCandidates(options_.identity.dataCentre),
                          promotionCandidate_,
                          aStep);
      break;
    case wire::Envelope::kHeartbeatAnswer:
      attachment_.OnHeartbeatAnswer(aEnvelope, aStep);
      break;
    case wire::Envelope::kProbe:
      prober_.OnProbe(aEnvelope, endpoints_.Self(), aStep);
      break;
    case wire::Envelope::kProbeRequest:
      prober_.OnProbeRequest(aEnvelope, aStep);
      break;
    case wire::Envelope::kProbeAnswer:
      prober_.OnProbeAnswer(aEnvelope, aStep);
      break;
    case wire::Envelope::kRelayExchange:
      OnRelayList(aEnvelope, aStep);
      break;
    case wire::Envelope::kEndpointDelta:
      OnNewRelay(aEnvelope);
      break;
    default:
      break;
  }
  UpdatePeers(false);
}

void
Membership::OnRelayList(const wire::Envelope& aEnvelope,
                        const StepContext& aStep)
{
  const auto& exchange = aEnvelope.relay_exchange();
  if (!IsRelay() && !exchange.is_answer()) {
    auto& answer = *AddMessage(aStep.commands, aEnvelope.from_address())
                      .mutable_relay_exchange();
    answer.set_is_answer(true);
    *answer.mutable_head() = aStep.head;
    auto relays = attachment_.KnownRelays();
    relays.resize(std::min(relays.size(), kMaxRelaysInList));
    for (auto& relay : relays) {
      *answer.add_relays() = std::move(relay);
    }
    return;
  }
  for (const auto& relay : exchange.relays()) {
    const auto* known = endpoints_.Table().Find(relay.node());
    if (!IsRelay() || relay.node() == options_.identity.name ||
        (known != nullptr && known->isRelay)) {
      continue;
    }
    // The list may be outdated and name a node that has become a leaf, which
    // answers with another list. Without the rate limit, such answers would
    // multiply without end.
    if (introductions_.Allow(relay.control_address(), aStep.now)) {
      Introduce(relay.control_address(), aStep);
    }
  }
}

void
Membership::OnNewRelay(const wire::Envelope& aEnvelope)
{
  for (const auto& endpoint : aEnvelope.endpoint_delta().endpoints()) {
    if (!IsRelay() && endpoint.is_relay() && !IsCompact(endpoint) &&
        endpoint.node() == aEnvelope.from_node()) {
      wire::RelayAddress relay;
      relay.set_node(endpoint.node());
      relay.set_control_address(endpoint.control_address());
      relay.set_data_centre(endpoint.data_centre());
      attachment_.AddRelay(relay);
    }
  }
}

void
Membership::OnAnyMessage(const wire::Envelope& aEnvelope,
                         const StepContext& aStep)
{
  prober_.MarkAlive(aEnvelope.from_node(), aEnvelope.from_incarnation());
  if (IsRelay()) {
    NotifyIfMarkedDown(aEnvelope, aStep);
  }
}

void
Membership::NotifyIfMarkedDown(const wire::Envelope& aEnvelope,
                               const StepContext& aStep)
{
  const auto* record = endpoints_.Table().Find(aEnvelope.from_node());
  if (record == nullptr || record->state != state::EndpointState::Down ||
      record->incarnation != aEnvelope.from_incarnation()) {
    return;
  }
  if (!downNotices_.Allow(record->node, aStep.now)) {
    return;
  }
  *AddMessage(aStep.commands, aEnvelope.from_address())
     .mutable_endpoint_delta()
     ->add_endpoints() = ToWire(*record);
}

void
Membership::OnEventLoopLate(const StepContext& aStep)
{
  observerCheck_.OnEventLoopLate(aStep.now);
  prober_.Clear();
  leaves_.OnEventLoopLate(aStep.now);
  attachment_.OnEventLoopLate(aStep.now);
}

void
Membership::OnLeaving(const StepContext& aStep)
{
  if (IsRelay()) {
    leaves_.HandOverLeaves(
      FindRelayCandidates(options_.identity.dataCentre).relays, aStep.commands);
  }
}

void
Membership::ProbeRelays(const StepContext& aStep)
{
  if (aStep.now >= nextRelayProbe_) {
    nextRelayProbe_ = aStep.now + kRelayProbeInterval;
    if (probeOrder_.empty()) {
      for (const auto& relay : peers_.relays) {
        probeOrder_.push_back(relay.node);
      }
      const auto count = probeOrder_.size();
      probeOrder_ = random_.Sample(std::move(probeOrder_), count);
    }
    while (!probeOrder_.empty()) {
      const auto* record = endpoints_.Table().Find(probeOrder_.back());
      probeOrder_.pop_back();
      if (record != nullptr && record->isRelay &&
          !LostRelayRule::IsDownOrGone(*record)) {
        prober_.Start(ToPeer(*record), kRelayProbeCycles, aStep);
        break;
      }
    }
  }
  if (aStep.now >= nextDownRelayComparison_) {
    nextDownRelayComparison_ = aStep.now + kDownRelayComparisonInterval;
    std::vector<std::string> downRelays;
    for (const auto* record : endpoints_.Table().All()) {
      if (record->isRelay && record->state == state::EndpointState::Down) {
        downRelays.push_back(record->controlAddress);
      }
    }
    if (!downRelays.empty()) {
      endpoints_.StartComparison(
        downRelays[random_.NextBelow(downRelays.size())], aStep);
    }
  }
  if (aStep.now >= nextIntroduction_ && !options_.seeds.empty()) {
    nextIntroduction_ = aStep.now + kIntroductionInterval;
    const auto& seed = options_.seeds[random_.NextBelow(options_.seeds.size())];
    const bool isKnown =
      std::ranges::any_of(peers_.relays, [&](const Peer& aRelay) {
        return aRelay.controlAddress == seed;
      });
    if (!isKnown && seed != options_.identity.controlAddress) {
      Introduce(seed, aStep);
    }
  }
}

void
Membership::ProbeLeaves(const StepContext& aStep)
{
  std::set<std::string> probed;
  for (const auto& leaf : leaves_.SilentLeaves(aStep.now)) {
    if (probedLeaves_.contains(leaf.node) && !prober_.IsProbing(leaf.node)) {
      // The leaf answered the probe but sends no heartbeats to this relay.
      leaves_.AskToReattach(leaf, aStep.commands);
      leaves_.MarkAlive(leaf.node, leaf.incarnation, aStep.now);
      continue;
    }
    prober_.Start(leaf, kLeafProbeCycles, aStep);
    probed.insert(leaf.node);
  }
  probedLeaves_ = std::move(probed);
}

void
Membership::MarkSilentNodesDown(const StepContext& aStep)
{
  auto helpers = peers_.relays;
  std::erase_if(helpers, [&](const Peer& aRelay) {
    return prober_.IsProbing(aRelay.node);
  });
  // Relays that are being probed themselves cannot confirm a failure. If no
  // other relay remains, leaves confirm it. Otherwise the only survivor of
  // three relays could not mark the other two down.
  if (helpers.empty()) {
    helpers = peers_.leaves;
  }
  for (const auto& silent : prober_.Tick(helpers, random_, aStep)) {
    const auto& node = silent.node.node;
    const bool isLeaf = leaves_.Leaves().contains(node);
    const auto population =
      isLeaf ? leaves_.Leaves().size() : peers_.relays.size();
    const bool hasHelpers = std::ranges::any_of(
      helpers, [&](const Peer& aHelper) { return aHelper.node != node; });
    if (!observerCheck_.MayMarkDown(
          silent.isConfirmed, hasHelpers, population, aStep.now)) {
      continue;
    }
    observerCheck_.RecordMark(aStep.now);
    prober_.Stop(node);
    const auto* record = endpoints_.Table().Find(node);
    if (record != nullptr && record->incarnation == silent.node.incarnation) {
      AddLog(aStep.commands,
             LogLevel::Warning,
             "membership",
             "Marked down. node=" + node);
      endpoints_.MarkDown(node, aStep.now);
    }
    if (isLeaf) {
      leaves_.Remove(node);
    }
  }
}

void
Membership::ReviewRelayRoles(const StepContext& aStep)
{
  if (aStep.now < nextRoleCheck_) {
    return;
  }
  nextRoleCheck_ =
    aStep.now + random_.Between(kRoleCheckInterval, kRoleCheckInterval * 2);
  promotionCandidate_.clear();
  if (FindRelayCandidates(options_.identity.dataCentre).localRelayCount <
        LeafRegistry::kMinRelays &&
      !leaves_.Leaves().empty()) {
    promotionCandidate_ = leaves_.Leaves().begin()->first;
  } else if (MayGiveUpRelayRole(aStep.now)) {
    GiveUpRelayRole(aStep);
  }
}

bool
Membership::MayGiveUpRelayRole(state::Instant aNow) const
{
  const auto& self = endpoints_.Self();
  const auto ownLeaves = leaves_.Leaves().size();
  if (aNow - relaySince_ < kMinTimeAsRelay ||
      ownLeaves >= kMinLeavesToKeepRole || LostRelayRule::IsDownOrGone(self)) {
    return false;
  }
  std::size_t relays = 0;
  std::size_t spareCapacity = 0;
  for (const auto& relay : peers_.relays) {
    if (relay.dataCentre != self.dataCentre) {
      continue;
    }
    const auto count = leafCounts_.find(relay.node);
    const auto leaves = count == leafCounts_.end() ? 0 : count->second;
    ++relays;
    spareCapacity +=
      LeafRegistry::kMaxLeaves - std::min(LeafRegistry::kMaxLeaves, leaves);
    // Of several relays with few leaves, only the one whose name sorts last
    // gives up its role.
    if (leaves < kMinLeavesToKeepRole && relay.node > self.node) {
      return false;
    }
  }
  return relays >= LeafRegistry::kMinRelays &&
         spareCapacity >= ownLeaves + 1 + kMinSpareCapacity;
}

void
Membership::UpdatePeers(bool aIsTick)
{
  const bool isRoleChanged = peers_.isRelay != IsRelay();
  peers_.isRelay = IsRelay();
  peers_.relay = attachment_.Relay();
  if (!IsRelay()) {
    peers_.leaves.clear();
    peers_.relays.clear();
    for (const auto& relay : attachment_.KnownRelays()) {
      peers_.relays.push_back(
        { relay.node(), 0, relay.control_address(), relay.data_centre(), "" });
    }
    seenTopologyVersion_ = 0;
    return;
  }
  if (seenLeavesVersion_ != leaves_.Version()) {
    seenLeavesVersion_ = leaves_.Version();
    peers_.leaves.clear();
    for (const auto& [node, leaf] : leaves_.Leaves()) {
      peers_.leaves.push_back(leaf.peer);
    }
  }
  // The rest reads the whole table, so it runs at most once per tick and when
  // the role of this node changes.
  if (seenTopologyVersion_ == endpoints_.TopologyVersion() ||
      (!aIsTick && !isRoleChanged)) {
    return;
  }
  seenTopologyVersion_ = endpoints_.TopologyVersion();
  peers_.relays.clear();
  leafCounts_.clear();
  for (const auto* record : endpoints_.Table().All()) {
    if (LostRelayRule::IsDownOrGone(*record)) {
      continue;
    }
    if (!record->isRelay) {
      ++leafCounts_[record->relay];
    } else if (record->node != options_.identity.name) {
      peers_.relays.push_back(ToPeer(*record));
    }
  }
}

std::pair<Peer, bool>
Membership::Sender(const wire::Envelope& aEnvelope) const
{
  Peer peer{ aEnvelope.from_node(),
             aEnvelope.from_incarnation(),
             aEnvelope.from_address(),
             "",
             "" };
  const auto* record = endpoints_.Table().Find(peer.node);
  if (record != nullptr) {
    peer.dataCentre = record->dataCentre;
    peer.region = record->region;
  }
  if (IsRelay()) {
    return { peer, record != nullptr && record->isRelay };
  }
  for (const auto& relay : peers_.relays) {
    if (relay.node == peer.node) {
      peer.dataCentre = relay.dataCentre;
      return { peer, true };
    }
  }
  return { peer, peers_.relay && peers_.relay->node == peer.node };
}

} // namespace teaselhold::coordination
