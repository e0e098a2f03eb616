#pragma once

#include "State/Instant.h"

#include <map>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// Estimates how much of its deadline a caller has used up already. A caller
/// that retries sends the time that remains, so the longest remaining time
/// seen on a route is taken as the timeout of a first send. The elapsed time
/// is the difference between that timeout and the remaining time of a request.
class CallerDeadlines
{
public:
  struct Estimate
  {
    /// Time since the caller's first send; 0 if this is the first send.
    state::Duration elapsed;
    /// Timeout that callers of the route set for a first send.
    state::Duration callerTimeout;
  };

  /// Records the remaining time of one request and returns the estimate for
  /// it.
  Estimate Record(std::string_view aRoute, state::Duration aRemaining);

private:
  std::map<std::string, state::Duration, std::less<>> longestRemaining_;
};

} // namespace teaselhold::coordination
