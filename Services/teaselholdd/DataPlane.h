#pragma once

#include "Services/teaselholdd/CallerSide.h"
#include "Services/teaselholdd/UpstreamSide.h"
#include "Transport/HttpServer.h"

#include <atomic>
#include <thread>

namespace teaselhold::daemon {

/// Carries requests on one thread: from callers to the node beside an upstream,
/// and from other nodes to the upstream beside this node.
class DataPlane
{
public:
  using StateSink = UpstreamLink::StateSink;
  using CrashSink = UpstreamLink::CrashSink;

  DataPlane(const Settings& aSettings,
            const Clock& aClock,
            std::uint64_t aIncarnation,
            StateSink aStateSink,
            CrashSink aCrashSink,
            coordination::CallMetrics& aCallMetrics);
  ~DataPlane();

  tl::expected<void, transport::TransportError> Start();

  /// Takes a new snapshot. Safe on any thread.
  void SetSnapshot(coordination::RoutingSnapshotPointer aSnapshot);

  /// Announces draining, finishes the requests in flight, then stops. Returns
  /// after the settings' drain timeout at the latest.
  void DrainAndStop();

private:
  /// Runs a function on the data thread and waits for its result.
  template<typename Function>
  auto OnDataThread(Function aFunction);

  /// Waits until a condition holds on the data thread.
  /// @return false if it does not hold before the deadline.
  bool WaitUntil(Clock::Steady::time_point aDeadline,
                 const std::function<bool()>& aCondition);

  Settings settings_;
  StateSink stateSink_;
  boost::asio::io_context context_{ 1 };
  UpstreamSide upstreamSide_;
  CallerSide callerSide_;
  std::unique_ptr<transport::HttpServer> callerServer_;
  std::unique_ptr<transport::HttpServer> nodeServer_;
  std::thread thread_;
};

} // namespace teaselhold::daemon
