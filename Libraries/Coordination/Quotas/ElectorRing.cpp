#include "Coordination/Quotas/ElectorRing.h"

#include "State/Configuration.h"

#include <algorithm>

namespace teaselhold::coordination::quotas {

namespace {

using state::EndpointState;

std::uint64_t
HashOf(const Position& aPosition)
{
  return state::DigestOfText(std::to_string(aPosition.slots) + "/" +
                             std::to_string(aPosition.slot) + "/" +
                             std::to_string(aPosition.part));
}

} // namespace

bool
ElectorRing::SetNodes(const state::EndpointTable& aTable)
{
  std::map<std::string, Node> nodes;
  for (const auto* record : aTable.All()) {
    const bool isGone = record->state == EndpointState::Gone ||
                        record->state == EndpointState::Down;
    if (!isGone && !record->dataAddress.empty()) {
      nodes.emplace(record->node,
                    Node{ record->dataAddress, record->dataCentre });
    }
  }
  const bool isChanged = !std::ranges::equal(
    nodes,
    nodes_,
    {},
    [](const auto& aEntry) { return aEntry.first; },
    [](const auto& aEntry) { return aEntry.first; });
  nodes_ = std::move(nodes);
  if (isChanged) {
    ring_.clear();
    for (const auto& [name, node] : nodes_) {
      ring_.emplace(state::DigestOfText(name), name);
    }
  }
  return isChanged;
}

std::vector<std::string>
ElectorRing::Electors(const Position& aPosition) const
{
  const auto count = std::min(kElectors, ring_.size());
  std::vector<std::string> electors;
  electors.reserve(count);
  auto entry = ring_.lower_bound(std::pair(HashOf(aPosition), std::string()));
  while (electors.size() < count) {
    if (entry == ring_.end()) {
      entry = ring_.begin();
    }
    electors.push_back(entry->second);
    ++entry;
  }
  return electors;
}

const ElectorRing::Node*
ElectorRing::Find(const std::string& aNode) const
{
  const auto entry = nodes_.find(aNode);
  return entry == nodes_.end() ? nullptr : &entry->second;
}

} // namespace teaselhold::coordination::quotas
