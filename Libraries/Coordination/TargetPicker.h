#pragma once

#include "State/Configuration.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// Shares the requests of a route among its services by weight. The shares are
/// exact over any run of requests, not only on average, because small shares
/// would otherwise stray far within seconds.
class TargetPicker
{
public:
  explicit TargetPicker(std::uint64_t aSeed);

  /// @return the service of the next request.
  const std::string& Pick(const state::RouteSpec& aRoute);

private:
  /// Smooth weighted round robin over one route's targets.
  struct Credits
  {
    std::vector<state::RouteTarget> targets;
    std::vector<std::int64_t> credits;
  };

  void Reset(Credits& aCredits, const state::RouteSpec& aRoute);

  std::map<std::string, Credits, std::less<>> routes_;
  std::minstd_rand random_;
};

} // namespace teaselhold::coordination
