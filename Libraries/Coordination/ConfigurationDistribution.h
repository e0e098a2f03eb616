#pragma once

#include "Coordination/NodeEvents.h"
#include "Coordination/PeerDirectory.h"
#include "admin.pb.h"

namespace teaselhold::coordination {

/// Spreads configurations from node to node and decides which one is in force
/// on this node.
class ConfigurationDistribution
{
public:
  ConfigurationDistribution(NodeIdentity aIdentity, std::uint64_t aRandomSeed);

  /// The head that this node puts into its messages.
  wire::Head Head() const;

  /// Takes the head of a peer, whatever message carried it.
  void OnHead(const Peer& aSender,
              bool aSenderIsRelay,
              const wire::Head& aHead,
              const PeerDirectory& aPeers,
              state::Instant aNow,
              Commands& aCommands);

  /// Takes HeadNotice, ConfigurationPull and ConfigurationData.
  void OnMessage(const wire::Envelope& aEnvelope,
                 const PeerDirectory& aPeers,
                 state::Instant aNow,
                 Commands& aCommands);

  /// Takes a value that was read from or written to the store.
  void OnStored(const wire::StoredConfiguration& aStored,
                const PeerDirectory& aPeers,
                state::Instant aNow,
                Commands& aCommands);

  void Tick(const PeerDirectory& aPeers,
            state::Instant aNow,
            Commands& aCommands);

  /// The configuration in force, or nullptr.
  state::ConfigurationPointer Active() const { return active_; }

  /// The newest value that this node holds; it may not be in force yet.
  const wire::StoredConfiguration& Held() const { return held_; }

  state::Generation RefusedGeneration() const { return refusedGeneration_; }
  const std::string& RefusedReason() const { return refusedReason_; }
  const std::vector<std::string>& Alarms() const { return alarms_; }

private:
  NodeIdentity identity_;
  state::ConfigurationPointer active_;
  wire::StoredConfiguration held_;
  state::Generation refusedGeneration_ = 0;
  std::string refusedReason_;
  std::vector<std::string> alarms_;
};

} // namespace teaselhold::coordination
