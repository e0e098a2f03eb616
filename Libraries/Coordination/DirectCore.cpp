#include "Coordination/DirectCore.h"

#include "Coordination/ReaderSelection.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// If the store is unavailable for this long after the start, the node serves
/// without the departures that its previous process stored. They are taken
/// whenever the store shows them.
constexpr state::Duration kRestoreTimeout = std::chrono::seconds(3);
/// All requests in flight at an upstream that crashes, about a dozen, are
/// suspected of causing the crash.
constexpr std::size_t kMaxCrashSuspects = 32;

} // namespace

DirectCore::DirectCore(NodeOptions aOptions)
  : options_(std::move(aOptions))
  , random_(options_.randomSeed)
  , gate_(callNumbers_, random_)
  , configuration_(callNumbers_, random_)
  , apply_(callNumbers_)
  , catchUp_(options_.identity.name, random_)
  , checkNews_(random_)
  , keyVerification_(options_.strictRevokeBound, random_)
  , follower_(callNumbers_, random_, FollowerPause(options_.applyBound))
  , publisher_(callNumbers_, random_)
  , directory_(options_.identity.name, callNumbers_, random_)
  , registration_(options_.identity.name, callNumbers_, random_)
  , departures_(callNumbers_, random_)
  , rollouts_(options_.identity.name, callNumbers_, random_)
{
  const auto& identity = options_.identity;
  self_.node = identity.name;
  self_.incarnation = identity.incarnation;
  self_.sequence = 1;
  self_.service = identity.service;
  self_.dataCentre = identity.dataCentre;
  self_.region = identity.region;
  self_.dataAddress = identity.dataAddress;
  self_.controlAddress = identity.controlAddress;
  self_.slots = identity.slots;
  self_.capacity = identity.capacity;
  directory_.SetSelf(self_);
}

Commands
DirectCore::Handle(const Event& aEvent, state::Instant aNow)
{
  Commands commands;
  startTime_ = startTime_.value_or(aNow);
  if (const auto* answer = std::get_if<StoreAnswered>(&aEvent)) {
    OnStoreAnswer(*answer, aNow, commands);
  } else if (const auto* change = std::get_if<UpstreamChanged>(&aEvent)) {
    OnUpstreamChanged(*change);
  } else if (const auto* departure = std::get_if<UpstreamDeparted>(&aEvent)) {
    OnUpstreamDeparted(*departure, aNow);
  } else if (const auto* crash = std::get_if<CrashObserved>(&aEvent)) {
    OnCrash(crash->fingerprint);
  } else if (const auto* seen = std::get_if<PeerVersionSeen>(&aEvent)) {
    OnPeerVersionSeen(*seen, aNow);
  } else if (const auto* reader = std::get_if<ReaderAnswered>(&aEvent)) {
    readers_.OnAnswer(*reader, aNow);
  } else if (const auto* changes = std::get_if<ChangesAnswered>(&aEvent)) {
    OnChangesAnswered(*changes, commands);
  } else if (const auto* rollouts = std::get_if<RolloutsSeen>(&aEvent)) {
    rollouts_.OnSeen(*rollouts);
  } else if (const auto* apply = std::get_if<ApplyRequested>(&aEvent)) {
    apply_.OnApply(*apply, configuration_, commands);
  }
  if (gate_.TakeRecovered()) {
    configuration_.Restart(aNow);
    follower_.Restart(aNow);
  }
  SelectConfigurationSource(aNow, commands);
  const auto progress = Progress();
  if (catchUp_.Tick(progress, directory_.Table(), aNow, commands)) {
    configuration_.Checks().Request();
  }
  if (isFleetKnown_) {
    checkNews_.Tick(configuration_.Checks().LastCheck(),
                    { readers_.Reader(), readers_.Candidates() },
                    progress.active,
                    options_.applyBound,
                    aNow,
                    commands);
  }
  RestartSilentWatch(progress, aNow, commands);
  FollowChanges(aNow, commands);
  VerifyKeys(aNow, commands);
  configuration_.Tick(aNow, commands);
  if (const auto checked = configuration_.TakeChecked()) {
    commands.push_back(ShareCheck{ *checked });
  }
  publisher_.Tick(aNow, commands);
  directory_.Tick(aNow, commands);
  RestoreDepartures(aNow, commands);
  departures_.Tick(aNow, commands);
  registration_.Tick(directory_, aNow, commands);
  rollouts_.Tick(aNow, commands);
  if (directory_.TakeChanged()) {
    ReportCrashSuspects(aNow);
    isReader_ = IsSelectedReader(directory_.Table(), self_.node);
    readers_.SetCandidates(ReadersBefore(directory_.Table(), self_.node));
    isPublishDue_ = true;
  }
  isPublishDue_ = crashGuard_.Expire(aNow) || isPublishDue_ ||
                  configuration_.Active() != published_;
  if (isPublishDue_) {
    LogMissedVersion(aNow, commands);
    Publish(commands);
  }
  LogHeldBack(aNow, commands);
  gate_.Pass(aNow, commands);
  return commands;
}

