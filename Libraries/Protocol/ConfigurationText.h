#pragma once

#include "Protocol/ProtocolError.h"
#include "State/Configuration.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace teaselhold::protocol {

/// Checks an operators' text and compiles it. Returns every error at once.
tl::expected<state::ConfigurationPointer, std::vector<ProtocolError>>
CompileConfiguration(std::string_view aText, state::Generation aGeneration);

/// Formats errors as "FILE:LINE: message", one a line.
std::string
FormatErrors(std::string_view aFileName,
             const std::vector<ProtocolError>& aErrors);

} // namespace teaselhold::protocol
