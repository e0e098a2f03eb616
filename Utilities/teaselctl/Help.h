#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace teaselhold::tool {

std::vector<std::string_view>
CommandNames();

/// What a command works on, as its usage names it; none if it takes nothing.
std::string_view
ArgumentOf(std::string_view aCommand);

/// Explains one command, or all of them if aCommand is none.
std::string
HelpText(std::string_view aCommand);

} // namespace teaselhold::tool
