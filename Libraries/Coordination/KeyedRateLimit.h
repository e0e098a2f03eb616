#pragma once

#include "State/Instant.h"

#include <map>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// Allows one action per key and interval. Forgets keys whose interval has
/// passed, so that its memory is bounded by the keys of one interval.
class KeyedRateLimit
{
public:
  explicit KeyedRateLimit(state::Duration aInterval);

  /// @return true at most once per interval for each key.
  bool Allow(std::string_view aKey, state::Instant aNow);

  std::size_t Size() const { return lastAllowed_.size(); }

private:
  state::Duration interval_;
  state::Instant nextSweep_{ 0 };
  std::map<std::string, state::Instant, std::less<>> lastAllowed_;
};

} // namespace teaselhold::coordination
