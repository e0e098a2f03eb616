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

/// Spreads endpoint records: a relay holds all of them, a leaf those of the
/// services in its reach. This node is the only author of its own record.
class EndpointDistribution
{
public:
  EndpointDistribution(const NodeIdentity& aIdentity, std::uint64_t aSeed);

  const state::EndpointRecord& Self() const { return self_; }
  const state::EndpointTable& Table() const { return table_; }

  /// Announces a new state of the upstream beside this node.
  void SetState(state::EndpointState aState, state::Instant aNow);

  /// Announces that this node is a relay, or a leaf of aRelay.
  void SetRole(bool aIsRelay, const std::string& aRelay, state::Instant aNow);

  /// Takes a record that its author sent.
  void TakeAnnouncement(const wire::Endpoint& aEndpoint, state::Instant aNow);

  /// Takes a higher incarnation if another process used this node's name.
  void LearnIncarnation(std::uint64_t aIncarnation, state::Instant aNow);

  /// Marks a silent node down at the numbers it announced last.
  void MarkDown(const std::string& aNode, state::Instant aNow);

  /// Sets the services that this node can reach, its own included.
  /// @return true if they changed.
  bool SetReach(std::set<std::string> aServices);
  const std::set<std::string>& Reach() const { return reach_; }
  std::uint64_t ReachDigest() const
  {
    return ReachDigestOf(table_, reach_, lost_);
  }

  /// Relay: adds a leaf or replaces its reach.
  void SetLeaf(const Peer& aLeaf, std::set<std::string> aReach)
  {
    feed_.Set(aLeaf, std::move(aReach));
  }
  void RemoveLeaf(const std::string& aNode) { feed_.Remove(aNode); }
  std::uint64_t LeafDigest(const std::string& aNode) const
  {
    return feed_.Digest(aNode, table_, lost_);
  }

  /// Takes EndpointDelta, EndpointPull, EndpointData and RelayExchange.
  void OnMessage(const wire::Envelope& aEnvelope, const Step& aStep);

  /// Leaf: asks the relay for the services whose records differ.
  void Pull(const std::string& aAddress, Commands& aCommands) const;

  /// Relay: starts a comparison of tables with another relay.
  void Compare(const std::string& aAddress, const Step& aStep) const;

  void Tick(const PeerDirectory& aPeers, const Step& aStep);

  /// Sends what must not wait for the next tick: draining, gone and down.
  void FlushUrgent(const PeerDirectory& aPeers, Commands& aCommands);

  /// Relay: the table was compared with that of other relays, so leaves may
  /// rely on it.
  bool IsComplete() const { return isComplete_; }

  /// @return true if Reachable() changed since the last call.
  bool TakeReachableChanged();
  /// The records in reach, with leaves of lost relays as down.
  std::shared_ptr<const state::EndpointTable> Reachable() const;

  /// The state that routing uses; Down for leaves of lost relays.
  state::EndpointState EffectiveState(
    const state::EndpointRecord& aRecord) const;

  /// Grows whenever a relay, or the relay of a leaf, changes.
  std::uint64_t TopologyVersion() const { return topologyVersion_; }

private:
  enum class Source : std::uint8_t
  {
    /// A change on its way through the fleet; passed on.
    Push,
    /// An answer to a comparison; passed on to leaves only.
    Repair,
  };
  struct PendingPush
  {
    unsigned rounds = 1;
    bool isUrgent = false;
    bool isCompact = false;
  };

  void Announce(state::Instant aNow);
  void KeepReachOnly();
  void OnOwnRecord(const state::EndpointRecord& aRecord, state::Instant aNow);
  bool Take(const state::EndpointRecord& aRecord,
            Source aSource,
            state::Instant aNow);
  bool TakeWire(const wire::Endpoint& aEndpoint,
                Source aSource,
                state::Instant aNow);
  void QueuePush(const state::EndpointRecord& aRecord,
                 bool aIsCompact,
                 Source aSource);
  void OnDelta(const wire::Envelope& aEnvelope, const Step& aStep);
  void OnPull(const wire::Envelope& aEnvelope, const Step& aStep);
  void OnData(const wire::Envelope& aEnvelope, const Step& aStep);
  void OnExchange(const wire::Envelope& aEnvelope, const Step& aStep);
  void ReturnNewer(const wire::Envelope& aEnvelope, Commands& aCommands) const;
  void EraseAbsent(const wire::EndpointData& aData, state::Instant aNow);
  void SetLost(std::set<std::string> aLost);
  void FlushRelays(const PeerDirectory& aPeers,
                   bool aOnlyUrgent,
                   Commands& aCommands);
  void ScanTable(state::Instant aNow);
  void CountComparison(const Step& aStep);

  state::EndpointRecord self_;
  state::EndpointTable table_;
  RandomSource random_;
  LostRelayRule lostRule_;
  LeafFeed feed_;
  std::set<std::string> lost_;
  std::set<std::string> reach_;
  std::map<std::string, PendingPush> pending_;
  std::map<std::string, state::Instant> changedAt_;
  TokenBucket relayRepair_;
  TokenBucket leafRepair_;
  state::Instant nextExchange_{ 0 };
  state::Instant nextScan_{ 0 };
  state::Instant relaySince_{ 0 };
  unsigned comparisons_ = 0;
  bool isComplete_ = false;
  bool reachableChanged_ = true;
  std::uint64_t topologyVersion_ = 1;
};

} // namespace teaselhold::coordination
