#pragma once

#include "State/Configuration.h"

#include <optional>
#include <vector>

namespace teaselhold::protocol {

/// The parts of a configuration before it is built.
struct ConfigurationParts
{
  std::vector<state::ServiceSpec> services;
  std::vector<state::RouteSpec> routes;
  std::vector<state::AccountSpec> accounts;
  std::optional<state::ClientLimits> limits;
  /// Requests need keys even if no account holds one.
  bool requiresKeys = false;
};

} // namespace teaselhold::protocol
