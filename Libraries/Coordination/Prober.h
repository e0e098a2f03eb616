#pragma once

#include "Coordination/ControlMessages.h"
#include "Coordination/PeerDirectory.h"
#include "Coordination/RandomSource.h"

#include <map>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// Asks silent nodes for a sign of life, directly and through other nodes, and
/// answers such questions of others.
class Prober
{
public:
  /// A node that gave no sign of life in all its probes.
  struct Silent
  {
    Peer node;
    /// Another node asked it as well and got no answer.
    bool isConfirmed = false;
  };

  /// Starts probing a node unless that is under way.
  /// @param aCycles direct and indirect probes before the node is silent.
  void Start(const Peer& aTarget, unsigned aCycles, const Step& aStep);

  /// Ends the probes of a node that sent any message.
  void Heard(const std::string& aNode, std::uint64_t aIncarnation);

  /// Gives up all probes, for example after this node itself was paused.
  void Clear();

  void OnProbe(const wire::Envelope& aEnvelope,
               const state::EndpointRecord& aSelf,
               const Step& aStep) const;
  void OnProbeRequest(const wire::Envelope& aEnvelope, const Step& aStep);
  void OnProbeAnswer(const wire::Envelope& aEnvelope, const Step& aStep);

  /// Moves the probes on and returns the nodes that stayed silent. They are
  /// probed again until Stop(), so that a confirmation can still arrive.
  std::vector<Silent> Tick(const std::vector<Peer>& aHelpers,
                           RandomSource& aRandom,
                           const Step& aStep);

  void Stop(const std::string& aNode) { watches_.erase(aNode); }
  bool IsWatching(const std::string& aNode) const
  {
    return watches_.contains(aNode);
  }

private:
  struct Watch
  {
    Peer target;
    std::uint64_t number = 0;
    state::Instant nextStage{ 0 };
    unsigned cyclesLeft = 1;
    bool isIndirect = false;
    bool isConfirmed = false;
  };
  struct Favour
  {
    std::string requesterAddress;
    std::uint64_t requesterNumber = 0;
    std::string target;
    state::Instant deadline{ 0 };
  };

  void SendProbe(const std::string& aAddress,
                 std::uint64_t aNumber,
                 const Step& aStep) const;
  void AskHelpers(const Watch& aWatch,
                  const std::vector<Peer>& aHelpers,
                  RandomSource& aRandom,
                  Commands& aCommands) const;
  void EndFavours(const Step& aStep);

  std::map<std::string, Watch> watches_;
  std::map<std::uint64_t, Favour> favours_;
  std::uint64_t nextNumber_ = 1;
};

} // namespace teaselhold::coordination
