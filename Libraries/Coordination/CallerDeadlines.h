#pragma once

#include "State/Instant.h"

#include <map>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// Learns how long the callers of each route wait. A caller that sends again
/// gives the time that is left, so the longest time seen on a route, less the
/// time that a request brings, has passed already.
class CallerDeadlines
{
public:
  struct Times
  {
    /// Since the caller's first send; 0 if this is the first.
    state::Duration elapsed;
    /// What callers of the route give a first send.
    state::Duration longest;
  };

  /// Takes the remaining time of one request.
  Times Note(std::string_view aRoute, state::Duration aRemaining);

private:
  std::map<std::string, state::Duration, std::less<>> longest_;
};

} // namespace teaselhold::coordination
