#include "Coordination/ReturnTime.h"

#include <algorithm>

namespace teaselhold::coordination {

state::Duration
ChooseReturnTime(const ReturnPolicy& aPolicy,
                 const NotRun& aRefusal,
                 double aRandom)
{
  using Seconds = std::chrono::duration<double>;
  const Seconds earliest = std::max(aRefusal.retryAfter, aPolicy.shortest);
  const auto latest = earliest * aPolicy.spread;
  const auto chosen = earliest + (latest - earliest) * aRandom;
  return std::chrono::duration_cast<state::Duration>(chosen);
}

} // namespace teaselhold::coordination
