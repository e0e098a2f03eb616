#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// Learns which routes carry nested calls: requests that the upstream beside
/// this node makes on behalf of requests that it runs. Such a call expires no
/// later than its parent, so a request that outlives every running request
/// comes from a client. A few of those show that clients use the route.
class NestedRoutes
{
public:
  /// Records one request of a route.
  /// @param aMayBeNested a running request of the upstream beside this node
  ///        expires no earlier than the request.
  /// @return true if the request may be a nested call, so far as its route's
  ///         requests show.
  bool Record(std::string_view aRoute, bool aMayBeNested);

private:
  struct Evidence
  {
    std::uint32_t requests = 0;
    std::uint32_t clientRequests = 0;
  };

  std::map<std::string, Evidence, std::less<>> routes_;
};

} // namespace teaselhold::coordination
