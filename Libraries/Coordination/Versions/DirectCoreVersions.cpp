// The part of DirectCore that keeps the version in force the newest one.

#include "Coordination/DirectCore.h"
#include "Protocol/Configurations/ConfigurationEncoding.h"

namespace teaselhold::coordination {

namespace {

/// From this size on, only the selected readers read the full text: 128 KiB of
/// text in the platform's format take about 0.25 s on a link of 5 Mbit/s.
constexpr std::size_t kLargeTextBytes = std::size_t{ 128 } * 1024;
/// The same configuration is shorter when it is encoded.
constexpr std::size_t kLargeEncodedBytes = std::size_t{ 110 } * 1024;
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
  if (aConfiguration == nullptr) {
    return false;
  }
  const auto& text = aConfiguration->Text();
  return text.size() >= (protocol::IsEncodedConfiguration(text)
                           ? kLargeEncodedBytes
                           : kLargeTextBytes);
}

state::Duration
PercentOf(state::Duration aTime, int aPercent)
{
  constexpr int kHundredPercent = 100;
  return aTime * aPercent / kHundredPercent;
}

} // namespace

state::Duration
DirectCore::FollowerPause(state::Duration aBound)
{
  return PercentOf(aBound, kFollowerPausePercent);
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

} // namespace teaselhold::coordination
