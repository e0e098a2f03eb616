#pragma once

#include "Coordination/CallTypes.h"
#include "State/EndpointTable.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// Picks the upstream for a request from what this node itself sees.
class Router
{
public:
  Router(std::string aDataCentre, std::string aRegion);

  /// Picks a ready upstream of the service, nearest first, that is not among
  /// aTried. Counts the request as in flight until Finished().
  std::optional<state::EndpointRecord> Pick(
    const state::EndpointTable& aEndpoints,
    const std::string& aService,
    const std::vector<std::string>& aTried,
    state::Instant aNow);

  void Finished(const std::string& aNode,
                const Outcome& aOutcome,
                state::Instant aNow);

private:
  struct NodeView
  {
    unsigned inFlight = 0;
    state::Instant ejectedUntil{ 0 };
  };

  unsigned Distance(const state::EndpointRecord& aRecord) const;

  std::string dataCentre_;
  std::string region_;
  std::map<std::string, NodeView> views_;
};

} // namespace teaselhold::coordination
