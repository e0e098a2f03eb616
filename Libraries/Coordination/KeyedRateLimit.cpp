#include "Coordination/KeyedRateLimit.h"

namespace teaselhold::coordination {

KeyedRateLimit::KeyedRateLimit(state::Duration aInterval)
  : interval_(aInterval)
{
}

bool
KeyedRateLimit::Allow(std::string_view aKey, state::Instant aNow)
{
  if (aNow >= nextSweep_) {
    std::erase_if(lastAllowed_, [&](const auto& aEntry) {
      return aNow - aEntry.second >= interval_;
    });
    nextSweep_ = aNow + interval_;
  }
  const auto last = lastAllowed_.find(aKey);
  if (last == lastAllowed_.end()) {
    lastAllowed_.emplace(aKey, aNow);
    return true;
  }
  if (aNow - last->second < interval_) {
    return false;
  }
  last->second = aNow;
  return true;
}

} // namespace teaselhold::coordination
