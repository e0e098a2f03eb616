#pragma once

#include "Coordination/NodeEvents.h"
#include "Coordination/PeerDirectory.h"
#include "State/EndpointTable.h"

#include <map>
#include <set>
#include <string>

namespace teaselhold::coordination {

/// Sends each leaf of a relay the changed records of the services in its reach:
/// urgent ones immediately and again in the next two ticks, others once.
class LeafFeed
{
public:
  /// Adds a leaf or replaces its reach.
  void SetLeaf(const Peer& aLeaf, std::set<std::string> aReach);
  void Remove(const std::string& aNode) { leaves_.erase(aNode); }
  void Clear() { leaves_.clear(); }
  bool Contains(const std::string& aNode) const
  {
    return leaves_.contains(aNode);
  }

  /// Queues a changed record for the leaves that can reach it.
  /// @param aIsCompact the leaves know this incarnation of the node, so that
  /// the compact form suffices.
  void QueueRecord(const state::EndpointRecord& aRecord,
                   bool aIsCompact,
                   bool aIsUrgent);

  /// Queues the list of lost relays for all leaves.
  void QueueLostRelays();

  /// Returns the digest that a leaf has if its copy is up to date, or 0 if the
  /// leaf is unknown.
  std::uint64_t Digest(const std::string& aNode,
                       const state::EndpointTable& aTable,
                       const std::set<std::string>& aLost) const;

  /// Sends the queued changes.
  /// @param aOnlyUrgent skips leaves that have no urgent change.
  void Flush(bool aOnlyUrgent,
             const state::EndpointTable& aTable,
             const std::set<std::string>& aLost,
             Commands& aCommands);

private:
  struct Pending
  {
    /// The compact form suffices.
    bool isCompact = false;
    /// How many more times the record is sent.
    unsigned rounds = 1;
  };
  struct Leaf
  {
    std::string address;
    std::set<std::string> reach;
    std::map<std::string, Pending> pending;
    bool hasUrgent = false;
    bool isLostListDue = false;
  };

  std::map<std::string, Leaf> leaves_;
};

/// Returns the digest of a leaf's copy: the records of the services in its
/// reach and the lost relays.
std::uint64_t
ReachDigestOf(const state::EndpointTable& aTable,
              const std::set<std::string>& aReach,
              const std::set<std::string>& aLost);

void
FillLostRelays(const std::set<std::string>& aLost, wire::LostRelays& aList);

} // namespace teaselhold::coordination
