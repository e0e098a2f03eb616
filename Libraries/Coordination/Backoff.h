#pragma once

#include "State/Instant.h"

#include <algorithm>
#include <random>

namespace teaselhold::coordination {

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
  template<typename Random>
  state::Duration Next(Random& aRandom)
  {
    constexpr std::uint32_t kMaxDoublings = 16;
    const auto delay = std::min(longest_, first_ * (1U << failures_));
    failures_ = std::min(failures_ + 1, kMaxDoublings);
    std::uniform_int_distribution<state::Duration::rep> jitter(
      0, delay.count() / 2);
    return delay - state::Duration(jitter(aRandom));
  }

  void Reset() { failures_ = 0; }

private:
  state::Duration first_;
  state::Duration longest_;
  std::uint32_t failures_ = 0;
};

} // namespace teaselhold::coordination
