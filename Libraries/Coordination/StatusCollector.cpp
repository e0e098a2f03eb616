#include "Coordination/StatusCollector.h"

namespace teaselhold::coordination {

namespace {

constexpr state::Duration kPullInterval = std::chrono::seconds(1);
/// Long enough for an answer from another region.
constexpr state::Duration kSummaryTimeout = std::chrono::milliseconds(100);
constexpr int kMaxLaggingNodes = 16;

} // namespace

StatusCollector::StatusCollector(const EndpointDistribution& aEndpoints,
                                 const Membership& aMembership)
  : endpoints_(aEndpoints)
  , membership_(aMembership)
{
}

void
StatusCollector::RequestSummaries(const StepContext& aStep)
{
  if (aStep.now < nextPull_) {
    return;
  }
  nextPull_ = aStep.now + kPullInterval;
  const auto& peers = membership_.Peers();
  if (peers.relay) {
    AddMessage(aStep.commands, peers.relay->controlAddress)
      .mutable_status_pull()
      ->set_whole_fleet(true);
  }
  if (peers.isRelay) {
    for (const auto& relay : peers.relays) {
      AddMessage(aStep.commands, relay.controlAddress).mutable_status_pull();
    }
  }
}

void
StatusCollector::OnMessage(const wire::Envelope& aEnvelope,
                           const OwnVersions& aOwn,
                           const StepContext& aStep)
{
  if (aEnvelope.has_status_answer()) {
    if (!endpoints_.Self().isRelay) {
      // The answer covers the whole fleet, so relays that it lacks are removed.
      summaries_.clear();
    }
    for (const auto& summary : aEnvelope.status_answer().relays()) {
      summaries_[summary.relay()] = summary;
    }
    return;
  }
  if (!aEnvelope.has_status_pull() || !endpoints_.Self().isRelay) {
    return;
  }
  if (aEnvelope.status_pull().whole_fleet()) {
    RequestSummaries(aStep);
    pendingAnswers_.emplace(aEnvelope.from_address(),
                            aStep.now + kSummaryTimeout);
    return;
  }
  Answer(aEnvelope.from_address(), false, aOwn, aStep);
}

void
StatusCollector::Tick(const OwnVersions& aOwn, const StepContext& aStep)
{
  std::erase_if(pendingAnswers_, [&](const auto& aPending) {
    const bool isDue = aStep.now >= aPending.second;
    if (isDue) {
      Answer(aPending.first, true, aOwn, aStep);
    }
    return isDue;
  });
}

void
StatusCollector::Answer(const std::string& aAddress,
                        bool aIsWholeFleet,
                        const OwnVersions& aOwn,
                        const StepContext& aStep) const
{
  auto& answer = *AddMessage(aStep.commands, aAddress).mutable_status_answer();
  *answer.add_relays() = OwnSummary(aOwn);
  if (!aIsWholeFleet) {
    return;
  }
  for (const auto& relay : membership_.Peers().relays) {
    const auto summary = summaries_.find(relay.node);
    if (summary != summaries_.end()) {
      *answer.add_relays() = summary->second;
    }
  }
}

wire::RelaySummary
StatusCollector::OwnSummary(const OwnVersions& aOwn) const
{
  wire::RelaySummary summary;
  summary.set_relay(endpoints_.Self().node);
  summary.set_active_generation(aOwn.activeGeneration);
  summary.set_leaves(static_cast<std::uint32_t>(membership_.Leaves().size()));
  const auto add = [&](const std::string& aNode,
                       state::Generation aActive,
                       state::Generation aRefused,
                       const std::string& aReason) {
    if (aActive == aOwn.activeGeneration && aRefused == 0) {
      return;
    }
    summary.set_lagging(summary.lagging() + 1);
    if (summary.nodes_size() < kMaxLaggingNodes) {
      auto& node = *summary.add_nodes();
      node.set_node(aNode);
      node.set_active_generation(aActive);
      node.set_refused_generation(aRefused);
      node.set_refused_reason(aReason);
    }
  };
  add(endpoints_.Self().node,
      aOwn.activeGeneration,
      aOwn.refusedGeneration,
      aOwn.refusedReason);
  for (const auto& [node, leaf] : membership_.Leaves()) {
    add(
      node, leaf.activeGeneration, leaf.refusedGeneration, leaf.refusedReason);
  }
  return summary;
}

NodeStatus
StatusCollector::DescribeNode(const state::EndpointRecord& aRecord,
                              const OwnVersions& aOwn) const
{
  NodeStatus status{ aRecord.node,
                     aRecord.service,
                     aRecord.dataCentre,
                     endpoints_.EffectiveState(aRecord),
                     aRecord.isRelay ? "relay" : "leaf",
                     0,
                     0,
                     "" };
  const auto leaf = membership_.Leaves().find(aRecord.node);
  if (aRecord.node == endpoints_.Self().node) {
    status.activeGeneration = aOwn.activeGeneration;
    status.refusedGeneration = aOwn.refusedGeneration;
    status.refusedReason = aOwn.refusedReason;
    return status;
  }
  if (leaf != membership_.Leaves().end()) {
    status.activeGeneration = leaf->second.activeGeneration;
    status.refusedGeneration = leaf->second.refusedGeneration;
    status.refusedReason = leaf->second.refusedReason;
    return status;
  }
  const auto summary =
    summaries_.find(aRecord.isRelay ? aRecord.node : aRecord.relay);
  if (summary == summaries_.end()) {
    return status;
  }
  status.activeGeneration = summary->second.active_generation();
  for (const auto& node : summary->second.nodes()) {
    if (node.node() == aRecord.node) {
      status.activeGeneration = node.active_generation();
      status.refusedGeneration = node.refused_generation();
      status.refusedReason = node.refused_reason();
    }
  }
  return status;
}

std::vector<NodeStatus>
StatusCollector::Nodes(const OwnVersions& aOwn) const
{
  std::vector<NodeStatus> nodes;
  if (!endpoints_.Self().isRelay) {
    nodes.push_back(DescribeNode(endpoints_.Self(), aOwn));
    if (!membership_.Peers().relay) {
      nodes.back().role = "joining";
    }
    AddSummaries(nodes);
    return nodes;
  }
  for (const auto* record : endpoints_.Table().All()) {
    nodes.push_back(DescribeNode(*record, aOwn));
  }
  return nodes;
}

void
StatusCollector::AddSummaries(std::vector<NodeStatus>& aNodes) const
{
  for (const auto& [relay, summary] : summaries_) {
    NodeStatus row;
    row.node = relay;
    row.state = state::EndpointState::Ready;
    row.role = "relay";
    row.activeGeneration = summary.active_generation();
    aNodes.push_back(std::move(row));
    for (const auto& lagging : summary.nodes()) {
      if (lagging.node() == endpoints_.Self().node) {
        continue;
      }
      auto& target =
        lagging.node() == relay ? aNodes.back() : aNodes.emplace_back();
      target.node = lagging.node();
      target.state = state::EndpointState::Ready;
      target.role = lagging.node() == relay ? "relay" : "leaf";
      target.activeGeneration = lagging.active_generation();
      target.refusedGeneration = lagging.refused_generation();
      target.refusedReason = lagging.refused_reason();
    }
  }
}

} // namespace teaselhold::coordination
