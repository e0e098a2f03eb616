#include "Coordination/ConfigurationDistribution.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

constexpr std::size_t kMaxAlarms = 16;

const Peer*
FindPeer(const std::vector<Peer>& aPeers, const std::string& aNode)
{
  const auto found = std::ranges::find(aPeers, aNode, &Peer::node);
  return found == aPeers.end() ? nullptr : &*found;
}

/// Returns the directory's entry of the sender with the incarnation and address
/// of the message, which may be newer.
Peer
SenderOf(const wire::Envelope& aEnvelope, const PeerDirectory& aPeers)
{
  Peer sender;
  const auto& node = aEnvelope.from_node();
  if (const auto* relay = FindPeer(aPeers.relays, node)) {
    sender = *relay;
  } else if (aPeers.relay && aPeers.relay->node == node) {
    sender = *aPeers.relay;
  } else if (const auto* leaf = FindPeer(aPeers.leaves, node)) {
    sender = *leaf;
  }
  sender.node = node;
  sender.incarnation = aEnvelope.from_incarnation();
  sender.controlAddress = aEnvelope.from_address();
  return sender;
}

bool
IsRelay(const Peer& aPeer, const PeerDirectory& aPeers)
{
  return (aPeers.relay && aPeers.relay->node == aPeer.node) ||
         FindPeer(aPeers.relays, aPeer.node) != nullptr;
}

} // namespace

ConfigurationDistribution::ConfigurationDistribution(NodeIdentity aIdentity,
                                                     std::uint64_t aRandomSeed)
  : identity_(std::move(aIdentity))
  , random_(aRandomSeed)
{
}

const wire::StoredConfiguration&
ConfigurationDistribution::Held() const
{
  static const wire::StoredConfiguration kNone;
  const auto* newest = history_.Newest();
  return newest == nullptr ? kNone : newest->stored;
}

wire::Head
ConfigurationDistribution::Head() const
{
  wire::Head head;
  head.set_held_generation(gate_.Held());
  head.set_held_digest(gate_.HeldDigest());
  head.set_active_generation(gate_.Active());
  head.set_settled(gate_.IsSettled());
  if (approved_ > gate_.Active()) {
    head.set_approved_generation(approved_);
  }
  return head;
}

void
ConfigurationDistribution::RaiseAlarm(std::string aAlarm, Commands& aCommands)
{
  if (std::ranges::find(alarms_, aAlarm) != alarms_.end()) {
    return;
  }
  aCommands.push_back(WriteLog{ LogLevel::Warning, "config", aAlarm });
  if (alarms_.size() == kMaxAlarms) {
    alarms_.erase(alarms_.begin());
  }
  alarms_.push_back(std::move(aAlarm));
}

void
ConfigurationDistribution::UpdateRole(const PeerDirectory& aPeers,
                                      state::Instant aNow)
{
  if (aPeers.isRelay == isRelay_) {
    return;
  }
  isRelay_ = aPeers.isRelay;
  if (isRelay_) {
    // A leaf may lag behind the majority of the relays. As a relay it must not
    // count towards a majority until it holds every version that the majority
    // may already have put in force.
    relaySince_ = aNow;
    wasSettledLeaf_ = gate_.IsSettled();
    gate_.ForgetFloor();
  } else {
    if (wasSettledLeaf_) {
      gate_.RaiseFloor(gate_.Active());
    }
    floorSearch_.Stop();
    leavesOfRunningSearch_.clear();
    leavesOfNextSearch_.clear();
    waitingRelays_.clear();
  }
  ownQuestion_ = 0;
}

