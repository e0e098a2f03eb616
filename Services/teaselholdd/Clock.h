#pragma once

#include "State/Instant.h"

#include <ctime>

namespace teaselhold::daemon {

/// The daemon's only source of time for decision logic. It counts the time
/// during which the host was suspended, which the steady clock does not, so
/// that leases, deadlines and the age of what is known end when others see them
/// end.
class Clock
{
public:
  using Steady = std::chrono::steady_clock;
  /// Returns the time since some fixed point.
  using Source = state::Instant (*)();

  explicit Clock(Source aSource = ReadBootTime)
    : source_(aSource)
    , start_(aSource())
  {
  }

  state::Instant Now() const { return source_() - start_; }

  /// Converts for timers, which run on the steady clock. A host that is
  /// suspended meanwhile ends the wait late; Now() then tells how late.
  Steady::time_point ToSteady(state::Instant aInstant) const
  {
    if (aInstant == state::Instant::max()) {
      return Steady::time_point::max();
    }
    return Steady::now() + (aInstant - Now());
  }

private:
  static state::Instant ReadBootTime()
  {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<state::Instant>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
  }

  Source source_;
  state::Instant start_;
};

} // namespace teaselhold::daemon
