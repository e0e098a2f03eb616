#pragma once

#include "Protocol/Configurations/ConfigurationParts.h"
#include "Protocol/ProtocolError.h"

#include <string_view>
#include <tl/expected.hpp>

namespace teaselhold::protocol {

/// A configuration, or all errors that keep it from being built.
using BuildResult =
  tl::expected<state::ConfigurationPointer, std::vector<ProtocolError>>;

/// @param aText the form in which nodes keep and exchange the parts.
BuildResult
BuildConfiguration(ConfigurationParts aParts,
                   std::string_view aText,
                   state::Generation aGeneration);

/// Decodes and builds a configuration, see ConfigurationEncoding.h.
BuildResult
BuildEncoded(std::string_view aText, state::Generation aGeneration);

} // namespace teaselhold::protocol
