#pragma once

#include "Coordination/ControlMessages.h"
#include "Coordination/EndpointDistribution.h"
#include "Coordination/PeerDirectory.h"
#include "Coordination/TokenBucket.h"

#include <map>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// The relay's side of its leaves: admission, heartbeats and silence.
class LeafRegistry
{
public:
  struct Leaf
  {
    Peer peer;
    state::Instant lastHeard{ 0 };
    std::uint64_t lastNumber = 0;
    /// The leaf's sequence before it named this relay.
    std::uint64_t attachSequence = 0;
    state::Generation activeGeneration = 0;
    state::Generation refusedGeneration = 0;
    std::string refusedReason;
  };

  /// What a relay tells a node that asks for attachment.
  struct Place
  {
    /// Relays of the asking node's data centre, or others if there are none.
    std::vector<wire::RelayAddress> relays;
    /// Live relays of this data centre, this one included.
    std::size_t relaysHere = 1;
  };

  explicit LeafRegistry(EndpointDistribution& aEndpoints);

  /// A relay serves at most this many leaves (design 5.7).
  static constexpr std::size_t kMaxLeaves = 24;
  /// A data centre keeps this many relays if it has as many nodes.
  static constexpr std::size_t kMinRelays = 3;

  void OnAttach(const wire::Envelope& aEnvelope,
                const Place& aPlace,
                const Step& aStep);

  /// @param aPromote the leaf that is asked to become a relay.
  void OnHeartbeat(const wire::Envelope& aEnvelope,
                   const Place& aPlace,
                   const std::string& aPromote,
                   const Step& aStep);

  /// Any message is a sign of life.
  void Heard(const std::string& aNode,
             std::uint64_t aIncarnation,
             state::Instant aNow);

  /// This node's loop was late: all leaves get their full time again.
  void OnLate(state::Instant aNow);

  /// @return leaves that missed three heartbeats.
  std::vector<Peer> Silent(state::Instant aNow) const;

  /// Drops the leaves that another relay took over.
  /// @return true if there were any.
  bool DropMoved();

  void Remove(const std::string& aNode);

  /// Sends all leaves to other relays.
  void HandOver(const std::vector<wire::RelayAddress>& aRelays,
                Commands& aCommands);

  /// Asks a node that answers probes but sends no heartbeats to attach again.
  void AskToAttach(const Peer& aLeaf, Commands& aCommands) const;

  const std::map<std::string, Leaf>& Leaves() const { return leaves_; }

  /// Grows whenever a leaf comes or goes.
  std::uint64_t Version() const { return version_; }

private:
  wire::AttachAnswer::Result Decide(const wire::Attach& aAttach,
                                    const Place& aPlace,
                                    state::Instant aNow);
  std::uint64_t NewerIncarnation(const wire::Endpoint& aEndpoint) const;

  EndpointDistribution& endpoints_;
  std::map<std::string, Leaf> leaves_;
  TokenBucket admission_;
  std::uint64_t version_ = 1;
};

} // namespace teaselhold::coordination
