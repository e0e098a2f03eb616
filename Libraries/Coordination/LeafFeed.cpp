#include "Coordination/LeafFeed.h"

#include "Coordination/ControlMessages.h"
#include "Coordination/EndpointCodec.h"

namespace teaselhold::coordination {

namespace {

/// With a single copy, one lost datagram would leave a draining upstream in use
/// until the next heartbeat, up to 2 s later. At 10% loss, one leaf in 1,000
/// misses all three copies.
constexpr unsigned kUrgentRounds = 3;

} // namespace

std::uint64_t
ReachDigestOf(const state::EndpointTable& aTable,
              const std::set<std::string>& aReach,
              const std::set<std::string>& aLost)
{
  std::uint64_t digest = 0;
  for (const auto& service : aReach) {
    digest ^= aTable.Digest(service);
  }
  for (const auto& relay : aLost) {
    digest ^= state::DigestOfText(relay);
  }
  return digest;
}

void
FillLostRelays(const std::set<std::string>& aLost, wire::LostRelays& aList)
{
  for (const auto& relay : aLost) {
    aList.add_nodes(relay);
  }
}

void
LeafFeed::SetLeaf(const Peer& aLeaf, std::set<std::string> aReach)
{
  auto& leaf = leaves_[aLeaf.node];
  leaf.address = aLeaf.controlAddress;
  leaf.reach = std::move(aReach);
}

void
LeafFeed::QueueRecord(const state::EndpointRecord& aRecord,
                      bool aIsCompact,
                      bool aIsUrgent)
{
  for (auto& [node, leaf] : leaves_) {
    // A leaf receives its own record only if it was marked down, to refute it.
    const bool isOwn =
      node == aRecord.node && aRecord.state != state::EndpointState::Down;
    if (isOwn || !leaf.reach.contains(aRecord.service)) {
      continue;
    }
    const auto queued = leaf.pending.find(aRecord.node);
    const bool isCompact =
      aIsCompact && (queued == leaf.pending.end() || queued->second.isCompact);
    leaf.pending[aRecord.node] = { isCompact, aIsUrgent ? kUrgentRounds : 1 };
    leaf.hasUrgent = leaf.hasUrgent || aIsUrgent;
  }
}

void
LeafFeed::QueueLostRelays()
{
  for (auto& [node, leaf] : leaves_) {
    leaf.isLostListDue = true;
  }
}

std::uint64_t
LeafFeed::Digest(const std::string& aNode,
                 const state::EndpointTable& aTable,
                 const std::set<std::string>& aLost) const
{
  const auto leaf = leaves_.find(aNode);
  return leaf == leaves_.end()
           ? 0
           : ReachDigestOf(aTable, leaf->second.reach, aLost);
}

void
LeafFeed::Flush(bool aOnlyUrgent,
                const state::EndpointTable& aTable,
                const std::set<std::string>& aLost,
                Commands& aCommands)
{
  for (auto& [node, leaf] : leaves_) {
    const bool isEmpty = leaf.pending.empty() && !leaf.isLostListDue;
    if (isEmpty || (aOnlyUrgent && !leaf.hasUrgent)) {
      continue;
    }
    auto& delta = *AddMessage(aCommands, leaf.address).mutable_endpoint_delta();
    for (auto& [changed, pending] : leaf.pending) {
      --pending.rounds;
      if (const auto* record = aTable.Find(changed)) {
        *delta.add_endpoints() =
          pending.isCompact ? ToCompactWire(*record) : ToWire(*record);
      }
    }
    std::erase_if(leaf.pending, [](const auto& aPending) {
      return aPending.second.rounds == 0;
    });
    if (leaf.isLostListDue) {
      FillLostRelays(aLost, *delta.mutable_lost());
    }
    leaf.hasUrgent = false;
    leaf.isLostListDue = false;
  }
}

} // namespace teaselhold::coordination
