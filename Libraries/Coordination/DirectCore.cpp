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
/// From this size on, only the selected readers read the full text: 128 KiB of
/// text in the platform's format take about 0.25 s on a link of 5 Mbit/s.
constexpr std::size_t kLargeConfigurationBytes = std::size_t{ 128 } * 1024;
/// Hosts that start together have written their records within this time.
constexpr state::Duration kFleetStartTime = std::chrono::seconds(3);
/// The interval of a node that does not know its turn to check for a newer
/// version.
constexpr state::Duration kLoneCheckInterval = std::chrono::seconds(4);
/// How long changes are batched before they are read, in percent of
/// NodeOptions::applyBound: by a node that reads a small configuration for
/// itself, by a reader, and by a follower. The pauses of reader and follower
/// add up and leave 40% of the bound for reading, writing and compiling.
/// Batching saves store calls at every node.
constexpr int kSmallConfigurationPausePercent = 25;
constexpr int kReaderPausePercent = 15;
constexpr int kFollowerPausePercent = 45;
/// How long a version that other nodes have in force may take to reach this
/// node in the usual way, in percent of NodeOptions::applyBound. Nobody tells
/// of a version before a reader has it, so the pause of readers is over by
/// then.
constexpr int kWaitPercent = kSmallConfigurationPausePercent + 10;
constexpr int kFollowerWaitPercent = kFollowerPausePercent;
/// How long a pending watch may take to report a version that others have, with
/// a small configuration and at a follower, for which a reader writes the
/// changes first.
constexpr int kReportPercent = 20;
constexpr int kFollowerReportPercent = 30;

/// @return true if only the readers read this version in full.
bool
IsLarge(const state::ConfigurationPointer& aConfiguration)
{
  return aConfiguration != nullptr &&
         aConfiguration->Text().size() >= kLargeConfigurationBytes;
}

state::Duration
PercentOf(state::Duration aTime, int aPercent)
{
  constexpr int kHundredPercent = 100;
  return aTime * aPercent / kHundredPercent;
}

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
  , follower_(callNumbers_,
              random_,
              PercentOf(options_.applyBound, kFollowerPausePercent))
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
DirectCore::MonitorReaders(state::Instant aNow, Commands& aCommands)
{
  const bool wasSubstitute = readers_.IsSubstitute();
  const bool isWanted = IsLarge(configuration_.Active()) && isFleetKnown_ &&
                        !isReader_ && !gate_.IsOutage();
  readers_.Tick(isWanted, aNow, aCommands);
  if (readers_.IsSubstitute() && !wasSubstitute) {
    // The readers may have missed a version before they were lost.
    configuration_.Checks().Request();
  }
}

ReaderRole
DirectCore::Role() const
{
  if (!isFleetKnown_ || gate_.IsOutage() ||
      configuration_.Active() == nullptr) {
    return ReaderRole::Unavailable;
  }
  return isFollowing_ ? ReaderRole::Following : ReaderRole::Reading;
}

void
DirectCore::SelectConfigurationSource(state::Instant aNow, Commands& aCommands)
{
  const bool isLarge = IsLarge(configuration_.Active());
  // Until the other nodes are known, every node would select itself as a
  // reader.
  isFleetKnown_ =
    directory_.IsListed() && aNow - *startTime_ >= kFleetStartTime;
  MonitorReaders(aNow, aCommands);
  const bool isReading = isReader_ || readers_.IsSubstitute();
  isFollowing_ = isLarge && !(isReading && isFleetKnown_);
  if (publishedRole_ != Role()) {
    publishedRole_ = Role();
    aCommands.push_back(SetReaderRole{ publishedRole_ });
  }
  gate_.SetFleetSize(directory_.Table().Size());
  configuration_.SetWatching(!isFollowing_);
  configuration_.SetReportTime(PercentOf(options_.applyBound, kReportPercent));
  SetCheckTurn();
  configuration_.SetPauseAfterChange(
    PercentOf(options_.applyBound,
              isLarge ? kReaderPausePercent : kSmallConfigurationPausePercent));
}

void
DirectCore::SetCheckTurn()
{
  auto& checks = configuration_.Checks();
  if (isFleetKnown_) {
    checks.SetTurn(
      { readers_.Candidates().size(), directory_.Table().Size(), isFollowing_ },
      options_.applyBound);
  } else {
    checks.SetInterval(kLoneCheckInterval);
  }
}

void
DirectCore::OnPeerVersionSeen(const PeerVersionSeen& aSeen, state::Instant aNow)
{
  catchUp_.OnSeen(aSeen.generation, aNow);
  if (aSeen.attestation) {
    keyVerification_.Add(*aSeen.attestation);
  }
  if (aSeen.checked) {
    configuration_.Checks().OnCheck(*aSeen.checked);
  }
}

std::optional<state::Instant>
DirectCore::WatchingSince() const
{
  return isFollowing_ ? follower_.WaitingSince()
                      : configuration_.WaitingSince();
}

