#pragma once

#include "State/EnumNames.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselhold::state {

enum class EndpointState : std::uint8_t
{
  Starting,
  Ready,
  Draining,
  Gone,
  Down,
};

inline constexpr std::array<EnumName<EndpointState>, 5> kEndpointStateNames{ {
  { EndpointState::Starting, "starting" },
  { EndpointState::Ready, "ready" },
  { EndpointState::Draining, "draining" },
  { EndpointState::Gone, "gone" },
  { EndpointState::Down, "down" },
} };

/// Identifies one run of an upstream's process.
struct UpstreamIdentity
{
  std::string id;
  /// The wall clock of the upstream's start in milliseconds. A process that
  /// starts again may keep its id but not this.
  std::uint64_t bornMilliseconds = 0;
  /// Number of the announcement that the state comes from.
  std::uint64_t sequence = 0;
  std::uint32_t slots = 0;
  /// Version of the upstream's software; empty if it announced none.
  std::string version = {};

  bool IsSameRun(const UpstreamIdentity& aOther) const
  {
    return id == aOther.id && bornMilliseconds == aOther.bornMilliseconds;
  }

  bool operator==(const UpstreamIdentity&) const = default;
};

/// The known state of one upstream and the node beside it. The node is the only
/// author, except that an observer may add Down at an unchanged
/// (incarnation, sequence).
struct EndpointRecord
{
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::string service;
  std::string dataCentre;
  std::string region;
  /// IP:port for HTTP between nodes.
  std::string dataAddress;
  /// IP:port for control messages.
  std::string controlAddress;
  EndpointState state = EndpointState::Starting;
  /// Requests that the upstream runs at the same time.
  std::uint32_t slots = 0;
  /// The relay that the node is attached to; empty for a relay.
  std::string relay;
  bool isRelay = false;
  /// Empty id: the upstream does not announce itself.
  UpstreamIdentity upstream;
  /// Fingerprints of the requests that ran when the upstream recently crashed.
  std::vector<std::uint64_t> crashSuspects;
  /// Relative power of the host; duties go to the strongest hosts first.
  std::uint32_t capacity = 0;

  bool operator==(const EndpointRecord&) const = default;
};

} // namespace teaselhold::state
