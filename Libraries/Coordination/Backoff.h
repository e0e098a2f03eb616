#pragma once

#include "Coordination/RandomSource.h"

#include <algorithm>

namespace teaselhold::coordination {

/// Between two calls of the store that failed. Refused calls are paid for too.
constexpr state::Duration kFirstStorePause = std::chrono::milliseconds(300);
constexpr state::Duration kLongestStorePause = std::chrono::milliseconds(700);

/// A delay that doubles with each failure. The jitter of up to half the delay
/// spreads nodes that failed at the same time.
class Backoff
{
public:
  Backoff(state::Duration aFirst, state::Duration aLongest)
    : first_(aFirst)
    , longest_(aLongest)
  {
  }

  /// @return the delay after one more failure.
  state::Duration Next(RandomSource& aRandom)
  {
    constexpr std::uint32_t kMaxDoublings = 16;
    const auto delay = std::min(longest_, first_ * (1U << failures_));
    failures_ = std::min(failures_ + 1, kMaxDoublings);
    return aRandom.Between(delay - delay / 2, delay);
  }

  void Reset() { failures_ = 0; }

  void SetLongest(state::Duration aLongest) { longest_ = aLongest; }

private:
  state::Duration first_;
  state::Duration longest_;
  std::uint32_t failures_ = 0;
};

} // namespace teaselhold::coordination