void
ConfigurationDistribution::OnHead(const Peer& aSender,
                                  bool aSenderIsRelay,
                                  const wire::Head& aHead,
                                  const PeerDirectory& aPeers,
                                  state::Instant aNow,
                                  Commands& aCommands)
{
  UpdateRole(aPeers, aNow);
  auto& known = heads_[aSender.node];
  if (aSender.incarnation < known.incarnation) {
    return;
  }
  if (aSender.incarnation > known.incarnation) {
    known = {};
    known.incarnation = aSender.incarnation;
  }
  if (isRelay_ && !aSenderIsRelay) {
    // Data sent to a leaf may be lost, so its own head replaces the assumption
    // that it holds that data, even if the generation decreases.
    known.held = aHead.held_generation();
  } else {
    known.held = std::max(known.held, aHead.held_generation());
  }
  known.active = std::max(known.active, aHead.active_generation());
  known.isSettled = aHead.settled();
  const auto approved =
    std::max(aHead.active_generation(), aHead.approved_generation());
  const bool isOwnRelay = aPeers.relay && aPeers.relay->node == aSender.node;
  if (!isRelay_ && (isOwnRelay || (aSenderIsRelay && aSender.dataCentre ==
                                                       identity_.dataCentre))) {
    approved_ = std::max(approved_, approved);
  }
  RaiseAlarmOnConflict(
    aHead.held_generation(), aHead.held_digest(), aSender.node, aCommands);
  const auto offered = isRelay_ ? aHead.held_generation() : approved;
  if (offered > gate_.Held()) {
    SendPull(puller_.OnVersionOffered(offered, aSender, aNow), aCommands);
  }
  Advance(aPeers, aNow, aCommands);
}

bool
ConfigurationDistribution::RaiseAlarmOnConflict(state::Generation aGeneration,
                                                std::uint64_t aDigest,
                                                const std::string& aSource,
                                                Commands& aCommands)
{
  if (aGeneration == 0 || aGeneration != gate_.Held() ||
      aDigest == gate_.HeldDigest()) {
    return false;
  }
  RaiseAlarm("Generation " + std::to_string(aGeneration) +
               " exists with two different texts. source=" + aSource,
             aCommands);
  return true;
}

void
ConfigurationDistribution::OnMessage(const wire::Envelope& aEnvelope,
                                     const PeerDirectory& aPeers,
                                     state::Instant aNow,
                                     Commands& aCommands)
{
  UpdateRole(aPeers, aNow);
  const auto sender = SenderOf(aEnvelope, aPeers);
  if (aEnvelope.has_head_notice()) {
    OnNotice(sender, aEnvelope.head_notice(), aPeers, aNow, aCommands);
  } else if (aEnvelope.has_configuration_pull()) {
    OnPull(sender, aEnvelope.configuration_pull(), aCommands);
  } else if (aEnvelope.has_configuration_data()) {
    OnData(sender, aEnvelope.configuration_data(), aPeers, aNow, aCommands);
  }
  Advance(aPeers, aNow, aCommands);
}

void
ConfigurationDistribution::OnNotice(const Peer& aSender,
                                    const wire::HeadNotice& aNotice,
                                    const PeerDirectory& aPeers,
                                    state::Instant aNow,
                                    Commands& aCommands)
{
  if (aNotice.question() != 0) {
    OnQuestion(aSender, aNotice, aPeers, aCommands);
  }
  if (aNotice.answer() != 0) {
    OnAnswer(aSender, aNotice);
  }
  const bool isRelay = !aNotice.from_leaf() && IsRelay(aSender, aPeers);
  OnHead(aSender, isRelay, aNotice.head(), aPeers, aNow, aCommands);
  if (isRelay_ && isRelay && aNotice.question() == 0 &&
      aNotice.head().held_generation() < gate_.Held()) {
    // The notices crossed on the network: the peer does not know the newer
    // version yet.
    SendNotice(aSender, aCommands);
  }
}

