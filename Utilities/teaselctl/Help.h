#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace teaselhold::tool {

std::vector<std::string_view>
CommandNames();

bool
TakesFile(std::string_view aCommand);

/// Explains one command, or all of them if aCommand is none.
std::string
HelpText(std::string_view aCommand);

} // namespace teaselhold::tool
