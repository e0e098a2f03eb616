#include "Coordination/Attachment.h"

#include "Coordination/EndpointCodec.h"

namespace teaselhold::coordination {

namespace {

constexpr state::Duration kAttachTimeout = std::chrono::milliseconds(300);
constexpr state::Duration kMinBackOff = std::chrono::milliseconds(100);
constexpr state::Duration kMaxBackOff = std::chrono::seconds(5);
/// This node becomes a relay after this many rounds in which no candidate
/// accepted it or was busy.
/// The wait between rounds is jittered, so that of several nodes that start
/// together one takes the role first and the others find it.
constexpr unsigned kRoundsBeforeRelayRole = 2;
constexpr state::Duration kMinRoundWait = std::chrono::milliseconds(100);
constexpr state::Duration kMaxRoundWait = std::chrono::milliseconds(1000);
constexpr state::Duration kHeartbeatInterval = std::chrono::seconds(2);
constexpr state::Duration kHeartbeatRetryInterval =
  std::chrono::milliseconds(500);
/// Covers a heartbeat and two repeats without an answer. Leaving a live relay
/// costs one attach, while staying with a failed one delays configuration
/// changes: by up to 6.3 s with a timeout of 6 s.
constexpr state::Duration kRelayTimeout = std::chrono::milliseconds(3500);
constexpr state::Duration kMaxRejoinJitter = std::chrono::milliseconds(500);
constexpr state::Duration kPullInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxCandidates = 24;

} // namespace

Attachment::Attachment(const NodeOptions& aOptions,
                       EndpointDistribution& aEndpoints,
                       RandomSource& aRandom)
  : options_(aOptions)
  , endpoints_(aEndpoints)
  , random_(aRandom)
{
  for (const auto& seed : aOptions.seeds) {
    if (seed != aOptions.identity.controlAddress) {
      candidates_[seed].isSeed = true;
      candidates_[seed].relay.set_control_address(seed);
    }
  }
}

void
Attachment::Join(state::Instant aNow)
{
  isJoining_ = true;
  wantsRelayRole_ = false;
  attemptAddress_.clear();
  nextAttempt_ = aNow;
  failedRounds_ = 0;
  isAnyRelayBusy_ = false;
  backOff_ = kMinBackOff;
  relay_.reset();
  for (auto& [address, candidate] : candidates_) {
    candidate.isTried = false;
  }
}

void
Attachment::Stop()
{
  isJoining_ = false;
  wantsRelayRole_ = false;
  relay_.reset();
}

void
Attachment::AddRelay(const wire::RelayAddress& aRelay)
{
  const auto& address = aRelay.control_address();
  if (address == options_.identity.controlAddress || address.empty() ||
      (candidates_.size() >= kMaxCandidates &&
       !candidates_.contains(address))) {
    return;
  }
  candidates_[address].relay = aRelay;
}

std::vector<wire::RelayAddress>
Attachment::KnownRelays() const
{
  std::vector<wire::RelayAddress> relays;
  for (const auto& [address, candidate] : candidates_) {
    if (!candidate.relay.node().empty()) {
      relays.push_back(candidate.relay);
    }
  }
  return relays;
}

std::vector<std::string>
Attachment::ContactAddresses() const
{
  std::vector<std::string> contacts;
  for (const auto& [address, candidate] : candidates_) {
    contacts.push_back(address);
  }
  return contacts;
}

void
Attachment::OnEventLoopLate(state::Instant aNow)
{
  lastAnswer_ = aNow;
  nextHeartbeat_ = aNow;
}

void
Attachment::SetRefusal(state::Generation aGeneration,
                       const std::string& aReason)
{
  if (aGeneration != refusedGeneration_ || aReason != refusedReason_) {
    refusedGeneration_ = aGeneration;
    refusedReason_ = aReason;
    isRefusalDue_ = true;
  }
}

void
Attachment::Tick(const StepContext& aStep)
{
  if (isJoining_) {
    if (!attemptAddress_.empty() && aStep.now >= attemptDeadline_) {
      auto& candidate = candidates_[attemptAddress_];
      if (!candidate.isSeed) {
        candidates_.erase(attemptAddress_);
      } else {
        // A seed stays a candidate, but no longer counts as a known relay.
        candidate.relay.clear_node();
      }
      attemptAddress_.clear();
    }
    if (attemptAddress_.empty() && aStep.now >= nextAttempt_ &&
        !wantsRelayRole_) {
      TryNextCandidate(aStep);
    }
    return;
  }
  if (!relay_) {
    return;
  }
  if (aStep.now - lastAnswer_ >= kRelayTimeout) {
    AddLog(aStep.commands,
           LogLevel::Warning,
           "membership",
           "Relay silent. relay=" + relay_->node);
    const auto silent = candidates_.find(relay_->controlAddress);
    if (silent != candidates_.end() && !silent->second.isSeed) {
      candidates_.erase(silent);
    }
    Join(aStep.now + random_.Between(state::Duration(0), kMaxRejoinJitter));
    return;
  }
  const bool isRecordNew = endpoints_.Self().sequence != sentSequence_;
  if (aStep.now >= nextHeartbeat_ || isRecordNew ||
      (isReachDue_ && !isReachSent_)) {
    SendHeartbeat(aStep);
  }
}

Attachment::Candidate*
Attachment::PickCandidate()
{
  // Prefers relays of this data centre, then seeds whose data centre is not
  // known, then relays elsewhere, which can name those of this data centre.
  std::vector<std::vector<Candidate*>> groups(3);
  for (auto& [address, candidate] : candidates_) {
    if (candidate.isTried) {
      continue;
    }
    const auto& dataCentre = candidate.relay.data_centre();
    const std::size_t group = candidate.relay.node().empty()               ? 1
                              : dataCentre == options_.identity.dataCentre ? 0
                                                                           : 2;
    groups[group].push_back(&candidate);
  }
  for (const auto& group : groups) {
    if (!group.empty()) {
      auto* first = group[random_.NextBelow(group.size())];
      auto* second = group[random_.NextBelow(group.size())];
      return second->relay.leaves() < first->relay.leaves() ? second : first;
    }
  }
  return nullptr;
}

void
Attachment::TryNextCandidate(const StepContext& aStep)
{
  auto* candidate = PickCandidate();
  if (candidate == nullptr) {
    EndRound(aStep.now);
    return;
  }
  candidate->isTried = true;
  SendAttach(candidate->relay.control_address(), aStep);
}

void
Attachment::EndRound(state::Instant aNow)
{
  for (auto& [address, candidate] : candidates_) {
    candidate.isTried = false;
  }
  if (std::exchange(isAnyRelayBusy_, false)) {
    nextAttempt_ = aNow + random_.Between(backOff_ / 2, backOff_);
    backOff_ = std::min(backOff_ * 2, kMaxBackOff);
    return;
  }
  ++failedRounds_;
  wantsRelayRole_ = failedRounds_ >= kRoundsBeforeRelayRole;
  nextAttempt_ = aNow + random_.Between(kMinRoundWait, kMaxRoundWait);
}

void
Attachment::SendAttach(const std::string& aAddress, const StepContext& aStep)
{
  attemptAddress_ = aAddress;
  attemptDeadline_ = aStep.now + kAttachTimeout;
  auto& attach = *AddMessage(aStep.commands, aAddress).mutable_attach();
  *attach.mutable_endpoint() = ToWire(endpoints_.Self());
  *attach.mutable_head() = aStep.head;
  for (const auto& service : endpoints_.Reach()) {
    attach.add_reach(service);
  }
}

void
Attachment::OnAttachAnswer(const wire::Envelope& aEnvelope,
                           const StepContext& aStep)
{
  const auto& answer = aEnvelope.attach_answer();
  for (const auto& relay : answer.relays()) {
    AddRelay(relay);
  }
  if (answer.known_incarnation() != 0) {
    endpoints_.RaiseIncarnation(answer.known_incarnation(), aStep.now);
  }
  if (!isJoining_) {
    return;
  }
  if (answer.result() == wire::AttachAnswer::ACCEPTED) {
    OnAccepted(aEnvelope, aStep);
    return;
  }
  isAnyRelayBusy_ =
    isAnyRelayBusy_ || answer.result() == wire::AttachAnswer::BUSY;
  if (aEnvelope.from_address() == attemptAddress_) {
    attemptAddress_.clear();
    Tick(aStep);
  }
}

void
Attachment::OnAccepted(const wire::Envelope& aEnvelope,
                       const StepContext& aStep)
{
  isJoining_ = false;
  wantsRelayRole_ = false;
  attemptAddress_.clear();
  relay_ = Peer{ aEnvelope.from_node(),
                 aEnvelope.from_incarnation(),
                 aEnvelope.from_address(),
                 options_.identity.dataCentre,
                 options_.identity.region };
  lastAnswer_ = aStep.now;
  knownSequence_ = 0;
  isReachDue_ = false;
  isRefusalDue_ = refusedGeneration_ != 0;
  endpoints_.SetRole(false, relay_->node, aStep.now);
  AddLog(aStep.commands,
         LogLevel::Info,
         "membership",
         "Attached. relay=" + relay_->node);
  SendHeartbeat(aStep);
}

void
Attachment::SendHeartbeat(const StepContext& aStep)
{
  const auto& self = endpoints_.Self();
  auto& heartbeat =
    *AddMessage(aStep.commands, relay_->controlAddress).mutable_heartbeat();
  heartbeat.set_number(++lastHeartbeatNumber_);
  if (self.sequence != knownSequence_) {
    *heartbeat.mutable_endpoint() = ToWire(self);
  }
  heartbeat.set_sequence(self.sequence);
  *heartbeat.mutable_head() = aStep.head;
  heartbeat.set_reach_digest(endpoints_.ReachDigest());
  if (isReachDue_) {
    for (const auto& service : endpoints_.Reach()) {
      heartbeat.mutable_reach()->add_services(service);
    }
    reachHeartbeatNumber_ = lastHeartbeatNumber_;
    isReachSent_ = true;
  }
  heartbeat.set_refused_generation(refusedGeneration_);
  if (isRefusalDue_) {
    heartbeat.set_refused_reason(refusedReason_);
  }
  sentSequence_ = self.sequence;
  // Repeats the heartbeat early unless an answer arrives, so that one lost
  // datagram does not count as a missed heartbeat.
  nextHeartbeat_ = aStep.now + random_.Between(kHeartbeatRetryInterval * 9 / 10,
                                               kHeartbeatRetryInterval);
}

void
Attachment::OnHeartbeatAnswer(const wire::Envelope& aEnvelope,
                              const StepContext& aStep)
{
  const auto& answer = aEnvelope.heartbeat_answer();
  for (const auto& relay : answer.relays()) {
    AddRelay(relay);
  }
  if (!relay_ || aEnvelope.from_node() != relay_->node) {
    return;
  }
  if (answer.attach_again()) {
    Join(aStep.now);
    Tick(aStep);
    return;
  }
  lastAnswer_ = aStep.now;
  wantsRelayRole_ = answer.take_relay_role();
  knownSequence_ = answer.known_sequence();
  if (isReachDue_ && answer.number() >= reachHeartbeatNumber_ && isReachSent_) {
    isReachDue_ = false;
  }
  isRefusalDue_ = false;
  if (!isReachDue_ && knownSequence_ == endpoints_.Self().sequence) {
    nextHeartbeat_ = aStep.now + random_.Between(kHeartbeatInterval * 9 / 10,
                                                 kHeartbeatInterval);
  }
  if (answer.reach_digest() != endpoints_.ReachDigest() &&
      aStep.now >= nextPull_) {
    nextPull_ = aStep.now + kPullInterval;
    endpoints_.Pull(relay_->controlAddress, aStep.commands);
  }
}

} // namespace teaselhold::coordination
