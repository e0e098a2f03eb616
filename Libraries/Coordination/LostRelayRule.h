#pragma once

#include "State/EndpointTable.h"
#include "State/Instant.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// Decides from the table alone which relays are lost, so that every relay
/// treats the leaves of a dead relay as down without a message for each.
///
/// The records themselves are not changed. When a region returns after a
/// partition, the announced states of its leaves apply again as soon as their
/// relay is back, so these nodes need not refute anything.
class LostRelayRule
{
public:
  /// The result of Scan().
  struct ScanResult
  {
    /// Relays that leaves still name although they have been down, gone,
    /// unknown or without the relay role for 8 s.
    std::set<std::string> lost;
    /// Nodes to mark down because their relay was lost for kRetention.
    std::vector<std::string> expired;
    /// Nodes that name this relay but have not attached to it for 8 s.
    std::vector<std::string> orphans;
  };

  /// @param aIsLeaf returns true if a node is attached to this relay.
  template<typename IsLeaf>
  ScanResult Scan(const state::EndpointTable& aTable,
                  const std::string& aSelf,
                  const IsLeaf& aIsLeaf,
                  state::Instant aNow)
  {
    ScanResult result;
    std::map<std::string, state::Instant> unavailableSince;
    for (const auto* record : aTable.All()) {
      if (record->isRelay || record->relay.empty() || IsDownOrGone(*record)) {
        continue;
      }
      if (record->relay == aSelf) {
        if (!aIsLeaf(record->node) &&
            aNow - Since("orphan " + record->node, aNow, unavailableSince) >=
              kReattachTime) {
          result.orphans.push_back(record->node);
        }
        continue;
      }
      const auto* relay = aTable.Find(record->relay);
      if (relay != nullptr && relay->isRelay && !IsDownOrGone(*relay)) {
        continue;
      }
      const auto duration = aNow - Since(record->relay, aNow, unavailableSince);
      if (duration >= kReattachTime) {
        result.lost.insert(record->relay);
      }
      if (duration >= kRetention) {
        result.expired.push_back(record->node);
      }
    }
    unavailableSince_ = std::move(unavailableSince);
    return result;
  }

  /// Time until the leaves of a lost relay are marked down, and until the
  /// record of a node that is down or gone is erased (design 5.9).
  static constexpr state::Duration kRetention = std::chrono::hours(2);

  static bool IsDownOrGone(const state::EndpointRecord& aRecord)
  {
    return aRecord.state == state::EndpointState::Gone ||
           aRecord.state == state::EndpointState::Down;
  }

private:
  /// Leaves attach to another relay within this time (design 5.8).
  static constexpr state::Duration kReattachTime = std::chrono::seconds(8);

  state::Instant Since(const std::string& aName,
                       state::Instant aNow,
                       std::map<std::string, state::Instant>& aNext) const
  {
    const auto known = unavailableSince_.find(aName);
    const auto since = known == unavailableSince_.end() ? aNow : known->second;
    return aNext.try_emplace(aName, since).first->second;
  }

  /// Keyed by the name of a relay, or by "orphan " and the name of a node.
  std::map<std::string, state::Instant> unavailableSince_;
};

} // namespace teaselhold::coordination
