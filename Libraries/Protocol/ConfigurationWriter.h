#pragma once

#include "State/Configuration.h"

#include <optional>
#include <string>
#include <vector>

namespace teaselhold::protocol {

/// The parts of an operators' text.
struct ConfigurationParts
{
  std::vector<state::ServiceSpec> services;
  std::vector<state::RouteSpec> routes;
  std::vector<state::AccountSpec> accounts;
  std::optional<state::ClientLimits> limits;
};

/// Writes the operators' text that CompileConfiguration() reads back as the
/// same parts. The parts are not checked.
std::string
WriteConfiguration(const ConfigurationParts& aParts);

} // namespace teaselhold::protocol
