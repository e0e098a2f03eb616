#pragma once

#include "Coordination/CallTypes.h"

namespace teaselhold::coordination {

/// Bounds of the delay after which a refused caller retries.
struct RetryDelayPolicy
{
  /// Shortest delay before a refused caller retries.
  state::Duration minDelay = std::chrono::milliseconds(300);
  /// Longest delay as a multiple of the shortest one. Callers are spread evenly
  /// between the two, so that they do not retry at the same time.
  double spreadFactor = 2;
};

/// Chooses the delay after which a refused caller retries. In a burst, callers
/// that retry at once find the upstreams still full and are refused again.
/// @param aRandom uniformly distributed from 0 to 1.
state::Duration
ChooseRetryDelay(const RetryDelayPolicy& aPolicy,
                 const NotRun& aRefusal,
                 double aRandom);

} // namespace teaselhold::coordination
