#pragma once

#include "Coordination/Accounts/KeyVerification.h"
#include "Coordination/ChangeFollower.h"
#include "Coordination/ChangePublisher.h"
#include "Coordination/ConfigurationWatch.h"
#include "Coordination/CrashGuard.h"
#include "Coordination/DepartureLog.h"
#include "Coordination/DirectApply.h"
#include "Coordination/NodeDirectory.h"
#include "Coordination/NodeRegistration.h"
#include "Coordination/ReaderMonitor.h"
#include "Coordination/Rollouts/RolloutKeeper.h"
#include "Coordination/StoreCircuitBreaker.h"
#include "Coordination/Versions/CheckNews.h"
#include "Coordination/Versions/PeerCatchUp.h"
#include "Coordination/Versions/RecentChanges.h"
#include "Coordination/Versions/WatchMonitor.h"

namespace teaselhold::coordination {

/// The decision logic of a node in a fleet without relays: every node watches
/// the store for the records of the other nodes and for the configuration. A
/// large configuration is read in full only by a few nodes, the readers, which
/// write its changes to the store for the others, the followers. The number of
/// store calls grows with the fleet and with the rate of changes;
/// docs/platform.md gives the supported fleet size.
class DirectCore
{
public:
  explicit DirectCore(NodeOptions aOptions);
  DirectCore(const DirectCore&) = delete;
  DirectCore& operator=(const DirectCore&) = delete;

  Commands Handle(const Event& aEvent, state::Instant aNow);

  FleetStatus Status() const;

  /// @return true if this node is selected to read a large configuration in
  /// full for the others.
  bool IsReader() const { return isReader_; }

  /// @return what this node tells others of its part in reading.
  ReaderRole Role() const;

private:
  void OnUpstreamChanged(const UpstreamChanged& aChange);
  void OnUpstreamDeparted(const UpstreamDeparted& aDeparture,
                          state::Instant aNow);
  void OnCrash(std::uint64_t aFingerprint);
  void OnStoreAnswer(const StoreAnswered& aAnswer,
                     state::Instant aNow,
                     Commands& aCommands);
  /// Writes the departures again that the store has lost.
  void RestoreLostDepartures(state::Instant aNow);
  void OnRegistrationAnswer(const StoreAnswered& aAnswer,
                            state::Instant aNow,
                            Commands& aCommands);
  void RestoreDepartures(state::Instant aNow, Commands& aCommands);
  void Register();
  void ReportCrashSuspects(state::Instant aNow);
  /// Returns for how long a follower batches changes before it reads them.
  static state::Duration FollowerPause(state::Duration aBound);
  void MonitorReaders(state::Instant aNow, Commands& aCommands);
  void SelectConfigurationSource(state::Instant aNow, Commands& aCommands);
  void SetCheckTurn();
  void OnPeerVersionSeen(const PeerVersionSeen& aSeen, state::Instant aNow);
  void RestartSilentWatch(const VersionProgress& aProgress,
                          state::Instant aNow,
                          Commands& aCommands);
  std::optional<state::Instant> WatchingSince() const;
  VersionProgress Progress() const;
  void OnChangesAnswered(const ChangesAnswered& aAnswer, Commands& aCommands);
  void ApplyChanges(const ConfigurationChangeLog& aLog,
                    VersionSource aSource,
                    Commands& aCommands);
  void VerifyKeys(state::Instant aNow, Commands& aCommands);
  void PublishChange(state::ConfigurationPointer aPrevious);
  void FollowChanges(state::Instant aNow, Commands& aCommands);
  /// Logs that a version came in another way while a watch waited for it.
  void LogMissedVersion(state::Instant aNow, Commands& aCommands) const;
  void LogHeldBack(state::Instant aNow, Commands& aCommands);
  void Publish(Commands& aCommands);

  NodeOptions options_;
  state::EndpointRecord self_;
  StoreCallNumbers callNumbers_;
  RandomSource random_;
  StoreCircuitBreaker gate_;
  /// Since when the log says that calls of the store are held back.
  std::optional<state::Instant> heldBackSince_;
  ConfigurationWatch configuration_;
  DirectApply apply_;
  PeerCatchUp catchUp_;
  CheckNews checkNews_;
  WatchMonitor watchMonitor_;
  RecentChanges recentChanges_;
  KeyVerification keyVerification_;
  ChangeFollower follower_;
  ChangePublisher publisher_;
  ReaderMonitor readers_;
  NodeDirectory directory_;
  NodeRegistration registration_;
  DepartureLog departures_;
  CrashGuard crashGuard_;
  RolloutKeeper rollouts_;
  state::ConfigurationPointer published_;
  std::optional<state::Instant> startTime_;
  bool isRestored_ = false;
  /// The restored departures include all that the store holds.
  bool isRestoreComplete_ = false;
  bool isReader_ = true;
  /// The store was listed and nodes that started together with this one had
  /// time to write their records, so the selection of readers can be trusted.
  bool isFleetKnown_ = false;
  /// This node learns a large configuration from the changes that readers
  /// write.
  bool isFollowing_ = false;
  ReaderRole publishedRole_ = ReaderRole::Unavailable;
  bool isPublishDue_ = true;
};

} // namespace teaselhold::coordination
