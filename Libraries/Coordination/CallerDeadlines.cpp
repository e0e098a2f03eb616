#include "Coordination/CallerDeadlines.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

constexpr std::size_t kMaxRoutes = 1024;
/// A longer deadline comes from another kind of caller and is not recorded as
/// the timeout of a first send.
constexpr state::Duration kLongestDeadline = std::chrono::seconds(60);

} // namespace

CallerDeadlines::Times
CallerDeadlines::Note(std::string_view aRoute, state::Duration aRemaining)
{
  if (aRemaining > kLongestDeadline) {
    return { state::Duration{ 0 }, aRemaining };
  }
  auto found = longest_.find(aRoute);
  if (found == longest_.end()) {
    if (longest_.size() >= kMaxRoutes) {
      longest_.clear();
    }
    found = longest_.try_emplace(std::string(aRoute), aRemaining).first;
  }
  found->second = std::max(found->second, aRemaining);
  return { found->second - aRemaining, found->second };
}

} // namespace teaselhold::coordination
