#include "Coordination/TargetPicker.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// The state of removed routes is kept until this limit, at which all state is
/// reset.
constexpr std::size_t kMaxRoutes = 1024;

bool
HaveSameTargets(const std::vector<state::RouteTarget>& aLeft,
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
TargetPicker::Reset(Rotation& aRotation, const state::RouteSpec& aRoute)
{
  aRotation.targets = aRoute.targets;
  aRotation.currentWeights.clear();
  for (const auto& target : aRoute.targets) {
    // Nodes start at different positions of the rotation, so that they do not
    // all send to a target with a small weight at the same moment.
    const auto start = random_() % (std::uint64_t{ target.weight } + 1);
    aRotation.currentWeights.push_back(static_cast<std::int64_t>(start));
  }
}

const std::string&
TargetPicker::Pick(const state::RouteSpec& aRoute)
{
  if (aRoute.targets.empty()) {
    return aRoute.service;
  }
  auto found = rotations_.find(aRoute.name);
  if (found == rotations_.end()) {
    if (rotations_.size() >= kMaxRoutes) {
      rotations_.clear();
    }
    found = rotations_.try_emplace(aRoute.name).first;
  }
  auto& rotation = found->second;
  if (!HaveSameTargets(rotation.targets, aRoute.targets)) {
    Reset(rotation, aRoute);
  }
  std::int64_t total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < rotation.targets.size(); ++i) {
    rotation.currentWeights[i] += rotation.targets[i].weight;
    total += rotation.targets[i].weight;
    const bool isBetter =
      rotation.targets[best].weight == 0 ||
      (rotation.targets[i].weight > 0 &&
       rotation.currentWeights[i] > rotation.currentWeights[best]);
    best = isBetter ? i : best;
  }
  if (total == 0) {
    static const std::string kNoService;
    return kNoService;
  }
  rotation.currentWeights[best] -= total;
  return aRoute.targets[best].service;
}

} // namespace teaselhold::coordination
