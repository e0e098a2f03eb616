#pragma once

#include "State/Instant.h"

#include <map>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// Tells how long ago a caller sent a request first. A caller that sends again
/// gives the time that is left, so the longest time seen on a route, less the
/// time that a request brings, has passed already.
class CallerDeadlines
{
public:
  /// @return the time since the first send, 0 if this is the first.
  state::Duration Elapsed(std::string_view aRoute, state::Duration aRemaining);

private:
  std::map<std::string, state::Duration, std::less<>> longest_;
};

} // namespace teaselhold::coordination
