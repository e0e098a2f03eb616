#pragma once

#include "Coordination/ControlMessages.h"
#include "Coordination/EndpointDistribution.h"
#include "Coordination/Membership.h"

#include <map>
#include <string>

namespace teaselhold::coordination {

/// What this node itself has in force.
struct OwnVersion
{
  state::Generation activeGeneration = 0;
  state::Generation refusedGeneration = 0;
  std::string refusedReason;
};

/// Gathers the versions in force when an operator asks.
///
/// Relays know the state of all nodes from the endpoint table and the version
/// of their own leaves from heartbeats. The other relays are asked for a
/// summary only while somebody watches: pushing each of 6,500 changes of
/// version, or even one summary for each relay, to all relays would cost about
/// 1 KB/s for each relay at 2,300 changes a day, whether it is read or not.
class StatusCollector
{
public:
  StatusCollector(const EndpointDistribution& aEndpoints,
                  const Membership& aMembership);

  /// Asks the relays, at most once a second.
  void OnRequested(const Step& aStep);

  /// Takes StatusPull and StatusAnswer.
  void OnMessage(const wire::Envelope& aEnvelope,
                 const OwnVersion& aOwn,
                 const Step& aStep);

  /// Answers leaves that asked for the whole fleet, once the other relays had
  /// time to send their summaries.
  void Tick(const OwnVersion& aOwn, const Step& aStep);

  /// A relay lists all nodes that it knows. A leaf lists itself, the relays,
  /// and the nodes that lag behind their relay.
  std::vector<NodeStatus> Nodes(const OwnVersion& aOwn) const;

private:
  void Answer(const std::string& aAddress,
              bool aIsWholeFleet,
              const OwnVersion& aOwn,
              const Step& aStep) const;
  wire::RelaySummary OwnSummary(const OwnVersion& aOwn) const;
  NodeStatus Describe(const state::EndpointRecord& aRecord,
                      const OwnVersion& aOwn) const;
  void AddLeafView(std::vector<NodeStatus>& aNodes) const;

  const EndpointDistribution& endpoints_;
  const Membership& membership_;
  std::map<std::string, wire::RelaySummary> summaries_;
  state::Instant nextPull_{ 0 };
  /// Leaves that wait for an answer, by address.
  std::map<std::string, state::Instant> waiting_;
};

} // namespace teaselhold::coordination
