#pragma once

#include "Coordination/Admission.h"
#include "Coordination/CallSession.h"
#include "Services/teaselholdd/Clock.h"
#include "Services/teaselholdd/Settings.h"
#include "Transport/HttpServer.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace teaselhold::daemon {

/// Carries requests on one thread: from callers to the node beside an upstream,
/// and from other nodes to the upstream beside this node.
class DataPlane
{
public:
  using StateSink = std::function<void(state::EndpointState)>;

  DataPlane(const Settings& aSettings,
            const Clock& aClock,
            std::uint64_t aIncarnation,
            StateSink aStateSink);
  ~DataPlane();

  tl::expected<void, transport::TransportError> Start();

  /// Takes a new snapshot. Safe on any thread.
  void SetSnapshot(coordination::RoutingSnapshotPointer aSnapshot);

  /// Announces draining, finishes the requests in flight, then stops.
  void DrainAndStop();

private:
  using Request = transport::HttpRequest;
  using Response = transport::HttpResponse;
  template<typename Value>
  using Awaitable = boost::asio::awaitable<Value>;

  /// The answer for the caller together with its outcome.
  struct Exchange
  {
    coordination::Outcome outcome;
    Response response;
  };

  Awaitable<Response> ServeCaller(Request aRequest);
  Awaitable<Exchange> SendToNode(const Request& aRequest,
                                 const coordination::CallSession& aSession,
                                 const coordination::Attempt& aAttempt);
  Awaitable<Response> ServeNode(Request aRequest);
  Awaitable<Response> RunOnUpstream(Request aRequest,
                                    coordination::AdmissionRequest aAdmission);
  Awaitable<void> ProbeUpstream();
  void SetUpstreamState(state::EndpointState aState);

  Settings settings_;
  const Clock& clock_;
  std::uint64_t incarnation_;
  StateSink stateSink_;
  boost::asio::io_context context_{ 1 };
  transport::HttpClientPool nodes_;
  transport::HttpClientPool upstream_;
  std::unique_ptr<transport::HttpServer> callerServer_;
  std::unique_ptr<transport::HttpServer> nodeServer_;
  coordination::CallEnvironment environment_;
  coordination::Admission admission_;
  std::atomic<coordination::RoutingSnapshotPointer> snapshot_;
  state::EndpointState upstreamState_ = state::EndpointState::Starting;
  std::uint64_t nextRequest_ = 1;
  bool draining_ = false;
  std::thread thread_;
};

} // namespace teaselhold::daemon
