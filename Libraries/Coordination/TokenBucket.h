#pragma once

#include "State/Instant.h"

#include <algorithm>

namespace teaselhold::coordination {

/// Admits up to a rate, with bursts up to a size.
class TokenBucket
{
public:
  /// @param aRate tokens for each second.
  TokenBucket(double aRate, double aBurst)
    : rate_(aRate)
    , burst_(aBurst)
    , tokens_(aBurst)
  {
  }

  /// Takes the tokens if any are left; the bucket may go into debt, so that
  /// one item larger than the burst still passes.
  bool Take(double aTokens, state::Instant aNow)
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
    const auto elapsed = std::chrono::duration<double>(aNow - refilled_);
    refilled_ = aNow;
    tokens_ = std::min(burst_, tokens_ + (rate_ * elapsed.count()));
  }

  double rate_;
  double burst_;
  double tokens_;
  state::Instant refilled_{ 0 };
};

} // namespace teaselhold::coordination