void
DirectCore::LogHeldBack(state::Instant aNow, Commands& aCommands)
{
  if (gate_.IsHoldingBack() == heldBackSince_.has_value()) {
    return;
  }
  if (!heldBackSince_) {
    heldBackSince_ = aNow;
    aCommands.push_back(
      WriteLog{ LogLevel::Info, "store", "Calls are held back." });
    return;
  }
  const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
    aNow - *heldBackSince_);
  heldBackSince_.reset();
  aCommands.push_back(WriteLog{ LogLevel::Info,
                                "store",
                                "Calls are no longer held back. milliseconds=" +
                                  std::to_string(time.count()) });
}

void
DirectCore::OnUpstreamChanged(const UpstreamChanged& aChange)
{
  self_.state = aChange.state;
  ++self_.sequence;
  if (aChange.upstream) {
    self_.upstream = *aChange.upstream;
    self_.slots = aChange.upstream->slots;
  }
  directory_.SetSelf(self_);
  // Callers notice short outages by the refusals of this node, so only lasting
  // states are written to the store.
  const bool isLasting = aChange.state == state::EndpointState::Ready ||
                         aChange.state == state::EndpointState::Draining ||
                         aChange.state == state::EndpointState::Gone;
  if (isLasting) {
    Register();
  }
}

void
DirectCore::OnUpstreamDeparted(const UpstreamDeparted& aDeparture,
                               state::Instant aNow)
{
  directory_.AddDeparture(aDeparture.node, aDeparture.upstream);
  departures_.Add(aDeparture, aNow);
}

void
DirectCore::Register()
{
  auto record = self_;
  // A constant sequence keeps records with the same content equal, so that they
  // are not written again.
  record.sequence = 1;
  registration_.Set(record);
}

void
DirectCore::OnCrash(std::uint64_t aFingerprint)
{
  auto& suspects = self_.crashSuspects;
  suspects.push_back(aFingerprint);
  if (suspects.size() > kMaxCrashSuspects) {
    suspects.erase(suspects.begin());
  }
  ++self_.sequence;
  directory_.SetSelf(self_);
  Register();
}

void
DirectCore::ReportCrashSuspects(state::Instant aNow)
{
  for (const auto* record : directory_.Table().All()) {
    for (const auto fingerprint : record->crashSuspects) {
      isPublishDue_ =
        crashGuard_.RecordCrash(
          fingerprint, record->node, record->upstream.bornMilliseconds, aNow) ||
        isPublishDue_;
    }
  }
}

void
DirectCore::RestoreDepartures(state::Instant aNow, Commands& aCommands)
{
  const bool isComplete = directory_.IsListed();
  const bool isDue =
    isComplete || isRestored_ || aNow - *startTime_ >= kRestoreTimeout;
  if (!isDue) {
    return;
  }
  const bool isChanged = directory_.TakeOwnDeparturesChanged();
  if (isRestored_ && isRestoreComplete_ == isComplete && !isChanged) {
    return;
  }
  isRestored_ = true;
  isRestoreComplete_ = isComplete;
  aCommands.push_back(
    RestoreUpstream{ directory_.OwnDepartures().Runs(), isComplete });
}

