#pragma once

#include "Coordination/CallSession.h"
#include "Services/teaselholdd/Clock.h"
#include "Services/teaselholdd/Exchange.h"
#include "Services/teaselholdd/Settings.h"
#include "Services/teaselholdd/VersionExchange.h"
#include "Transport/HttpClientPool.h"

namespace teaselhold::daemon {

class UpstreamSide;

/// Carries one attempt of a call to the node beside the upstream.
class NodeHop
{
public:
  /// Larger bodies are offered before they are sent.
  static constexpr std::size_t kOfferedBytes = std::size_t{ 16 } * 1024;

  NodeHop(boost::asio::io_context& aContext,
          const Settings& aSettings,
          const Clock& aClock,
          std::uint64_t aIncarnation,
          UpstreamSide& aLocal,
          VersionExchange& aVersions);

  /// What the hop carries besides the caller's request.
  struct Load
  {
    const state::RouteSpec& route;
    const std::string& service;
    std::uint32_t tenantLimit = 0;
    unsigned depth = 0;
    std::uint32_t priority = state::kDefaultPriority;
  };

  /// Sends the request; its headers between nodes are replaced. The request
  /// must outlive the call.
  Awaitable<Exchange> Send(Request& aRequest,
                           const Load& aLoad,
                           const coordination::Attempt& aAttempt,
                           transport::CancellationPointer aCancellation);

private:
  void SetNodeHeaders(Request& aRequest,
                      const Load& aLoad,
                      const coordination::Attempt& aAttempt) const;
  Awaitable<Exchange> SendRemote(Request& aRequest,
                                 const Load& aLoad,
                                 const coordination::Attempt& aAttempt,
                                 transport::CancellationPointer aCancellation);
  Awaitable<bool> NeverArrived(const state::EndpointRecord& aEndpoint,
                               std::string aId);

  const Settings& settings_;
  const Clock& clock_;
  std::uint64_t incarnation_;
  UpstreamSide& local_;
  VersionExchange& versions_;
  transport::HttpClientPool pool_;
  std::string idPrefix_;
  std::uint64_t nextRequest_ = 1;
};

} // namespace teaselhold::daemon
