#pragma once

#include <string>
#include <vector>

namespace teaselhold::tool {

/// Formats rows, the first of which is the heading, with aligned columns.
std::string
FormatTable(const std::vector<std::vector<std::string>>& aRows);

} // namespace teaselhold::tool
