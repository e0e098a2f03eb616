#include "Coordination/CallerDeadlines.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

constexpr std::size_t kMaxRoutes = 1024;
/// A longer deadline comes from another kind of caller and is not recorded as
/// the timeout of a first send.
constexpr state::Duration kMaxCallerTimeout = std::chrono::seconds(60);

} // namespace

CallerDeadlines::Estimate
CallerDeadlines::Record(std::string_view aRoute, state::Duration aRemaining)
{
  if (aRemaining > kMaxCallerTimeout) {
    return { state::Duration{ 0 }, aRemaining };
  }
  auto found = longestRemaining_.find(aRoute);
  if (found == longestRemaining_.end()) {
    if (longestRemaining_.size() >= kMaxRoutes) {
      longestRemaining_.clear();
    }
    found =
      longestRemaining_.try_emplace(std::string(aRoute), aRemaining).first;
  }
  found->second = std::max(found->second, aRemaining);
  return { found->second - aRemaining, found->second };
}

} // namespace teaselhold::coordination
