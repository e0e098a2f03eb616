#pragma once

#include "State/EndpointRecord.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace teaselhold::state {

/// The state that an upstream reports to the node beside it.
struct UpstreamAnnouncement
{
  UpstreamIdentity upstream;
  std::string service;
  /// IP:port on which the upstream accepts requests.
  std::string address;
  std::string dataCentre;
  /// Ready or Draining.
  EndpointState state = EndpointState::Ready;
  /// The remaining warm-up time, during which the upstream is slower.
  std::chrono::milliseconds warmUpLeft{ 0 };
};

/// The last message of an upstream; it may still serve for a moment.
struct UpstreamDeparture
{
  std::string id;
  /// Not set if the upstream did not say when it started.
  std::optional<std::uint64_t> bornMilliseconds;
};

} // namespace teaselhold::state
