#pragma once

#include "State/Instant.h"

namespace teaselhold::daemon {

/// The daemon's only source of time for decision logic.
class Clock
{
public:
  using Steady = std::chrono::steady_clock;

  state::Instant Now() const
  {
    return std::chrono::duration_cast<state::Instant>(Steady::now() - start_);
  }

  Steady::time_point ToSteady(state::Instant aInstant) const
  {
    return start_ + aInstant;
  }

private:
  Steady::time_point start_ = Steady::now();
};

} // namespace teaselhold::daemon
