#include "Coordination/TargetPicker.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// The state of removed routes is kept until this limit, at which all state is
/// reset.
constexpr std::size_t kMaxRoutes = 1024;

bool
IsSame(const std::vector<state::RouteTarget>& aLeft,
       const std::vector<state::RouteTarget>& aRight)
{
  return std::ranges::equal(
    aLeft, aRight, [](const auto& aOne, const auto& aOther) {
      return aOne.service == aOther.service && aOne.weight == aOther.weight;
    });
}

} // namespace

TargetPicker::TargetPicker(std::uint64_t aSeed)
  : random_(static_cast<std::minstd_rand::result_type>(aSeed))
{
}

void
TargetPicker::Reset(Credits& aCredits, const state::RouteSpec& aRoute)
{
  aCredits.targets = aRoute.targets;
  aCredits.credits.clear();
  for (const auto& target : aRoute.targets) {
    // Nodes start at different positions of the rotation, so that they do not
    // all send to a target with a small weight at the same moment.
    const auto start = random_() % (std::uint64_t{ target.weight } + 1);
    aCredits.credits.push_back(static_cast<std::int64_t>(start));
  }
}

const std::string&
TargetPicker::Pick(const state::RouteSpec& aRoute)
{
  if (aRoute.targets.empty()) {
    return aRoute.service;
  }
  auto found = routes_.find(aRoute.name);
  if (found == routes_.end()) {
    if (routes_.size() >= kMaxRoutes) {
      routes_.clear();
    }
    found = routes_.try_emplace(aRoute.name).first;
  }
  auto& row = found->second;
  if (!IsSame(row.targets, aRoute.targets)) {
    Reset(row, aRoute);
  }
  std::int64_t total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < row.targets.size(); ++i) {
    row.credits[i] += row.targets[i].weight;
    total += row.targets[i].weight;
    const bool isBetter =
      row.targets[best].weight == 0 ||
      (row.targets[i].weight > 0 && row.credits[i] > row.credits[best]);
    best = isBetter ? i : best;
  }
  row.credits[best] -= total;
  return aRoute.targets[best].service;
}

} // namespace teaselhold::coordination
