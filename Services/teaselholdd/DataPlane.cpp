#include "Services/teaselholdd/DataPlane.h"

#include <future>
#include <spdlog/spdlog.h>

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace asio = boost::asio;

/// Other nodes learn of the draining state, and their probes of idle
/// connections get an answer that closes the connection.
constexpr std::chrono::milliseconds kAnnouncementTime{ 1500 };
constexpr std::chrono::milliseconds kCheckInterval{ 20 };

/// Time for clients to close the connections that this node ended.
constexpr std::chrono::milliseconds kCloseTime{ 2500 };

/// A node has thousands of peers, but few of them send at the same time.
constexpr std::size_t kMaxConnections = 4096;

} // namespace

DataPlane::DataPlane(const Settings& aSettings,
                     const Clock& aClock,
                     std::uint64_t aIncarnation,
                     StateSink aStateSink,
                     CrashSink aCrashSink,
                     coordination::CallMetrics& aCallMetrics)
  : settings_(aSettings)
  , stateSink_(std::move(aStateSink))
  , upstreamSide_(context_,
                  settings_,
                  aClock,
                  aIncarnation,
                  stateSink_,
                  std::move(aCrashSink),
                  aCallMetrics)
  , callerSide_(context_,
                settings_,
                aClock,
                aIncarnation,
                upstreamSide_,
                aCallMetrics)
{
}

DataPlane::~DataPlane()
{
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
  callerSide_.Stop();
}

tl::expected<void, transport::TransportError>
DataPlane::Start()
{
  transport::HttpServerOptions options;
  options.maxConnections = kMaxConnections;
  auto callerServer = transport::HttpServer::Listen(
    context_,
    settings_.callerAddress,
    transport::HttpServer::CancellableHandler(
      [this](Request aRequest, transport::CancellationPointer aCancellation) {
        return callerSide_.Serve(std::move(aRequest), std::move(aCancellation));
      }),
    options);
  if (!callerServer) {
    return tl::make_unexpected(callerServer.error());
  }
  auto nodeServer = transport::HttpServer::Listen(
    context_,
    settings_.dataAddress,
    transport::HttpServer::CancellableHandler(
      [this](Request aRequest, transport::CancellationPointer aCancellation) {
        return upstreamSide_.ServeNode(std::move(aRequest),
                                       std::move(aCancellation));
      }),
    options);
  if (!nodeServer) {
    return tl::make_unexpected(nodeServer.error());
  }
  callerServer_ = std::move(*callerServer);
  nodeServer_ = std::move(*nodeServer);
  upstreamSide_.Start();
  thread_ = std::thread([this] { context_.run(); });
  return {};
}

void
DataPlane::SetSnapshot(RoutingSnapshotPointer aSnapshot)
{
  asio::post(context_, [this, snapshot = std::move(aSnapshot)]() mutable {
    callerSide_.SetSnapshot(std::move(snapshot));
  });
}

template<typename Function>
auto
DataPlane::OnDataThread(Function aFunction)
{
  std::promise<decltype(aFunction())> result;
  asio::post(context_, [&] { result.set_value(aFunction()); });
  return result.get_future().get();
}

void
DataPlane::DrainAndStop()
{
  const auto deadline = Clock::Steady::now() + settings_.drainTimeout;
  asio::post(context_, [this] {
    upstreamSide_.Drain();
    callerServer_->CloseAfterAnswers();
    nodeServer_->CloseAfterAnswers();
  });
  // Callers' requests are still served while the announcement spreads.
  std::this_thread::sleep_for(kAnnouncementTime);
  asio::post(context_, [this] { callerSide_.Drain(); });
  WaitUntil(deadline, [this] {
    return callerSide_.InFlight() + upstreamSide_.InFlight() == 0;
  });
  asio::post(context_, [this] {
    callerServer_->Drain();
    nodeServer_->Drain();
  });
  const auto inFlight = [this] {
    return callerServer_->InFlight() + nodeServer_->InFlight();
  };
  const bool finished =
    WaitUntil(deadline, [inFlight] { return inFlight() == 0; });
  if (!finished) {
    spdlog::warn("[node] Drain timeout. requests_in_flight={}",
                 OnDataThread(inFlight));
  }
  WaitUntil(Clock::Steady::now() + kCloseTime, [this] {
    return callerServer_->Connections() + nodeServer_->Connections() == 0;
  });
  stateSink_(state::EndpointState::Gone);
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
  callerSide_.Stop();
}

bool
DataPlane::WaitUntil(Clock::Steady::time_point aDeadline,
                     const std::function<bool()>& aCondition)
{
  while (Clock::Steady::now() < aDeadline) {
    if (OnDataThread(aCondition)) {
      return true;
    }
    std::this_thread::sleep_for(kCheckInterval);
  }
  return false;
}

} // namespace teaselhold::daemon
