#include "Protocol/Suggestion.h"

#include <algorithm>

namespace teaselhold::protocol {

namespace {

constexpr std::size_t kMaxDistance = 2;

/// Levenshtein distance.
std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  for (std::size_t j = 0; j < row.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    auto diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < aRight.size(); ++j) {
      const auto replaced = diagonal + (aLeft[i] == aRight[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({ replaced, row[j] + 1, diagonal + 1 });
    }
  }
  return row.back();
}

} // namespace

std::string
SuggestName(std::string_view aName,
            const std::vector<std::string_view>& aCandidates)
{
  std::size_t best = kMaxDistance + 1;
  std::string_view suggestion;
  for (const auto candidate : aCandidates) {
    const auto distance = EditDistance(aName, candidate);
    if (distance < best && 2 * distance < candidate.size()) {
      best = distance;
      suggestion = candidate;
    }
  }
  return suggestion.empty()
           ? ""
           : "; did you mean \"" + std::string(suggestion) + "\"?";
}

std::string
JoinNames(const std::vector<std::string_view>& aNames)
{
  std::string text;
  for (const auto name : aNames) {
    text.append(text.empty() ? "" : ", ").append(name);
  }
  return text;
}

} // namespace teaselhold::protocol
