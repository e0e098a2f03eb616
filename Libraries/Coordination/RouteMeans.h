#pragma once

#include <map>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// Learns a figure of each route's requests, such as how long they hold a slot.
/// Upstreams serve short and long requests side by side, so a mean over all of
/// them says little of either.
template<typename Value>
class RouteMeans
{
public:
  /// Takes the figure of one request; 0 says nothing.
  void Learn(std::string_view aRoute, Value aValue)
  {
    if (aValue == Value{}) {
      return;
    }
    const auto found = routes_.find(aRoute);
    if (found != routes_.end()) {
      found->second += (aValue - found->second) / kSmoothing;
      return;
    }
    if (routes_.size() >= kMaxRoutes) {
      routes_.clear();
    }
    routes_.emplace(aRoute, aValue);
  }

  /// @return the smoothed figure, or aDefault if nothing is known.
  Value Of(std::string_view aRoute, Value aDefault) const
  {
    const auto found = routes_.find(aRoute);
    return found == routes_.end() ? aDefault : found->second;
  }

private:
  static constexpr std::size_t kMaxRoutes = 1024;
  /// The newest request counts for one part in this many.
  static constexpr int kSmoothing = 16;

  std::map<std::string, Value, std::less<>> routes_;
};

} // namespace teaselhold::coordination
