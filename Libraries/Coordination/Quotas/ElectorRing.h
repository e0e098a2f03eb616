#pragma once

#include "Coordination/Quotas/QuotaLimits.h"
#include "State/EndpointTable.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace teaselhold::coordination::quotas {

/// Chooses by consistent hashing the few nodes that decide who lends for a
/// position. All nodes compute the same electors from the same listing, and a
/// node that joins or leaves changes one elector of the positions beside it.
class ElectorRing
{
public:
  static constexpr std::size_t kElectors = 5;

  /// Takes the nodes that are listed and not gone.
  /// @return true if the set of nodes changed.
  bool SetNodes(const state::EndpointTable& aTable);

  /// @return the electors of a position, the first candidate first; fewer than
  ///         kElectors if there are fewer nodes.
  std::vector<std::string> Electors(const Position& aPosition) const;

  struct Node
  {
    std::string address;
    std::string dataCentre;
  };

  /// @return nullptr if the node is not listed.
  const Node* Find(const std::string& aNode) const;

  std::size_t Size() const { return nodes_.size(); }

private:
  std::map<std::string, Node> nodes_;
  /// Hash of the name and name, so that nodes of the same hash stay apart.
  std::set<std::pair<std::uint64_t, std::string>> ring_;
};

} // namespace teaselhold::coordination::quotas
