#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace teaselhold::protocol {

/// Finds the candidate that differs from aName by the fewest edits, two at most
/// and fewer than half of its length.
/// @return "; did you mean \"NAME\"?", or "" if nothing is close.
std::string
SuggestName(std::string_view aName,
            const std::vector<std::string_view>& aCandidates);

/// Joins names with ", " for a message.
std::string
JoinNames(const std::vector<std::string_view>& aNames);

} // namespace teaselhold::protocol
