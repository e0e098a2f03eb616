#include "Coordination/RetryDelay.h"

#include <algorithm>

namespace teaselhold::coordination {

state::Duration
ChooseRetryDelay(const RetryDelayPolicy& aPolicy,
                 const NotRun& aRefusal,
                 double aRandom)
{
  using Seconds = std::chrono::duration<double>;
  const Seconds minDelay = std::max(aRefusal.retryAfter, aPolicy.minDelay);
  const auto maxDelay = minDelay * aPolicy.spreadFactor;
  const auto delay = minDelay + (maxDelay - minDelay) * aRandom;
  return std::chrono::duration_cast<state::Duration>(delay);
}

} // namespace teaselhold::coordination
