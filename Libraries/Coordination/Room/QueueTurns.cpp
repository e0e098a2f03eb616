#include "Coordination/Room/QueueTurns.h"

#include <algorithm>

namespace teaselhold::coordination {

std::optional<std::size_t>
QueueTurns::Next(const ReadyQueues& aReady) const
{
  if (aReady[0]) {
    return 0;
  }
  for (std::size_t queue = 1; queue < kQueueCount; ++queue) {
    if (aReady[queue] && passedOver_[queue] >= kMaxPassedOver) {
      return queue;
    }
  }
  const auto* first = std::ranges::find(aReady, true);
  return first == aReady.end()
           ? std::nullopt
           : std::optional(static_cast<std::size_t>(first - aReady.begin()));
}

std::optional<std::size_t>
QueueTurns::Take(const ReadyQueues& aReady)
{
  const auto taken = Next(aReady);
  // Calls of running requests belong to work that has had its turn.
  if (!taken || *taken == 0) {
    return taken;
  }
  passedOver_[*taken] = 0;
  for (auto queue = *taken + 1; queue < kQueueCount; ++queue) {
    passedOver_[queue] += aReady[queue] ? 1 : 0;
  }
  return taken;
}

} // namespace teaselhold::coordination
