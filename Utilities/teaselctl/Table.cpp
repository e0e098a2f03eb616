#include "Utilities/teaselctl/Table.h"

#include <algorithm>

namespace teaselhold::tool {

std::string
FormatTable(const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : aRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      text += row[i];
      if (i + 1 < row.size()) {
        text.append(widths[i] - row[i].size() + 2, ' ');
      }
    }
    text += "\n";
  }
  return text;
}

} // namespace teaselhold::tool
