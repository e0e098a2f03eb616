#pragma once

#include "State/Configuration.h"
#include "State/EndpointTable.h"

#include <cstdint>
#include <memory>
#include <set>

namespace teaselhold::coordination {

/// Immutable state for routing a request. It is replaced as a whole through one
/// pointer, so that a route never takes effect without the service that it
/// names.
struct RoutingSnapshot
{
  /// nullptr until the node has an active configuration.
  state::ConfigurationPointer configuration;
  /// Endpoints of the services that this node can reach.
  std::shared_ptr<const state::EndpointTable> endpoints;
  /// Fingerprints of requests that are refused because they crashed several
  /// upstreams.
  std::set<std::uint64_t> quarantined;
};

using RoutingSnapshotPointer = std::shared_ptr<const RoutingSnapshot>;

} // namespace teaselhold::coordination
