#pragma once

#include "State/Instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// Tracks a smoothed value for each route. Kept by route because upstreams
/// serve short and long requests side by side, and a common mean describes
/// neither.
template<typename Value>
class RouteAverages
{
public:
  /// Adds the value of one request; 0 means unknown and is ignored.
  void Record(std::string_view aRoute, Value aValue)
  {
    if (aValue == Value{ 0 }) {
      return;
    }
    const auto found = routes_.find(aRoute);
    if (found != routes_.end()) {
      found->second += (aValue - found->second) / kSmoothingDivisor;
      return;
    }
    if (routes_.size() >= kMaxRoutes) {
      routes_.clear();
    }
    routes_.emplace(aRoute, aValue);
  }

  /// @return the smoothed value of the route, or aDefault if none is known.
  Value Get(std::string_view aRoute, Value aDefault) const
  {
    const auto found = routes_.find(aRoute);
    return found == routes_.end() ? aDefault : found->second;
  }

private:
  static constexpr std::size_t kMaxRoutes = 1024;
  /// The newest sample has a weight of 1 / kSmoothingDivisor.
  static constexpr int kSmoothingDivisor = 16;

  std::map<std::string, Value, std::less<>> routes_;
};

/// The time that the requests of a route occupy a slot of an upstream.
using ServiceTimes = RouteAverages<state::Duration>;

/// The size of the successful answers of a route, in bytes.
using AnswerSizes = RouteAverages<std::int64_t>;

} // namespace teaselhold::coordination
