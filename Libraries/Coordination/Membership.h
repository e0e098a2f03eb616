#pragma once

#include "Coordination/Attachment.h"
#include "Coordination/ControlMessages.h"
#include "Coordination/EndpointDistribution.h"
#include "Coordination/KeyedRateLimit.h"
#include "Coordination/LeafRegistry.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/ObserverCheck.h"
#include "Coordination/PeerDirectory.h"
#include "Coordination/Prober.h"
#include "Coordination/RandomSource.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// Takes and gives up the relay role, attaches this node to a relay, and finds
/// out which nodes are alive.
class Membership
{
public:
  Membership(const NodeOptions& aOptions, EndpointDistribution& aEndpoints);

  void Start(const Step& aStep);
  void Tick(const Step& aStep);

  /// Takes Attach, AttachAnswer, Heartbeat, HeartbeatAnswer, Probe,
  /// ProbeRequest, ProbeAnswer and the relay lists of RelayExchange.
  void OnMessage(const wire::Envelope& aEnvelope, const Step& aStep);

  /// Takes any message as a sign of life of its sender.
  void OnHeard(const wire::Envelope& aEnvelope, const Step& aStep);

  /// This node's loop was late, so the silence of others means nothing.
  void OnLate(const Step& aStep);

  /// The upstream is gone and the process is about to end.
  void OnLeaving(const Step& aStep);

  void OnReachChanged() { attachment_.OnReachChanged(); }
  void SetRefusal(state::Generation aGeneration, const std::string& aReason)
  {
    attachment_.SetRefusal(aGeneration, aReason);
  }

  const PeerDirectory& Peers() const { return peers_; }
  const std::map<std::string, LeafRegistry::Leaf>& Leaves() const
  {
    return leaves_.Leaves();
  }

  /// Describes the sender of a message, and whether it is a relay.
  std::pair<Peer, bool> Sender(const wire::Envelope& aEnvelope) const;

private:
  bool IsRelay() const { return endpoints_.Self().isRelay; }
  void TakeRole(const Step& aStep);
  void GiveUpRole(const Step& aStep);
  void Introduce(const std::string& aAddress, const Step& aStep) const;
  void OnRelayList(const wire::Envelope& aEnvelope, const Step& aStep);
  void OnNewRelay(const wire::Envelope& aEnvelope);
  LeafRegistry::Place MakePlace(const std::string& aDataCentre);
  void TellIfHeldForDown(const wire::Envelope& aEnvelope, const Step& aStep);
  void ProbeRelays(const Step& aStep);
  void ProbeLeaves(const Step& aStep);
  void MarkSilent(const Step& aStep);
  void ConsiderRoles(const Step& aStep);
  bool MayGiveUp(state::Instant aNow) const;
  void UpdatePeers(bool aIsTick);

  const NodeOptions& options_;
  EndpointDistribution& endpoints_;
  RandomSource random_;
  Attachment attachment_;
  LeafRegistry leaves_;
  Prober prober_;
  ObserverCheck check_;
  PeerDirectory peers_;
  std::map<std::string, std::size_t> leafCounts_;
  std::uint64_t seenTopology_ = 0;
  std::uint64_t seenLeaves_ = 0;
  std::vector<std::string> probeOrder_;
  std::string promoted_;
  std::set<std::string> probedLeaves_;
  /// Relays that do not know each other meet through the seeds.
  static constexpr state::Duration kIntroductionInterval =
    std::chrono::seconds(10);
  static constexpr state::Duration kRefutationInterval =
    std::chrono::seconds(1);
  /// Nodes that were told that they are held for down.
  KeyedRateLimit refutations_{ kRefutationInterval };
  KeyedRateLimit introductions_{ kIntroductionInterval };
  state::Instant relaySince_{ 0 };
  state::Instant nextRelayProbe_{ 0 };
  state::Instant nextLostProbe_{ 0 };
  state::Instant nextIntroduction_{ 0 };
  state::Instant nextRoleCheck_{ 0 };
};

} // namespace teaselhold::coordination