void
ConfigurationDistribution::OnStored(const wire::StoredConfiguration& aStored,
                                    const PeerDirectory& aPeers,
                                    state::Instant aNow,
                                    Commands& aCommands)
{
  UpdateRole(aPeers, aNow);
  const auto offer = gate_.Judge(aStored.generation(), aStored.digest());
  if (offer == state::VersionOffer::Newer) {
    heldFromStore_ = true;
    Hold(aStored, aCommands);
  } else {
    RaiseAlarmOnConflict(
      aStored.generation(), aStored.digest(), "the store", aCommands);
  }
  // The store may have been restored from an old backup, so the generations
  // that peers are known to run also raise the floor.
  isStoreUnavailable_ = false;
  auto floor = std::max(aStored.generation(), gate_.Held());
  for (const auto& [node, head] : heads_) {
    floor = std::max(floor, head.active);
  }
  if (!gate_.IsFloorKnown()) {
    gate_.RaiseFloor(floor);
  }
  Advance(aPeers, aNow, aCommands);
}

void
ConfigurationDistribution::Tick(const PeerDirectory& aPeers,
                                state::Instant aNow,
                                Commands& aCommands)
{
  UpdateRole(aPeers, aNow);
  Advance(aPeers, aNow, aCommands);
}

void
ConfigurationDistribution::Advance(const PeerDirectory& aPeers,
                                   state::Instant aNow,
                                   Commands& aCommands)
{
  if (isRelay_) {
    AdvanceFloor(aPeers, aNow, aCommands);
    AnswerWaitingRelays(aPeers, aCommands);
    UpdateApproved(aPeers);
  } else {
    AskRelayForFloor(aPeers, aNow, aCommands);
  }
  Activate(aCommands);
  NotifyRelays(aPeers, aCommands);
  NotifyLeaves(aPeers, aCommands);
  puller_.OnHeld(gate_.Held());
  SendPull(puller_.Retry(aNow), aCommands);
}

void
ConfigurationDistribution::Hold(wire::StoredConfiguration aStored,
                                Commands& aCommands)
{
  if (!gate_.Hold(aStored.generation(), aStored.digest())) {
    return;
  }
  const auto& version = history_.Add(std::move(aStored));
  puller_.OnHeld(gate_.Held());
  if (version.compiled != nullptr) {
    return;
  }
  refusedGeneration_ = version.stored.generation();
  refusedReason_ = version.compileErrors;
  aCommands.push_back(WriteLog{
    LogLevel::Warning,
    "config",
    "Version refused. generation=" + std::to_string(refusedGeneration_) +
      " reason=" + refusedReason_.substr(0, refusedReason_.find('\n')) });
}

void
ConfigurationDistribution::UpdateApproved(const PeerDirectory& aPeers)
{
  if (gate_.Held() <= approved_ || !gate_.IsSettled()) {
    return;
  }
  const auto set = FindRelaySet(identity_.dataCentre, aPeers);
  std::vector<state::Generation> held{ gate_.Held() };
  for (const auto& peer : set.others) {
    const auto head = heads_.find(peer.node);
    const bool counts = head != heads_.end() && head->second.isSettled &&
                        head->second.incarnation >= peer.incarnation;
    held.push_back(counts ? head->second.held : 0);
  }
  std::ranges::sort(held, std::greater<>());
  // Sorted in descending order, the generation at index size / 2 is held by a
  // majority of the set.
  const auto heldByMajority = held[set.Size() / 2];
  approved_ = std::max(approved_, std::min(heldByMajority, gate_.Held()));
}

void
ConfigurationDistribution::Activate(Commands& aCommands)
{
  const auto* version = history_.FindCompiledUpTo(approved_);
  if (version == nullptr || !gate_.MayActivate(version->stored.generation())) {
    return;
  }
  const auto generation = version->stored.generation();
  if (!gate_.Activate(generation)) {
    return;
  }
  active_ = version->compiled;
  if (generation > refusedGeneration_) {
    refusedGeneration_ = 0;
    refusedReason_.clear();
  }
  aCommands.push_back(
    WriteLog{ LogLevel::Info,
              "config",
              "Version in force. generation=" + std::to_string(generation) });
}

} // namespace teaselhold::coordination
