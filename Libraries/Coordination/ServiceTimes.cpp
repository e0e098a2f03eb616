#include "Coordination/ServiceTimes.h"

namespace teaselhold::coordination {

namespace {

constexpr std::size_t kMaxRoutes = 1024;
/// The newest sample has a weight of 1 / kSmoothingDivisor.
constexpr int kSmoothingDivisor = 16;

} // namespace

void
ServiceTimes::Record(std::string_view aRoute, state::Duration aTime)
{
  if (aTime.count() == 0) {
    return;
  }
  const auto found = routes_.find(aRoute);
  if (found != routes_.end()) {
    found->second += (aTime - found->second) / kSmoothingDivisor;
    return;
  }
  if (routes_.size() >= kMaxRoutes) {
    routes_.clear();
  }
  routes_.emplace(aRoute, aTime);
}

state::Duration
ServiceTimes::Get(std::string_view aRoute, state::Duration aDefault) const
{
  const auto found = routes_.find(aRoute);
  return found == routes_.end() ? aDefault : found->second;
}

} // namespace teaselhold::coordination
