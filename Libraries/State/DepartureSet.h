#pragma once

#include "State/EndpointRecord.h"

#include <vector>

namespace teaselhold::state {

/// The runs of the upstreams beside one node that announced their departure,
/// oldest first. Departures are only added, so that sets of several authors are
/// merged and none overwrites another. Beyond the limit the oldest are dropped.
class DepartureSet
{
public:
  /// @return false if the run is already in the set.
  bool Add(const UpstreamIdentity& aRun);

  /// Adds all runs of another set.
  /// @return false if none of them was new.
  bool Merge(const DepartureSet& aOther);

  bool Contains(const UpstreamIdentity& aRun) const;

  const std::vector<UpstreamIdentity>& Runs() const { return runs_; }

private:
  std::vector<UpstreamIdentity> runs_;
};

} // namespace teaselhold::state
