#pragma once

#include "Coordination/Backoff.h"
#include "Coordination/ConfigurationChangeLog.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/StoreCallNumbers.h"
#include "Coordination/Versions/CheckSchedule.h"

namespace teaselhold::coordination {

/// How a node learnt of a version, for its log.
enum class VersionSource : std::uint8_t
{
  /// The watch of the whole configuration.
  Watch,
  /// A check for a newer version.
  Check,
  /// A read of the whole configuration that the changes made necessary.
  Read,
  /// The changes that other nodes wrote.
  Changes,
  /// The changes that another node had in force.
  Peer,
  /// A write of this node for an operator.
  Apply,
};

inline constexpr std::array<state::EnumName<VersionSource>, 6>
  kVersionSourceNames{ {
    { VersionSource::Watch, "watch" },
    { VersionSource::Check, "check" },
    { VersionSource::Read, "read" },
    { VersionSource::Changes, "changes" },
    { VersionSource::Peer, "peer" },
    { VersionSource::Apply, "apply" },
  } };

/// Keeps the configuration up to date by watching the store. A version takes
/// effect atomically, and never after a newer one.
class ConfigurationWatch
{
public:
  ConfigurationWatch(StoreCallNumbers& aNumbers, RandomSource& aRandom)
    : numbers_(aNumbers)
    , checks_(aRandom)
    , random_(aRandom)
  {
  }

  /// Chooses whether to watch the whole configuration. Nodes that receive
  /// changes in another way only check for a newer version.
  void SetWatching(bool aIsWatching) { isWatching_ = aIsWatching; }

  /// Abandons a pending watch, which may never be answered, and retries without
  /// backoff.
  void Restart(state::Instant aNow);

  /// Sets how long the store may take to report a version to a watch. Before
  /// that time a new watch is as good as a check.
  void SetReportTime(state::Duration aTime) { reportTime_ = aTime; }

  /// When this node checks for a newer version.
  CheckSchedule& Checks() { return checks_; }

  /// Returns the time of the last check that this node made and that it has not
  /// told others of, once.
  std::optional<state::Instant> TakeChecked()
  {
    return std::exchange(checked_, std::nullopt);
  }

  /// Sets the pause between a change and the next watch. Changes within this
  /// time of each other are fetched by a single call.
  void SetPauseAfterChange(state::Duration aPause)
  {
    pauseAfterChange_ = aPause;
  }

  /// Starts the check, the full read and the watch that are due. At most one
  /// read or check and one watch are pending at a time.
  void Tick(state::Instant aNow, Commands& aCommands);

  /// @return false if the answer is not for a call of this object.
  bool OnStoreAnswer(const StoreAnswered& aAnswer,
                     state::Instant aNow,
                     Commands& aCommands);

  /// Applies the changes in aLog to the version in force. Schedules a read of
  /// the whole configuration if they do not lead to the newest version.
  void ApplyChanges(const ConfigurationChangeLog& aLog,
                    VersionSource aSource,
                    Commands& aCommands);

  /// Processes a value of the configuration's key.
  void OnStoredValue(const protocol::StoreEntry& aEntry,
                     VersionSource aSource,
                     Commands& aCommands);

  /// Returns whether a watch of the configuration is waiting.
  bool IsWaiting() const { return watchCall_ != 0; }

  /// Returns since when a watch of the configuration has been waiting; nullopt
  /// if none is.
  std::optional<state::Instant> WaitingSince() const
  {
    return IsWaiting() ? std::optional(watchSent_) : std::nullopt;
  }

  /// Returns what the last linearizable read said of the newest version, once.
  std::optional<Attestation> TakeAttestation()
  {
    return std::exchange(attestation_, std::nullopt);
  }

  /// @return nullptr until a version is in force.
  const state::ConfigurationPointer& Active() const { return active_; }

  /// Returns how this node learnt of the version in force.
  VersionSource ActiveSource() const { return activeSource_; }

  std::uint64_t Revision() const { return revision_; }
  /// Returns the revision of the stored value that is in force.
  std::uint64_t ActiveRevision() const { return activeRevision_; }
  bool IsStoreReachable() const { return isStoreReachable_; }
  state::Generation RefusedGeneration() const { return refusedGeneration_; }
  const std::string& RefusedReason() const { return refusedReason_; }

private:
  void Refuse(state::Generation aGeneration,
              std::string aReason,
              Commands& aCommands);

  /// The generation of the stored value that has this revision, if it is in
  /// force; a refused value may withdraw keys and attests nothing.
  state::Generation InForceAt(std::uint64_t aRevision) const;
  void Attest(state::Generation aGeneration, state::Instant aSent);

  /// Logs a value that is older in the store than one that was seen there.
  void LogOlderRevision(std::uint64_t aRevision, Commands& aCommands) const;

  /// Records a linearizable read that was sent at this time.
  void OnChecked(state::Instant aSent);

  void OnRead(const StoreResult& aResult,
              state::Instant aNow,
              Commands& aCommands);
  void StartVersionCheck(state::Instant aNow, Commands& aCommands);
  /// Returns whether a watch has just begun, or will as soon as its pause ends.
  bool IsWatchNew(state::Instant aNow) const;
  void Activate(const std::string& aText,
                state::Generation aGeneration,
                VersionSource aSource,
                Commands& aCommands);

  StoreCallNumbers& numbers_;
  bool isWatching_ = true;
  state::Duration pauseAfterChange_{ 0 };
  state::Duration reportTime_{ 0 };
  CheckSchedule checks_;
  std::optional<state::Instant> checked_;
  std::uint64_t watchCall_ = 0;
  std::uint64_t readCall_ = 0;
  /// The pending read is a check for a newer version rather than a full read.
  bool isVersionCheck_ = false;
  bool isFullReadDue_ = false;
  /// When the pending read and watch were sent, and what the read knew then.
  state::Instant readSent_{ 0 };
  state::Instant watchSent_{ 0 };
  std::uint64_t checkedRevision_ = 0;
  state::Generation checkedGeneration_ = 0;
  state::Instant nextRead_{ 0 };
  Backoff readBackoff_{ kInitialStoreRetryDelay, kMaxStoreRetryDelay };
  RandomSource& random_;
  Backoff watchBackoff_{ kInitialStoreRetryDelay, kMaxStoreRetryDelay };
  state::Instant nextWatch_{ 0 };
  std::uint64_t revision_ = 0;
  bool isStoreReachable_ = false;
  state::ConfigurationPointer active_;
  VersionSource activeSource_ = VersionSource::Watch;
  /// The revision of the stored value that is in force.
  std::uint64_t activeRevision_ = 0;
  std::optional<Attestation> attestation_;
  state::Generation refusedGeneration_ = 0;
  std::string refusedReason_;
};

} // namespace teaselhold::coordination