void
DirectCore::RestartSilentWatch(const VersionProgress& aProgress,
                               state::Instant aNow,
                               Commands& aCommands)
{
  const auto since = aProgress.watchingSince;
  if (!watchMonitor_.Tick(since,
                          { aProgress.known, catchUp_.Newest() },
                          aProgress.reportTime,
                          aNow)) {
    return;
  }
  if (isFollowing_) {
    follower_.Restart(aNow);
  } else {
    configuration_.Restart(aNow);
  }
  const auto waited =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - *since);
  aCommands.push_back(
    WriteLog{ LogLevel::Warning,
              "config",
              "The watch of the store is silent; it begins anew. generation=" +
                std::to_string(aProgress.active) +
                " newest=" + std::to_string(catchUp_.Newest()) +
                " watch_milliseconds=" + std::to_string(waited.count()) });
}

VersionProgress
DirectCore::Progress() const
{
  VersionProgress progress;
  const auto& active = configuration_.Active();
  progress.active = active == nullptr ? 0 : active->GetGeneration();
  // A version that this node refused is not asked for again.
  progress.known =
    std::max(progress.active, configuration_.RefusedGeneration());
  progress.usualTime = PercentOf(
    options_.applyBound, isFollowing_ ? kFollowerWaitPercent : kWaitPercent);
  progress.isFollowing = isFollowing_;
  progress.reader = readers_.Reader();
  progress.watchingSince = WatchingSince();
  progress.reportTime =
    PercentOf(options_.applyBound,
              isFollowing_ ? kFollowerReportPercent : kReportPercent);
  progress.isHeldBack = gate_.IsHoldingBack();
  return progress;
}

void
DirectCore::OnChangesAnswered(const ChangesAnswered& aAnswer,
                              Commands& aCommands)
{
  // Nothing is asked before a version is in force.
  const auto& active = configuration_.Active();
  const auto generation = active == nullptr ? 0 : active->GetGeneration();
  auto log = catchUp_.OnAnswer(aAnswer, generation);
  if (!log) {
    log = CheckNews::OnAnswer(aAnswer, generation);
  }
  if (log) {
    ApplyChanges(*log, VersionSource::Peer, aCommands);
  }
}

void
DirectCore::ApplyChanges(const ConfigurationChangeLog& aLog,
                         VersionSource aSource,
                         Commands& aCommands)
{
  configuration_.ApplyChanges(aLog, aSource, aCommands);
  if (configuration_.Active()->GetGeneration() == aLog.NewestGeneration()) {
    recentChanges_.OnLog(aLog);
  }
}

void
DirectCore::VerifyKeys(state::Instant aNow, Commands& aCommands)
{
  if (options_.strictRevokeBound == state::Duration{ 0 }) {
    return;
  }
  if (const auto attestation = configuration_.TakeAttestation()) {
    keyVerification_.Add(*attestation);
    aCommands.push_back(ShareAttestation{ *attestation });
  }
  if (keyVerification_.Tick(configuration_.Active(), aNow, aCommands)) {
    configuration_.Checks().Request();
  }
}

void
DirectCore::FollowChanges(state::Instant aNow, Commands& aCommands)
{
  if (!isFollowing_) {
    return;
  }
  follower_.Tick(isFleetKnown_, aNow, aCommands);
  const auto generation = configuration_.Active()->GetGeneration();
  if (const auto log = follower_.TakeNewer(generation)) {
    // A reader is alive, and so is the own watch.
    configuration_.Checks().OnCheck(aNow);
    ApplyChanges(*log, VersionSource::Changes, aCommands);
  }
}

void
DirectCore::PublishChange(state::ConfigurationPointer aPrevious)
{
  const auto& active = configuration_.Active();
  // Followers are the nodes that have a large version in force, so the change
  // that makes it small again has to reach them, too.
  if (active != aPrevious && (IsLarge(active) || IsLarge(aPrevious))) {
    publisher_.OnVersion(
      std::move(aPrevious), active, configuration_.Revision());
  }
}

void
DirectCore::LogMissedVersion(state::Instant aNow, Commands& aCommands) const
{
  const auto source = configuration_.ActiveSource();
  const auto since =
    isFollowing_ ? follower_.WaitingSince() : configuration_.WaitingSince();
  const bool isReported = source == VersionSource::Watch ||
                          source == VersionSource::Changes ||
                          source == VersionSource::Apply;
  if (published_ == configuration_.Active() || isReported || !since ||
      aNow - *since < Progress().reportTime) {
    return;
  }
  const auto waited =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - *since);
  aCommands.push_back(WriteLog{
    LogLevel::Warning,
    "config",
    "A version came in another way than by the watch that waits for it. "
    "generation=" +
      std::to_string(configuration_.Active()->GetGeneration()) + " source=" +
      std::string(state::FindEnumName(kVersionSourceNames, source)) +
      " watch_milliseconds=" + std::to_string(waited.count()) });
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
