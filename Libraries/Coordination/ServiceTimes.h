#pragma once

#include "State/Instant.h"

#include <map>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// Tracks the smoothed service time of each route, which is the time that its
/// requests occupy a slot of an upstream. Kept by route because upstreams serve
/// short and long requests side by side, and a common mean describes neither.
class ServiceTimes
{
public:
  /// Adds the service time of one request; 0 means unknown and is ignored.
  void Record(std::string_view aRoute, state::Duration aTime);

  /// @return the smoothed time of the route, or aDefault if none is known.
  state::Duration Get(std::string_view aRoute, state::Duration aDefault) const;

private:
  std::map<std::string, state::Duration, std::less<>> routes_;
};

} // namespace teaselhold::coordination