void
DirectCore::OnStoreAnswer(const StoreAnswered& aAnswer,
                          state::Instant aNow,
                          Commands& aCommands)
{
  if (gate_.OnStoreAnswer(aAnswer, aNow)) {
    return;
  }
  if (apply_.OnStoreAnswer(aAnswer, configuration_, aCommands)) {
    return;
  }
  const auto* entry = std::get_if<protocol::StoreEntry>(&aAnswer.result);
  if (entry != nullptr && options_.followsRollouts) {
    rollouts_.OnOrdersRevision(entry->ordersRevision);
  }
  // Keeps the previous version alive, because the answer may replace it.
  auto previous = configuration_.Active();
  if (configuration_.OnStoreAnswer(aAnswer, aNow, aCommands)) {
    PublishChange(std::move(previous));
    return;
  }
  if (directory_.OnStoreAnswer(aAnswer, aNow, aCommands)) {
    if (const auto* listing =
          std::get_if<protocol::StoreListing>(&aAnswer.result)) {
      departures_.OnListing(*listing, aNow);
    }
    RestoreLostDepartures(aNow);
    return;
  }
  const bool isHandled = follower_.OnStoreAnswer(aAnswer, aNow) ||
                         publisher_.OnStoreAnswer(aAnswer, aNow) ||
                         departures_.OnStoreAnswer(aAnswer, aNow, aCommands) ||
                         rollouts_.OnStoreAnswer(aAnswer, aNow, aCommands);
  if (!isHandled) {
    OnRegistrationAnswer(aAnswer, aNow, aCommands);
  }
}

void
DirectCore::RestoreLostDepartures(state::Instant aNow)
{
  // The few readers know what all nodes know, so that each departure is written
  // a few times rather than once by each node.
  for (const auto& [node, departures] : directory_.TakeLostDepartures()) {
    if (isReader_ || node == self_.node) {
      departures_.Restore(node, departures, aNow);
    }
  }
}

void
DirectCore::OnRegistrationAnswer(const StoreAnswered& aAnswer,
                                 state::Instant aNow,
                                 Commands& aCommands)
{
  if (!registration_.OnStoreAnswer(aAnswer, aNow, aCommands)) {
    return;
  }
  // The record may be one that a previous process wrote after this one started.
  const auto* swap = std::get_if<protocol::SwapResult>(&aAnswer.result);
  if (swap != nullptr && !swap->swapped) {
    directory_.LearnFromOwnRecord(swap->current.value);
  }
}

void
DirectCore::Publish(Commands& aCommands)
{
  isPublishDue_ = false;
  if (published_ != configuration_.Active()) {
    recentChanges_.OnVersion(
      published_, configuration_.Active(), configuration_.ActiveRevision());
    aCommands.push_back(SetRecentChanges{ recentChanges_.Current() });
  }
  published_ = configuration_.Active();
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->configuration = published_;
  snapshot->endpoints =
    std::make_shared<state::EndpointTable>(directory_.Table());
  snapshot->quarantined = crashGuard_.Quarantined();
  aCommands.push_back(PublishSnapshot{ std::move(snapshot) });
}

FleetStatus
DirectCore::Status() const
{
  FleetStatus status;
  status.storeReachable = configuration_.IsStoreReachable();
  const auto& active = configuration_.Active();
  const auto generation = active == nullptr ? 0 : active->GetGeneration();
  status.storeGeneration = generation;
  status.highestGeneration =
    std::max(generation, configuration_.RefusedGeneration());
  for (const auto* record : directory_.Table().All()) {
    const bool isSelf = record->node == self_.node;
    status.nodes.push_back({ record->node,
                             record->service,
                             record->dataCentre,
                             record->state,
                             "direct",
                             isSelf ? generation : 0,
                             isSelf ? configuration_.RefusedGeneration() : 0,
                             isSelf ? configuration_.RefusedReason() : "" });
  }
  status.rollouts = rollouts_.Book().All();
  status.provenServices = rollouts_.Proven();
  return status;
}

} // namespace teaselhold::coordination
