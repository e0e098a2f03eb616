#pragma once

#include "Coordination/ControlMessages.h"
#include "Coordination/LeafFeed.h"
#include "Coordination/LostRelayRule.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/PeerDirectory.h"
#include "Coordination/RandomSource.h"
#include "Coordination/TokenBucket.h"
#include "State/EndpointTable.h"

#include <map>
#include <memory>
#include <set>

namespace teaselhold::coordination {

/// Distributes endpoint records: a relay holds all of them, a leaf those of the
/// services in its reach. Only the node itself changes its record, except that
/// other nodes may mark it down.
class EndpointDistribution
{
public:
  EndpointDistribution(const NodeIdentity& aIdentity, std::uint64_t aSeed);

  const state::EndpointRecord& Self() const { return self_; }
  const state::EndpointTable& Table() const { return table_; }

  /// Announces a new state of this node's upstream.
  void SetState(state::EndpointState aState, state::Instant aNow);

  /// Announces that this node is a relay, or a leaf of aRelay.
  void SetRole(bool aIsRelay, const std::string& aRelay, state::Instant aNow);

  /// Merges a record that its own node sent.
  void MergeAnnouncement(const wire::Endpoint& aEndpoint, state::Instant aNow);

  /// Raises this node's incarnation above aIncarnation, which another process
  /// of the same name used. Does nothing if it is higher already.
  void RaiseIncarnation(std::uint64_t aIncarnation, state::Instant aNow);

  /// Marks a node down, under the incarnation and sequence of its last record.
  void MarkDown(const std::string& aNode, state::Instant aNow);

  /// Sets the services that this node can reach, its own included.
  /// @return true if they changed.
  bool SetReach(std::set<std::string> aServices);
  const std::set<std::string>& Reach() const { return reach_; }
  std::uint64_t ReachDigest() const
  {
    return ReachDigestOf(table_, reach_, lostRelays_);
  }

  /// Adds a leaf of this relay or replaces its reach.
  void SetLeaf(const Peer& aLeaf, std::set<std::string> aReach)
  {
    feed_.SetLeaf(aLeaf, std::move(aReach));
  }
  void RemoveLeaf(const std::string& aNode) { feed_.Remove(aNode); }
  std::uint64_t LeafDigest(const std::string& aNode) const
  {
    return feed_.Digest(aNode, table_, lostRelays_);
  }

  /// Handles EndpointDelta, EndpointPull, EndpointData and RelayExchange.
  void OnMessage(const wire::Envelope& aEnvelope, const StepContext& aStep);

  /// Asks this leaf's relay for the services whose records differ.
  void Pull(const std::string& aAddress, Commands& aCommands) const;

  /// Starts to compare the table of this relay with that of another relay.
  void StartComparison(const std::string& aAddress,
                       const StepContext& aStep) const;

  void Tick(const PeerDirectory& aPeers, const StepContext& aStep);

  /// Sends the records that must not wait for the next tick: those in the
  /// states Draining, Gone and Down.
  void FlushUrgent(const PeerDirectory& aPeers, Commands& aCommands);

  /// Returns true if leaves may rely on the table of this relay: it was
  /// compared with other relays, or no other relay was known for
  /// kLoneRelayTime.
  bool IsComplete() const { return isComplete_; }

  /// @return true if Reachable() changed since the last call.
  bool TakeReachableChanged();
  /// Returns the records of the services in reach, with the leaves of lost
  /// relays in the state Down.
  std::shared_ptr<const state::EndpointTable> Reachable() const;

  /// Returns the state that routing uses: Down for leaves of lost relays.
  state::EndpointState EffectiveState(
    const state::EndpointRecord& aRecord) const;

  /// Increases when a node is added, and when the record of a relay or the
  /// relay of a leaf changes.
  std::uint64_t TopologyVersion() const { return topologyVersion_; }

private:
  enum class Source : std::uint8_t
  {
    /// A new change, passed on to other relays and to leaves.
    Push,
    /// Data from a comparison of tables, passed on to leaves only.
    Repair,
  };
  struct PendingPush
  {
    /// How many more times the record is sent.
    unsigned rounds = 1;
    bool isUrgent = false;
    bool isCompact = false;
  };

  void Announce(state::Instant aNow);
  void EraseOutOfReach();
  void OnOwnRecord(const state::EndpointRecord& aRecord, state::Instant aNow);
  bool MergeRecord(const state::EndpointRecord& aRecord,
                   Source aSource,
                   state::Instant aNow);
  bool MergeWireRecord(const wire::Endpoint& aEndpoint,
                       Source aSource,
                       state::Instant aNow);
  void QueuePush(const state::EndpointRecord& aRecord,
                 bool aIsCompact,
                 Source aSource);
  void OnDelta(const wire::Envelope& aEnvelope, const StepContext& aStep);
  void OnPull(const wire::Envelope& aEnvelope, const StepContext& aStep);
  void OnData(const wire::Envelope& aEnvelope, const StepContext& aStep);
  void OnExchange(const wire::Envelope& aEnvelope, const StepContext& aStep);
  void SendNewerRecords(const wire::Envelope& aEnvelope,
                        Commands& aCommands) const;
  void EraseAbsent(const wire::EndpointData& aData, state::Instant aNow);
  void SetLostRelays(std::set<std::string> aLost);
  void FlushRelays(const PeerDirectory& aPeers,
                   bool aOnlyUrgent,
                   Commands& aCommands);
  void ScanTable(state::Instant aNow);
  void CountComparison(const StepContext& aStep);

  state::EndpointRecord self_;
  state::EndpointTable table_;
  RandomSource random_;
  LostRelayRule lostRule_;
  LeafFeed feed_;
  std::set<std::string> lostRelays_;
  std::set<std::string> reach_;
  std::map<std::string, PendingPush> pendingPushes_;
  std::map<std::string, state::Instant> changedAt_;
  TokenBucket relayRepairBudget_;
  TokenBucket leafRepairBudget_;
  state::Instant nextExchange_{ 0 };
  state::Instant nextScan_{ 0 };
  state::Instant relaySince_{ 0 };
  unsigned comparisons_ = 0;
  bool isComplete_ = false;
  bool reachableChanged_ = true;
  std::uint64_t topologyVersion_ = 1;
};

} // namespace teaselhold::coordination
