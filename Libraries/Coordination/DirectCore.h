#pragma once

#include "Coordination/ChangeFollower.h"
#include "Coordination/ChangePublisher.h"
#include "Coordination/ConfigurationWatch.h"
#include "Coordination/CrashGuard.h"
#include "Coordination/NodeDirectory.h"
#include "Coordination/NodeRegistration.h"
#include "Coordination/StoreGate.h"

namespace teaselhold::coordination {

/// The decision logic of a node in a fleet without relays: every node watches
/// the store for the records of the other nodes and for the configuration. A
/// large configuration is read by a few nodes, which write its changes to the
/// store for the others. Calls of the store grow with the fleet and its
/// changes; docs/platform.md says up to which size that holds.
class DirectCore
{
public:
  explicit DirectCore(NodeOptions aOptions);
  DirectCore(const DirectCore&) = delete;
  DirectCore& operator=(const DirectCore&) = delete;

  Commands Handle(const Event& aEvent, state::Instant aNow);

  FleetStatus Status() const;

  /// This node reads the whole of a large configuration for the others.
  bool IsReader() const { return isReader_; }

private:
  void OnUpstreamChanged(const UpstreamChanged& aChange);
  void OnCrash(std::uint64_t aFingerprint);
  void OnStoreAnswer(const StoreAnswered& aAnswer,
                     state::Instant aNow,
                     Commands& aCommands);
  void OnApply(const ApplyRequested& aRequest, Commands& aCommands);
  void OnSwapAnswer(const StoreResult& aResult, Commands& aCommands);
  void RestoreOnce(state::Instant aNow, Commands& aCommands);
  void Register(std::uint64_t aSaveNumber);
  void CollectCrashes(state::Instant aNow);
  void ChooseSource(state::Instant aNow);
  state::Duration CheckInterval() const;
  void PublishChange(state::ConfigurationPointer aBefore);
  void FollowChanges(state::Instant aNow, Commands& aCommands);
  void Publish(Commands& aCommands);

  NodeOptions options_;
  state::EndpointRecord self_;
  CallNumbers numbers_;
  RandomSource random_;
  StoreGate gate_;
  ConfigurationWatch configuration_;
  ChangeFollower follower_;
  ChangePublisher publisher_;
  NodeDirectory directory_;
  NodeRegistration registration_;
  CrashGuard crashGuard_;
  state::ConfigurationPointer published_;
  std::optional<state::Instant> started_;
  bool isRestored_ = false;
  /// This node reads the whole configuration for others.
  bool isReader_ = true;
  /// The records of the nodes that started together are there.
  bool isFleetKnown_ = false;
  bool isFollowing_ = false;
  bool isPublishDue_ = true;
  std::uint64_t applyCall_ = 0;
  ApplyRequested apply_;
};

} // namespace teaselhold::coordination
