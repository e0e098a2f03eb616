#pragma once

#include "State/Instant.h"

#include <algorithm>

namespace teaselhold::coordination {

/// Limits the rate at which tokens are taken, and allows bursts.
class TokenBucket
{
public:
  /// @param aRate tokens per second.
  TokenBucket(double aRate, double aBurst)
    : rate_(aRate)
    , burst_(aBurst)
    , tokens_(aBurst)
  {
  }

  /// Takes the tokens if any are left. The balance may become negative, so that
  /// an item larger than the burst size can still pass.
  bool TryTake(double aTokens, state::Instant aNow)
  {
    Refill(aNow);
    if (tokens_ <= 0) {
      return false;
    }
    tokens_ -= aTokens;
    return true;
  }

private:
  void Refill(state::Instant aNow)
  {
    const auto elapsed = std::chrono::duration<double>(aNow - refilledAt_);
    refilledAt_ = aNow;
    tokens_ = std::min(burst_, tokens_ + (rate_ * elapsed.count()));
  }

  double rate_;
  double burst_;
  double tokens_;
  state::Instant refilledAt_{ 0 };
};

} // namespace teaselhold::coordination
