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
constexpr std::chrono::milliseconds kIdleCheckInterval{ 20 };

/// Looks without a request in flight that count as idle. A request can be
/// between a caller's connect and its first byte for a moment.
constexpr int kIdleChecks = 5;

/// Time for clients to close the connections that this node ended.
constexpr std::chrono::milliseconds kCloseTime{ 2500 };

/// A node has thousands of peers, but few of them send at the same time.
constexpr std::size_t kMaxConnections = 4096;

} // namespace

DataPlane::DataPlane(const Settings& aSettings,
                     const Clock& aClock,
                     std::uint64_t aIncarnation,
                     StateSink aStateSink,
                     CrashSink aCrashSink)
  : settings_(aSettings)
  , stateSink_(std::move(aStateSink))
  , upstreamSide_(context_,
                  settings_,
                  aClock,
                  stateSink_,
                  std::move(aCrashSink))
  , callerSide_(context_, settings_, aClock, aIncarnation, upstreamSide_)
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

std::size_t
DataPlane::InFlight() const
{
  return callerServer_->InFlight() + nodeServer_->InFlight();
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
  const bool idle = WaitUntilIdle(deadline);
  if (!idle) {
    spdlog::warn("[node] Drain timeout. requests_in_flight={}",
                 OnDataThread([this] { return InFlight(); }));
  }
  asio::post(context_, [this] {
    callerServer_->Drain();
    nodeServer_->Drain();
  });
  WaitUntilClosed();
  stateSink_(state::EndpointState::Gone);
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
  callerSide_.Stop();
}

bool
DataPlane::WaitUntilIdle(Clock::Steady::time_point aDeadline)
{
  int idleChecks = 0;
  while (idleChecks < kIdleChecks && Clock::Steady::now() < aDeadline) {
    const auto inFlight = OnDataThread([this] { return InFlight(); });
    idleChecks = inFlight == 0 ? idleChecks + 1 : 0;
    std::this_thread::sleep_for(kIdleCheckInterval);
  }
  return idleChecks == kIdleChecks;
}

void
DataPlane::WaitUntilClosed()
{
  const auto deadline = Clock::Steady::now() + kCloseTime;
  bool closed = false;
  while (!closed && Clock::Steady::now() < deadline) {
    closed = OnDataThread([this] {
      return callerServer_->Connections() + nodeServer_->Connections() == 0;
    });
    std::this_thread::sleep_for(kIdleCheckInterval);
  }
}

} // namespace teaselhold::daemon
