#pragma once

#include <string>
#include <string_view>

namespace teaselhold::tool {

/// Compares two texts line by line. Returns hunks with three lines of context
/// in the unified format, or "" if the texts are equal. Texts with more than
/// 2,000 differing lines are shown as replaced between their first and last
/// difference.
std::string
LineDifference(std::string_view aOld,
               std::string_view aNew,
               std::string_view aOldName,
               std::string_view aNewName);

} // namespace teaselhold::tool
