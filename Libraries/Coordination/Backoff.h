#pragma once

#include "Coordination/RandomSource.h"

#include <algorithm>

namespace teaselhold::coordination {

/// Delays before a failed call to the store is retried. Refused calls are
/// charged like successful ones.
constexpr state::Duration kInitialStoreRetryDelay =
  std::chrono::milliseconds(300);
constexpr state::Duration kMaxStoreRetryDelay = std::chrono::milliseconds(700);

/// Exponential backoff with jitter. The jitter of up to half the delay spreads
/// the retries of nodes that failed at the same time.
class Backoff
{
public:
  Backoff(state::Duration aInitialDelay, state::Duration aMaxDelay)
    : initialDelay_(aInitialDelay)
    , maxDelay_(aMaxDelay)
  {
  }

  /// Counts a failure.
  /// @return the delay before the next attempt.
  state::Duration Next(RandomSource& aRandom)
  {
    constexpr std::uint32_t kMaxDoublings = 16;
    const auto delay = std::min(maxDelay_, initialDelay_ * (1U << failures_));
    failures_ = std::min(failures_ + 1, kMaxDoublings);
    return aRandom.Between(delay - delay / 2, delay);
  }

  void Reset() { failures_ = 0; }

  void SetMaxDelay(state::Duration aMaxDelay) { maxDelay_ = aMaxDelay; }

private:
  state::Duration initialDelay_;
  state::Duration maxDelay_;
  std::uint32_t failures_ = 0;
};

} // namespace teaselhold::coordination
