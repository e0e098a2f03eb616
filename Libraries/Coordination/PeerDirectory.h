#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// A node as the receiver of control messages.
struct Peer
{
  std::string node;
  std::uint64_t incarnation = 0;
  std::string controlAddress;
  std::string dataCentre;
  std::string region;
};

/// The peers that Membership currently knows, for the classes that send
/// messages to them.
struct PeerDirectory
{
  bool isRelay = false;
  /// The relay that this leaf is attached to.
  std::optional<Peer> relay;
  /// Live relays other than this node; at a leaf, the relays that it knows.
  std::vector<Peer> relays;
  /// Leaves attached to this relay.
  std::vector<Peer> leaves;
};

} // namespace teaselhold::coordination
