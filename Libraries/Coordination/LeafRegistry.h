#pragma once

#include "Coordination/ControlMessages.h"
#include "Coordination/EndpointDistribution.h"
#include "Coordination/PeerDirectory.h"
#include "Coordination/TokenBucket.h"

#include <map>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// The relay's side of an attachment: admits leaves, answers their heartbeats
/// and reports those that stopped sending.
class LeafRegistry
{
public:
  struct Leaf
  {
    Peer peer;
    state::Instant lastHeard{ 0 };
    std::uint64_t lastHeartbeatNumber = 0;
    /// The sequence of the leaf's record when it asked to attach, that is,
    /// before the record named this relay.
    std::uint64_t attachSequence = 0;
    state::Generation activeGeneration = 0;
    state::Generation refusedGeneration = 0;
    std::string refusedReason;
  };

  /// The relays that a node may attach to.
  struct RelayCandidates
  {
    /// Relays of the asking node's data centre, or others if there are none.
    std::vector<wire::RelayAddress> relays;
    /// Number of live relays in this data centre, this node included.
    std::size_t localRelayCount = 1;
  };

  explicit LeafRegistry(EndpointDistribution& aEndpoints);

  /// A relay serves at most this many leaves (design 5.7).
  static constexpr std::size_t kMaxLeaves = 24;
  /// A data centre keeps at least this many relays if it has enough nodes.
  static constexpr std::size_t kMinRelays = 3;

  void OnAttach(const wire::Envelope& aEnvelope,
                const RelayCandidates& aCandidates,
                const StepContext& aStep);

  /// @param aPromotedLeaf the leaf that is asked to become a relay; may be
  /// empty.
  void OnHeartbeat(const wire::Envelope& aEnvelope,
                   const RelayCandidates& aCandidates,
                   const std::string& aPromotedLeaf,
                   const StepContext& aStep);

  /// Restarts the timeout of a leaf that proved to be alive.
  void MarkAlive(const std::string& aNode,
                 std::uint64_t aIncarnation,
                 state::Instant aNow);

  /// Restarts the timeouts of all leaves after this node's event loop was late.
  void OnEventLoopLate(state::Instant aNow);

  /// @return leaves that missed three heartbeats.
  std::vector<Peer> SilentLeaves(state::Instant aNow) const;

  /// Removes the leaves whose newer record shows that they are attached
  /// elsewhere, became relays, restarted, or are down or gone.
  /// @return true if any leaf was removed.
  bool RemoveMoved();

  void Remove(const std::string& aNode);

  /// Removes all leaves and asks them to attach to other relays.
  void HandOverLeaves(const std::vector<wire::RelayAddress>& aRelays,
                      Commands& aCommands);

  /// Asks a node that answers probes but sends no heartbeats to attach again.
  void AskToReattach(const Peer& aLeaf, Commands& aCommands) const;

  const std::map<std::string, Leaf>& Leaves() const { return leaves_; }

  /// Increases whenever a leaf is added or removed.
  std::uint64_t Version() const { return version_; }

private:
  wire::AttachAnswer::Result DecideAttach(const wire::Attach& aAttach,
                                          const RelayCandidates& aCandidates,
                                          state::Instant aNow);
  /// Returns the incarnation of the known record if that is newer than
  /// aEndpoint, otherwise 0.
  std::uint64_t NewerIncarnation(const wire::Endpoint& aEndpoint) const;

  EndpointDistribution& endpoints_;
  std::map<std::string, Leaf> leaves_;
  TokenBucket admission_;
  std::uint64_t version_ = 1;
};

} // namespace teaselhold::coordination
