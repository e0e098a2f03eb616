#pragma once

#include "State/Instant.h"

#include <map>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// Learns how long the requests of each route hold a slot of an upstream.
/// Upstreams serve short and long requests side by side, so their mean says
/// little of either.
class ServiceTimes
{
public:
  /// Takes the service time of one request; 0 says nothing.
  void Learn(std::string_view aRoute, state::Duration aTime);

  /// @return the smoothed time, or aDefault if nothing is known.
  state::Duration Of(std::string_view aRoute, state::Duration aDefault) const;

private:
  std::map<std::string, state::Duration, std::less<>> routes_;
};

} // namespace teaselhold::coordination
