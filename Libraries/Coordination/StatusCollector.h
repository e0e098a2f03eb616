#pragma once

#include "Coordination/ControlMessages.h"
#include "Coordination/EndpointDistribution.h"
#include "Coordination/Membership.h"

#include <map>
#include <string>

namespace teaselhold::coordination {

/// The configuration versions that this node itself runs and refused.
struct OwnVersions
{
  state::Generation activeGeneration = 0;
  state::Generation refusedGeneration = 0;
  std::string refusedReason;
};

/// Collects the configuration versions of all nodes when an operator asks.
///
/// A relay knows the state of all nodes from the endpoint table, and the
/// versions of its own leaves from their heartbeats. It asks the other relays
/// for summaries only on request. Pushing each of 6,500 version changes, or
/// even one summary per relay, to all relays would cost each relay about 1 KB/s
/// at 2,300 configuration changes a day, also when no operator reads them.
class StatusCollector
{
public:
  StatusCollector(const EndpointDistribution& aEndpoints,
                  const Membership& aMembership);

  /// Asks the other relays for their summaries, or this leaf's relay for those
  /// of the whole fleet, at most once a second.
  void RequestSummaries(const StepContext& aStep);

  /// Handles StatusPull and StatusAnswer.
  void OnMessage(const wire::Envelope& aEnvelope,
                 const OwnVersions& aOwn,
                 const StepContext& aStep);

  /// Answers leaves that asked for the whole fleet, once the other relays had
  /// time to send their summaries.
  void Tick(const OwnVersions& aOwn, const StepContext& aStep);

  /// Returns all known nodes at a relay. At a leaf, returns the leaf itself,
  /// the relays, and for each relay up to kMaxLaggingNodes nodes that refused a
  /// version or whose version differs from the relay's.
  std::vector<NodeStatus> Nodes(const OwnVersions& aOwn) const;

private:
  void Answer(const std::string& aAddress,
              bool aIsWholeFleet,
              const OwnVersions& aOwn,
              const StepContext& aStep) const;
  wire::RelaySummary OwnSummary(const OwnVersions& aOwn) const;
  NodeStatus DescribeNode(const state::EndpointRecord& aRecord,
                          const OwnVersions& aOwn) const;
  void AddSummaries(std::vector<NodeStatus>& aNodes) const;

  const EndpointDistribution& endpoints_;
  const Membership& membership_;
  std::map<std::string, wire::RelaySummary> summaries_;
  state::Instant nextPull_{ 0 };
  /// When to answer the leaves that asked, keyed by their control address.
  std::map<std::string, state::Instant> pendingAnswers_;
};

} // namespace teaselhold::coordination
