#pragma once

#include "State/Configuration.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// Distributes the requests of a route among its target services by weight. The
/// shares are met closely even in short runs of requests and not only on
/// average, because with a random choice small shares would deviate too much
/// within seconds.
class TargetPicker
{
public:
  explicit TargetPicker(std::uint64_t aSeed);

  /// @return the service for the next request of the route; an empty name if no
  /// service has a share of them.
  const std::string& Pick(const state::RouteSpec& aRoute);

private:
  /// State of the smooth weighted round robin for one route.
  struct Rotation
  {
    std::vector<state::RouteTarget> targets;
    std::vector<std::int64_t> currentWeights;
  };

  void Reset(Rotation& aRotation, const state::RouteSpec& aRoute);

  std::map<std::string, Rotation, std::less<>> rotations_;
  std::minstd_rand random_;
};

} // namespace teaselhold::coordination
