#pragma once

#include "State/Instant.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace teaselhold::coordination {

/// Pseudo-random number generator (SplitMix64). A seed gives the same numbers
/// on every platform, so that golden transcripts do not depend on the standard
/// library.
class RandomSource
{
public:
  explicit RandomSource(std::uint64_t aSeed)
    : state_(aSeed)
  {
  }

  std::uint64_t Next()
  {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
  }

  /// @return a random number from 0 to aLimit - 1; 0 if aLimit is 0.
  std::uint64_t NextBelow(std::uint64_t aLimit)
  {
    return aLimit == 0 ? 0 : Next() % aLimit;
  }

  /// @return a random time from aLow to aHigh, both included.
  state::Duration Between(state::Duration aLow, state::Duration aHigh)
  {
    const auto range = static_cast<std::uint64_t>((aHigh - aLow).count());
    return aLow + state::Duration(NextBelow(range + 1));
  }

  /// @return a random sample of at most aCount items.
  template<typename T>
  std::vector<T> Sample(std::vector<T> aItems, std::size_t aCount)
  {
    const auto count = aCount < aItems.size() ? aCount : aItems.size();
    for (std::size_t i = 0; i < count; ++i) {
      std::swap(aItems[i], aItems[i + NextBelow(aItems.size() - i)]);
    }
    aItems.erase(aItems.begin() + static_cast<std::ptrdiff_t>(count),
                 aItems.end());
    return aItems;
  }

private:
  std::uint64_t state_;
};

} // namespace teaselhold::coordination
