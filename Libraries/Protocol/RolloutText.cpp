#include "Protocol/RolloutText.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace teaselhold::protocol {

namespace {

constexpr std::size_t kMaxNameBytes = 128;

std::vector<std::string_view>
SplitWords(std::string_view aText)
{
  std::vector<std::string_view> words;
  while (!aText.empty()) {
    const auto end = std::min(aText.find(' '), aText.size());
    words.push_back(aText.substr(0, end));
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return words;
}

std::optional<std::uint64_t>
ParseWhole(std::string_view aText)
{
  std::uint64_t value = 0;
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::string
FormatRolloutOrder(const RolloutOrder& aOrder)
{
  return aOrder.target + " " + std::to_string(aOrder.duration.count());
}

std::string
FormatRolloutStatus(const RolloutStatus& aStatus)
{
  return std::string(state::FindEnumName(kRolloutStateNames, aStatus.state)) +
         " " + aStatus.target + " " + std::to_string(aStatus.order);
}

std::optional<RolloutOrder>
ParseRolloutOrder(std::string_view aText)
{
  const auto words = SplitWords(aText);
  if (words.size() != 2 || !IsRolloutName(words[0])) {
    return std::nullopt;
  }
  const auto duration = ParseWhole(words[1]);
  constexpr std::uint64_t kMaxMilliseconds = 1'000'000'000;
  if (!duration || *duration > kMaxMilliseconds) {
    return std::nullopt;
  }
  return RolloutOrder{ std::string(words[0]),
                       std::chrono::milliseconds(*duration) };
}

std::optional<RolloutStatus>
ParseRolloutStatus(std::string_view aText)
{
  constexpr std::size_t kWords = 3;
  const auto words = SplitWords(aText);
  if (words.size() != kWords || !IsRolloutName(words[1])) {
    return std::nullopt;
  }
  const auto state = state::FindEnumValue(kRolloutStateNames, words[0]);
  const auto order = ParseWhole(words[2]);
  if (!state || !order) {
    return std::nullopt;
  }
  return RolloutStatus{ *state, std::string(words[1]), *order };
}

bool
IsRolloutName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes &&
         std::ranges::all_of(aName, [](char aByte) {
           return aByte > ' ' && aByte < '\x7f' && aByte != ',' && aByte != ';';
         });
}

} // namespace teaselhold::protocol
