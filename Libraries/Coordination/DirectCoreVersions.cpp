#include "Coordination/DirectCore.h"

#include "Coordination/ReaderSelection.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// From this size on, only the selected readers read the full text: 128 KiB of
/// text in the platform's format take about 0.25 s on a link of 5 Mbit/s.
constexpr std::size_t kLargeConfigurationBytes = std::size_t{ 128 } * 1024;
/// Hosts that start together have written their records within this time.
constexpr state::Duration kFleetStartTime = std::chrono::seconds(3);
/// A watch may miss a change that is made while the store drops its history, so
/// nodes also poll for missed versions. The nodes of a fleet together poll once
/// per kFleetPollInterval, and learn from each other's messages of a version
/// that one has found; a single node polls at most once per kMinPollInterval.
constexpr state::Duration kFleetPollInterval = std::chrono::milliseconds(500);
constexpr state::Duration kMinPollInterval = std::chrono::seconds(4);
/// The store connection serves one watch at a time. A new reader whose watch of
/// the configuration is queued behind its watch of the changes polls at this
/// interval until the latter ends.
constexpr state::Duration kNewReaderPollInterval =
  std::chrono::milliseconds(800);
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
/// The same while calls of the store are held back, so that the version will
/// not come in the usual way.
constexpr state::Duration kClosedWayTime = std::chrono::milliseconds(200);
/// Other nodes that are asked at the same time for the changes that are missing
/// here; one of them may have ended, or be late as well.
constexpr std::size_t kAskedPeers = 2;

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

state::Duration
DirectCore::FollowerPause(state::Duration aApplyBound)
{
  return PercentOf(aApplyBound, kFollowerPausePercent);
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
    configuration_.CheckNow(aNow);
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
  configuration_.SetWatching(!isFollowing_, PollInterval(aNow));
  configuration_.SetPauseAfterChange(
    PercentOf(options_.applyBound,
              isLarge ? kReaderPausePercent : kSmallConfigurationPausePercent));
}

state::Duration
DirectCore::PollInterval(state::Instant aNow) const
{
  if (!isFollowing_ && follower_.IsWatching()) {
    return kNewReaderPollInterval;
  }
  if (!isFollowing_ && !peerVersions_.IsHearing(aNow)) {
    return kMinPollInterval;
  }
  const auto nodes =
    static_cast<state::Duration::rep>(directory_.Table().Size());
  return std::max(kMinPollInterval, kFleetPollInterval * nodes);
}

void
DirectCore::CheckAfterPeers(state::Instant aNow, Commands& aCommands)
{
  const auto& active = configuration_.Active();
  if (active == nullptr) {
    return;
  }
  const auto usual =
    gate_.IsHoldingBack()
      ? kClosedWayTime
      : PercentOf(options_.applyBound,
                  isFollowing_ ? kFollowerWaitPercent : kWaitPercent);
  // A version that this node refused is not asked for again.
  const auto known =
    std::max(active->GetGeneration(), configuration_.RefusedGeneration());
  if (peerVersions_.TakeCheckDue(known, usual, aNow)) {
    LogBehind(aCommands);
    peerChanges_.Ask(PeersToAsk(), active->GetGeneration(), aNow, aCommands);
  }
  if (peerChanges_.TakeFailed(aNow)) {
    configuration_.CheckNow(aNow);
  }
}

std::vector<std::string>
DirectCore::PeersToAsk()
{
  std::vector<std::string> asked;
  if (isFollowing_) {
    // Readers have versions before the others.
    asked = ReadersBefore(directory_.Table(), self_.node);
    asked.resize(std::min<std::size_t>(asked.size(), 1));
  }
  std::vector<std::string> others;
  for (const auto* record : directory_.Table().All()) {
    if (record->state == state::EndpointState::Ready &&
        record->node != self_.node &&
        std::ranges::find(asked, record->dataAddress) == asked.end()) {
      others.push_back(record->dataAddress);
    }
  }
  const auto missing = kAskedPeers - asked.size();
  std::ranges::move(random_.Sample(std::move(others), missing),
                    std::back_inserter(asked));
  return asked;
}

void
DirectCore::OnChangesAnswered(const ChangesAnswered& aAnswer,
                              Commands& aCommands)
{
  // Nothing is asked before a version is in force.
  const auto& active = configuration_.Active();
  const auto generation = active == nullptr ? 0 : active->GetGeneration();
  if (const auto log = peerChanges_.OnAnswer(aAnswer, generation)) {
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
DirectCore::LogBehind(Commands& aCommands) const
{
  const auto flag = [](bool aIsSet) { return aIsSet ? "yes" : "no"; };
  const bool isWaiting =
    isFollowing_ ? follower_.IsWatching() : configuration_.IsWaiting();
  aCommands.push_back(WriteLog{
    LogLevel::Warning,
    "config",
    "Other nodes know of a newer version. generation=" +
      std::to_string(configuration_.Active()->GetGeneration()) +
      " newest=" + std::to_string(peerVersions_.Newest()) +
      " following=" + flag(isFollowing_) + " watching=" + flag(isWaiting) +
      " store_held_back=" + flag(gate_.IsHoldingBack()) });
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
    configuration_.CheckNow(aNow);
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

} // namespace teaselhold::coordination
