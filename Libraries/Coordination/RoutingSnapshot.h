#pragma once

#include "State/Configuration.h"
#include "State/EndpointTable.h"

#include <cstdint>
#include <memory>
#include <set>

namespace teaselhold::coordination {

/// Everything that routes a request, swapped as one pointer, so that a route is
/// in force only together with the service that it names.
struct RoutingSnapshot
{
  /// nullptr until the node has a version in force.
  state::ConfigurationPointer configuration;
  /// Endpoints of the services that this node can reach.
  std::shared_ptr<const state::EndpointTable> endpoints;
  /// Fingerprints of requests that crashed several upstreams.
  std::set<std::uint64_t> quarantined;
};

using RoutingSnapshotPointer = std::shared_ptr<const RoutingSnapshot>;

} // namespace teaselhold::coordination
