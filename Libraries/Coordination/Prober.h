#pragma once

#include "Coordination/ControlMessages.h"
#include "Coordination/PeerDirectory.h"
#include "Coordination/RandomSource.h"

#include <map>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// Probes nodes from which no messages arrive, directly and through other
/// nodes, and answers the probes of others.
class Prober
{
public:
  /// A node from which no message arrived while it was probed.
  struct Silent
  {
    Peer node;
    /// Another node probed it as well and got no answer.
    bool isConfirmed = false;
  };

  /// Starts probing a node unless it is being probed already.
  /// @param aCycles number of direct probes, each followed by indirect ones,
  /// after which the node counts as silent.
  void Start(const Peer& aTarget, unsigned aCycles, const StepContext& aStep);

  /// Stops probing a node because a message of any type arrived from it.
  void MarkAlive(const std::string& aNode, std::uint64_t aIncarnation);

  /// Drops all probes, for example after this node itself was paused.
  void Clear();

  void OnProbe(const wire::Envelope& aEnvelope,
               const state::EndpointRecord& aSelf,
               const StepContext& aStep) const;
  void OnProbeRequest(const wire::Envelope& aEnvelope,
                      const StepContext& aStep);
  void OnProbeAnswer(const wire::Envelope& aEnvelope, const StepContext& aStep);

  /// Sends the probes that are due and returns the silent nodes. These are
  /// probed further until Stop(), so that a confirmation can still arrive.
  /// @param aHelpers nodes that may be asked for indirect probes.
  std::vector<Silent> Tick(const std::vector<Peer>& aHelpers,
                           RandomSource& aRandom,
                           const StepContext& aStep);

  void Stop(const std::string& aNode) { activeProbes_.erase(aNode); }
  bool IsProbing(const std::string& aNode) const
  {
    return activeProbes_.contains(aNode);
  }

private:
  struct ActiveProbe
  {
    Peer target;
    std::uint64_t number = 0;
    state::Instant nextStage{ 0 };
    unsigned cyclesLeft = 1;
    bool isIndirect = false;
    bool isConfirmed = false;
  };
  /// A probe that this node sends on behalf of another node.
  struct ProxyProbe
  {
    std::string requesterAddress;
    std::uint64_t requesterNumber = 0;
    std::string target;
    state::Instant deadline{ 0 };
  };

  void SendProbe(const std::string& aAddress,
                 std::uint64_t aNumber,
                 const StepContext& aStep) const;
  void RequestIndirectProbes(const ActiveProbe& aProbe,
                             const std::vector<Peer>& aHelpers,
                             RandomSource& aRandom,
                             Commands& aCommands) const;
  void ExpireProxyProbes(const StepContext& aStep);

  std::map<std::string, ActiveProbe> activeProbes_;
  std::map<std::uint64_t, ProxyProbe> proxyProbes_;
  std::uint64_t nextNumber_ = 1;
};

} // namespace teaselhold::coordination
