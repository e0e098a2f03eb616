#include "State/DepartureSet.h"

#include <algorithm>

namespace teaselhold::state {

namespace {

/// A run ends within seconds of its departure, so that few are recent.
constexpr std::size_t kMaxRuns = 16;

} // namespace

bool
DepartureSet::Add(const UpstreamIdentity& aRun)
{
  if (Contains(aRun)) {
    return false;
  }
  runs_.push_back(aRun);
  if (runs_.size() > kMaxRuns) {
    runs_.erase(runs_.begin());
  }
  return true;
}

bool
DepartureSet::Merge(const DepartureSet& aOther)
{
  bool isChanged = false;
  for (const auto& run : aOther.runs_) {
    isChanged = Add(run) || isChanged;
  }
  return isChanged;
}

bool
DepartureSet::Contains(const UpstreamIdentity& aRun) const
{
  return std::ranges::any_of(
    runs_, [&](const auto& aKnown) { return aKnown.IsSameRun(aRun); });
}

} // namespace teaselhold::state
