#include "Coordination/ConfigurationDistribution.h"

#include <algorithm>

/// The messages of ConfigurationDistribution: questions for the floor and their
/// answers, notices of new versions, pulls and data.
namespace teaselhold::coordination {

namespace {

/// Number of random relays outside the relay set that a node notifies of a new
/// version.
constexpr std::size_t kFanOut = 4;
constexpr std::size_t kMaxLeavesOfNextSearch = 64;
constexpr std::size_t kMaxWaitingRelays = 512;
/// Time after which a new relay is assumed to know the other relays of its data
/// centre.
constexpr state::Duration kDirectoryDiscoveryTime = std::chrono::seconds(3);
constexpr state::Duration kFirstQuestionInterval =
  std::chrono::milliseconds(500);
constexpr state::Duration kLongestQuestionInterval = std::chrono::seconds(2);

} // namespace

void
ConfigurationDistribution::AdvanceFloor(const PeerDirectory& aPeers,
                                        state::Instant aNow,
                                        Commands& aCommands)
{
  const bool isNeeded =
    !gate_.IsFloorKnown() || !leavesOfRunningSearch_.empty();
  if (floorSearch_.IsRunning() && !isNeeded) {
    floorSearch_.Stop();
  }
  if (!floorSearch_.IsRunning()) {
    if (gate_.IsFloorKnown() && leavesOfNextSearch_.empty()) {
      return;
    }
    leavesOfRunningSearch_ = std::exchange(leavesOfNextSearch_, {});
    // Question 0 stands for "no question" on the wire.
    floorSearch_.Start(random_.Next() | 1, aNow);
  }
  const auto set = FindRelaySet(identity_.dataCentre, aPeers);
  for (const auto& peer : floorSearch_.SelectReceivers(set, aPeers, aNow)) {
    SendQuestion(peer, floorSearch_.Question(), aCommands);
  }
  const auto floor = floorSearch_.FindFloor(
    { gate_.IsSettled(),
      wasSettledLeaf_ && aNow - relaySince_ >= kDirectoryDiscoveryTime,
      isStoreUnavailable_,
      gate_.Held() },
    set,
    aPeers);
  if (!floor) {
    return;
  }
  floorSearch_.Stop();
  if (!gate_.IsFloorKnown()) {
    gate_.RaiseFloor(*floor);
    wasSettledLeaf_ = false;
    isStoreUnavailable_ = false;
    aCommands.push_back(WriteLog{ LogLevel::Info,
                                  "config",
                                  "Floor learned from relays. generation=" +
                                    std::to_string(*floor) });
  }
  AnswerLeaves(*floor, aPeers, aCommands);
}

void
ConfigurationDistribution::AnswerLeaves(state::Generation aFloor,
                                        const PeerDirectory& aPeers,
                                        Commands& aCommands)
{
  const auto set = FindRelaySet(identity_.dataCentre, aPeers);
  for (const auto& [node, question] : leavesOfRunningSearch_) {
    wire::Envelope envelope;
    auto& notice = *envelope.mutable_head_notice();
    *notice.mutable_head() = Head();
    notice.set_answer(question.number);
    notice.set_relay_count(static_cast<std::uint32_t>(set.Size()));
    notice.set_floor_generation(aFloor);
    Send(question.sender, std::move(envelope), aCommands);
  }
  leavesOfRunningSearch_.clear();
}

void
ConfigurationDistribution::AskRelayForFloor(const PeerDirectory& aPeers,
                                            state::Instant aNow,
                                            Commands& aCommands)
{
  if (gate_.IsFloorKnown() || !aPeers.relay) {
    return;
  }
  const bool isNew = ownQuestion_ == 0 || askedRelay_ != aPeers.relay->node;
  if (!isNew && aNow < nextOwnQuestion_) {
    return;
  }
  if (isNew) {
    ownQuestion_ = random_.Next() | 1;
    askedRelay_ = aPeers.relay->node;
    ownQuestionInterval_ = kFirstQuestionInterval;
  } else {
    ownQuestionInterval_ =
      std::min(ownQuestionInterval_ * 2, kLongestQuestionInterval);
  }
  nextOwnQuestion_ = aNow + ownQuestionInterval_;
  SendQuestion(*aPeers.relay, ownQuestion_, aCommands);
}

void
ConfigurationDistribution::OnQuestion(const Peer& aSender,
                                      const wire::HeadNotice& aNotice,
                                      const PeerDirectory& aPeers,
                                      Commands& aCommands)
{
  if (!isRelay_) {
    return;
  }
  if (!aNotice.from_leaf()) {
    const Question question{ aSender, aNotice.question() };
    AnswerRelay(question, aPeers, aCommands);
    if (!gate_.IsSettled() && waitingRelays_.size() < kMaxWaitingRelays) {
      waitingRelays_[aSender.node] = question;
    }
    return;
  }
  const auto inSearch = leavesOfRunningSearch_.find(aSender.node);
  const bool isKnown = inSearch != leavesOfRunningSearch_.end() &&
                       inSearch->second.number == aNotice.question();
  if (!isKnown && leavesOfNextSearch_.size() < kMaxLeavesOfNextSearch) {
    leavesOfNextSearch_[aSender.node] = { aSender, aNotice.question() };
  }
}

void
ConfigurationDistribution::AnswerRelay(const Question& aQuestion,
                                       const PeerDirectory& aPeers,
                                       Commands& aCommands)
{
  wire::Envelope envelope;
  auto& answer = *envelope.mutable_head_notice();
  *answer.mutable_head() = Head();
  answer.set_answer(aQuestion.number);
  const auto set = FindRelaySet(identity_.dataCentre, aPeers);
  answer.set_relay_count(static_cast<std::uint32_t>(set.Size()));
  Send(aQuestion.sender, std::move(envelope), aCommands);
}

void
ConfigurationDistribution::AnswerWaitingRelays(const PeerDirectory& aPeers,
                                               Commands& aCommands)
{
  if (!gate_.IsSettled()) {
    return;
  }
  for (const auto& [node, question] : std::exchange(waitingRelays_, {})) {
    AnswerRelay(question, aPeers, aCommands);
  }
}

void
ConfigurationDistribution::OnAnswer(const Peer& aSender,
                                    const wire::HeadNotice& aNotice)
{
  if (isRelay_) {
    floorSearch_.OnAnswer(aSender.node, aNotice);
  } else if (ownQuestion_ != 0 && aNotice.answer() == ownQuestion_) {
    gate_.RaiseFloor(aNotice.floor_generation());
    ownQuestion_ = 0;
  }
}

void
ConfigurationDistribution::OnPull(const Peer& aSender,
                                  const wire::ConfigurationPull& aPull,
                                  Commands& aCommands)
{
  const auto* version =
    aPull.from_leaf() ? history_.FindUpTo(approved_) : history_.Newest();
  if (version == nullptr ||
      version->stored.generation() <= aPull.known_generation()) {
    return;
  }
  SendData(
    aSender, *version, history_.Find(aPull.known_generation()), aCommands);
  const auto head = heads_.find(aSender.node);
  if (aPull.from_leaf() && head != heads_.end()) {
    head->second.held = version->stored.generation();
  }
}

void
ConfigurationDistribution::OnData(const Peer& aSender,
                                  const wire::ConfigurationData& aData,
                                  const PeerDirectory& aPeers,
                                  state::Instant aNow,
                                  Commands& aCommands)
{
  if (!isRelay_ && aPeers.relay && aPeers.relay->node == aSender.node) {
    approved_ = std::max(approved_, aData.approved_generation());
  }
  if (gate_.Judge(aData.generation(), aData.digest()) !=
      state::VersionOffer::Newer) {
    RaiseAlarmOnConflict(
      aData.generation(), aData.digest(), aSender.node, aCommands);
    return;
  }
  auto text = ReadText(aData);
  if (!text) {
    ++counters_.dataRejected;
    aCommands.push_back(WriteLog{ LogLevel::Debug,
                                  "config",
                                  "Configuration data rejected. generation=" +
                                    std::to_string(aData.generation()) +
                                    " source=" + aSender.node +
                                    " reason=" + text.error().message });
    SendPull(puller_.OnUnusableData(aData.generation(), aSender, aNow),
             aCommands);
    return;
  }
  ++(aData.base_generation() == 0 ? counters_.fullTextsAccepted
                                  : counters_.deltasAccepted);
  wire::StoredConfiguration stored;
  stored.set_generation(aData.generation());
  stored.set_digest(aData.digest());
  stored.set_text(std::move(*text));
  heldFromStore_ = false;
  Hold(std::move(stored), aCommands);
}

tl::expected<std::string, CoordinationError>
ConfigurationDistribution::ReadText(const wire::ConfigurationData& aData) const
{
  tl::expected<std::string, CoordinationError> text = aData.full_text();
  if (aData.base_generation() != 0) {
    const auto* base = history_.Find(aData.base_generation());
    if (base == nullptr) {
      return tl::make_unexpected(CoordinationError{
        CoordinationErrorCode::UnknownBase,
        "the delta's base generation " +
          std::to_string(aData.base_generation()) + " is not held" });
    }
    text = ApplyDelta(base->stored.text(), aData.sections());
  }
  if (text && state::DigestOfText(*text) != aData.digest()) {
    return tl::make_unexpected(CoordinationError{
      CoordinationErrorCode::DigestMismatch,
      "the digest of the text does not match the announced one" });
  }
  return text;
}

void
ConfigurationDistribution::NotifyRelays(const PeerDirectory& aPeers,
                                        Commands& aCommands)
{
  if (gate_.Held() <= generationNotifiedToRelays_) {
    return;
  }
  generationNotifiedToRelays_ = gate_.Held();
  std::vector<Peer> receivers;
  std::vector<Peer> others;
  if (isRelay_) {
    // Every member of the relay set is notified, because each counts the
    // holders of a version to detect the majority.
    const auto set = FindRelaySet(identity_.dataCentre, aPeers);
    for (const auto& peer : aPeers.relays) {
      const bool isMember =
        std::ranges::find(set.others, peer.node, &Peer::node) !=
        set.others.end();
      (isMember ? receivers : others).push_back(peer);
    }
  } else if (heldFromStore_) {
    // A leaf that got the version from the store, for example because it wrote
    // the change, notifies the relays.
    others = aPeers.relays;
    if (aPeers.relay) {
      receivers.push_back(*aPeers.relay);
      std::erase_if(others, [&](const Peer& aPeer) {
        return aPeer.node == aPeers.relay->node;
      });
    }
  }
  for (auto& peer : random_.Sample(std::move(others), kFanOut)) {
    receivers.push_back(std::move(peer));
  }
  for (const auto& peer : receivers) {
    const auto head = heads_.find(peer.node);
    // A peer that runs this version already knows that a majority holds it.
    if (head == heads_.end() || head->second.active < gate_.Held()) {
      SendNotice(peer, aCommands);
    }
  }
}

void
ConfigurationDistribution::NotifyLeaves(const PeerDirectory& aPeers,
                                        Commands& aCommands)
{
  const auto* version = history_.FindUpTo(approved_);
  if (!isRelay_ || version == nullptr ||
      version->stored.generation() <= generationNotifiedToLeaves_) {
    return;
  }
  generationNotifiedToLeaves_ = version->stored.generation();
  for (const auto& leaf : aPeers.leaves) {
    const auto head = heads_.find(leaf.node);
    const auto held = head == heads_.end() ? 0 : head->second.held;
    const auto* base = history_.Find(held);
    if (base == nullptr || held >= generationNotifiedToLeaves_) {
      // There is no base for a delta, or the leaf's generation is uncertain:
      // the leaf pulls and states which generation it holds.
      SendNotice(leaf, aCommands);
      continue;
    }
    SendData(leaf, *version, base, aCommands);
    head->second.held = generationNotifiedToLeaves_;
  }
}

const std::optional<ConfigurationSections>&
ConfigurationDistribution::DeltaBetween(const Version& aBase,
                                        const Version& aTarget)
{
  const auto base = aBase.stored.generation();
  const auto target = aTarget.stored.generation();
  if (deltaCache_.base != base || deltaCache_.target != target) {
    deltaCache_ = { base,
                    target,
                    MakeDelta(aBase.stored.text(), aTarget.stored.text()) };
  }
  return deltaCache_.sections;
}

void
ConfigurationDistribution::SendData(const Peer& aReceiver,
                                    const Version& aVersion,
                                    const Version* aBase,
                                    Commands& aCommands)
{
  ++counters_.dataSent;
  wire::Envelope envelope;
  auto& data = *envelope.mutable_configuration_data();
  data.set_generation(aVersion.stored.generation());
  data.set_digest(aVersion.stored.digest());
  data.set_approved_generation(approved_);
  if (aBase != nullptr && DeltaBetween(*aBase, aVersion)) {
    data.set_base_generation(aBase->stored.generation());
    *data.mutable_sections() = *DeltaBetween(*aBase, aVersion);
  } else {
    data.set_full_text(aVersion.stored.text());
  }
  Send(aReceiver, std::move(envelope), aCommands);
}

void
ConfigurationDistribution::SendNotice(const Peer& aReceiver,
                                      Commands& aCommands)
{
  ++counters_.noticesSent;
  wire::Envelope envelope;
  *envelope.mutable_head_notice()->mutable_head() = Head();
  Send(aReceiver, std::move(envelope), aCommands);
}

void
ConfigurationDistribution::SendQuestion(const Peer& aReceiver,
                                        std::uint64_t aQuestion,
                                        Commands& aCommands)
{
  wire::Envelope envelope;
  auto& notice = *envelope.mutable_head_notice();
  *notice.mutable_head() = Head();
  notice.set_question(aQuestion);
  notice.set_from_leaf(!isRelay_);
  Send(aReceiver, std::move(envelope), aCommands);
}

void
ConfigurationDistribution::SendPull(const std::optional<PullRequest>& aRequest,
                                    Commands& aCommands)
{
  if (!aRequest) {
    return;
  }
  ++counters_.pullsSent;
  wire::Envelope envelope;
  auto& pull = *envelope.mutable_configuration_pull();
  pull.set_known_generation(aRequest->wantsFullText ? 0 : gate_.Held());
  pull.set_from_leaf(!isRelay_);
  Send(aRequest->source, std::move(envelope), aCommands);
}

void
ConfigurationDistribution::Send(const Peer& aReceiver,
                                wire::Envelope aEnvelope,
                                Commands& aCommands)
{
  aCommands.push_back(
    SendMessage{ aReceiver.controlAddress, std::move(aEnvelope) });
}

} // namespace teaselhold::coordination
