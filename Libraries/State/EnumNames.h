#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace teaselhold::state {

/// One row of the name table of an enum class.
template<typename Enum>
struct EnumName
{
  Enum value;
  std::string_view name;
};

/// Returns the name of aValue, or "invalid" if the table has no such value.
template<typename Enum, std::size_t Size>
constexpr std::string_view
FindEnumName(const std::array<EnumName<Enum>, Size>& aTable, Enum aValue)
{
  const auto row = std::ranges::find(aTable, aValue, &EnumName<Enum>::value);
  return row == aTable.end() ? std::string_view("invalid") : row->name;
}

/// Returns the value with this name, if the table has it.
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum>
FindEnumValue(const std::array<EnumName<Enum>, Size>& aTable,
              std::string_view aName)
{
  const auto row = std::ranges::find(aTable, aName, &EnumName<Enum>::name);
  if (row == aTable.end()) {
    return std::nullopt;
  }
  return row->value;
}

} // namespace teaselhold::state
