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

/// Manages this node's part in the mesh: takes and gives up the relay role,
/// attaches a leaf to a relay, and detects failed nodes.
class Membership
{
public:
  Membership(const NodeOptions& aOptions, EndpointDistribution& aEndpoints);

  void Start(const StepContext& aStep);
  void Tick(const StepContext& aStep);

  /// Handles Attach, AttachAnswer, Heartbeat, HeartbeatAnswer, Probe,
  /// ProbeRequest, ProbeAnswer, the relay lists of RelayExchange, and the
  /// records of new relays in EndpointDelta.
  void OnMessage(const wire::Envelope& aEnvelope, const StepContext& aStep);

  /// Treats a message of any type as proof that its sender is alive. A relay
  /// also notifies a sender whose record says that it is down.
  void OnAnyMessage(const wire::Envelope& aEnvelope, const StepContext& aStep);

  /// Restarts failure detection after this node's event loop was late, because
  /// missing messages then prove nothing about other nodes.
  void OnEventLoopLate(const StepContext& aStep);

  /// Hands over the leaves of this relay. Called when the upstream is gone and
  /// the process is about to exit.
  void OnLeaving(const StepContext& aStep);

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

  /// Returns the sender of a message, and true if it is a relay.
  std::pair<Peer, bool> Sender(const wire::Envelope& aEnvelope) const;

private:
  bool IsRelay() const { return endpoints_.Self().isRelay; }
  void BecomeRelay(const StepContext& aStep);
  void GiveUpRelayRole(const StepContext& aStep);
  void Introduce(const std::string& aAddress, const StepContext& aStep) const;
  void OnRelayList(const wire::Envelope& aEnvelope, const StepContext& aStep);
  void OnNewRelay(const wire::Envelope& aEnvelope);
  LeafRegistry::RelayCandidates FindRelayCandidates(
    const std::string& aDataCentre);
  void NotifyIfMarkedDown(const wire::Envelope& aEnvelope,
                          const StepContext& aStep);
  void ProbeRelays(const StepContext& aStep);
  void ProbeLeaves(const StepContext& aStep);
  void MarkSilentNodesDown(const StepContext& aStep);
  void ReviewRelayRoles(const StepContext& aStep);
  bool MayGiveUpRelayRole(state::Instant aNow) const;
  void UpdatePeers(bool aIsTick);

  const NodeOptions& options_;
  EndpointDistribution& endpoints_;
  RandomSource random_;
  Attachment attachment_;
  LeafRegistry leaves_;
  Prober prober_;
  ObserverCheck observerCheck_;
  PeerDirectory peers_;
  std::map<std::string, std::size_t> leafCounts_;
  std::uint64_t seenTopologyVersion_ = 0;
  std::uint64_t seenLeavesVersion_ = 0;
  std::vector<std::string> probeOrder_;
  std::string promotionCandidate_;
  std::set<std::string> probedLeaves_;
  /// Interval between introductions to a seed, through which relays that do not
  /// know each other learn of each other.
  static constexpr state::Duration kIntroductionInterval =
    std::chrono::seconds(10);
  static constexpr state::Duration kDownNoticeInterval =
    std::chrono::seconds(1);
  /// Limits how often a node is notified that its record says Down.
  KeyedRateLimit downNotices_{ kDownNoticeInterval };
  KeyedRateLimit introductions_{ kIntroductionInterval };
  state::Instant relaySince_{ 0 };
  state::Instant nextRelayProbe_{ 0 };
  state::Instant nextDownRelayComparison_{ 0 };
  state::Instant nextIntroduction_{ 0 };
  state::Instant nextRoleCheck_{ 0 };
};

} // namespace teaselhold::coordination
