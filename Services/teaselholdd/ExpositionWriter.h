#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace teaselhold::daemon {

/// Writes families of samples in the Prometheus text exposition format.
class ExpositionWriter
{
public:
  using Labels = std::vector<std::pair<std::string_view, std::string>>;

  /// Starts a family; its samples follow. aType is counter, gauge or histogram.
  void Family(std::string_view aName,
              std::string_view aType,
              std::string_view aHelp);

  void Sample(std::string_view aName, const Labels& aLabels, double aValue);

  std::string Take() { return std::move(text_); }

private:
  std::string text_;
};

} // namespace teaselhold::daemon
