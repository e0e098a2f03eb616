#pragma once

#include "Protocol/Configurations/BuiltConfiguration.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace teaselhold::protocol {

/// The longest text that can be submitted: the store takes values of 1 MB, of
/// which some bytes are for the fields beside the text.
inline constexpr std::size_t kMaxSubmissionBytes = 1024 * 1024 - 16 * 1024;

/// Compiles what the store already holds or another node sent, whatever its
/// size, as it was accepted: an encoded configuration, or an operators' text,
/// which is checked. Returns every error at once.
BuildResult
CompileConfiguration(std::string_view aText, state::Generation aGeneration);

/// Checks and compiles an operators' text that is yet to be written to the
/// store: one that the store could not hold is refused.
BuildResult
CompileSubmission(std::string_view aText, state::Generation aGeneration);

/// Formats errors as "FILE:LINE: message", one a line.
std::string
FormatErrors(std::string_view aFileName,
             const std::vector<ProtocolError>& aErrors);

} // namespace teaselhold::protocol
