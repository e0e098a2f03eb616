#include "Services/teaselholdd/DataPlane.h"

#include "Protocol/Headers.h"
#include "Services/teaselholdd/HttpHeaders.h"

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

/// Two failed readiness checks, one each second, with their answers.
constexpr std::chrono::milliseconds kReadyChecksTime{ 2300 };

/// Idle connections are served for this time after the last request, because
/// clients may use them again until they see them end.
constexpr std::chrono::milliseconds kIdleTime{ 500 };
/// Time for clients to close the connections that this node ended.
constexpr std::chrono::milliseconds kCloseTime{ 2000 };
/// On the platform, whose callers left after the readiness checks.
constexpr std::chrono::milliseconds kShortIdleTime{ 200 };
constexpr std::chrono::milliseconds kShortCloseTime{ 100 };
/// From the end of the last request to the end of the process.
constexpr std::chrono::milliseconds kExitTime{ 800 };
/// From the last deadline of a request to the end of its answer.
constexpr std::chrono::milliseconds kAnswerTime{ 150 };

/// A node has thousands of peers, but few of them send at the same time.
constexpr std::size_t kMaxConnections = 4096;

/// The head of a request grows by this between nodes.
constexpr std::uint32_t kNodeHeaderBytes = 4096;

/// Readiness and announcements come from this host, one call at a time.
constexpr std::size_t kMaxHostConnections = 64;
constexpr std::uint64_t kMaxHostBodyBytes = 64ULL * 1024;

transport::HttpServerOptions
HostCallOptions()
{
  transport::HttpServerOptions options;
  options.countsRequests = false;
  options.maxConnections = kMaxHostConnections;
  options.maxBodyBytes = kMaxHostBodyBytes;
  return options;
}

KeyRule
MakeKeyRule(const Settings& aSettings)
{
  return { aSettings.revokesStrictly ? state::Duration(aSettings.revokeBound)
                                     : state::Duration{ 0 } };
}

} // namespace

DataPlane::DataPlane(const Settings& aSettings,
                     const Adapters& aAdapters,
                     const Clock& aClock,
                     std::uint64_t aIncarnation,
                     ChangeSink aChangeSink,
                     DepartureSaver::Sink aDepartureSink,
                     CrashSink aCrashSink,
                     VersionExchange::Sink aVersionSink,
                     ReaderExchange::Sink aReaderSink,
                     ChangesExchange::Sink aChangesSink,
                     RolloutExchange::Sink aRolloutSink,
                     coordination::CallMetrics& aCallMetrics)
  : settings_(aSettings)
  , adapters_(aAdapters)
  , clock_(aClock)
  , changeSink_(std::move(aChangeSink))
  , link_(std::make_shared<OutgoingLink>(context_,
                                         aClock,
                                         LinkBytesPerSecond(settings_)))
  , versions_(aClock,
              MakeKeyRule(settings_),
              std::move(aVersionSink),
              { settings_.exposureShare },
              std::move(aRolloutSink))
  , departures_(context_, std::move(aDepartureSink))
  , replicator_(context_, settings_, aIncarnation, departures_)
  , readers_(context_, std::move(aReaderSink))
  , changes_(context_, aClock, versions_, std::move(aChangesSink))
  , quotas_(context_, settings_, aClock, aIncarnation)
  , upstreamSide_(context_,
                  settings_,
                  adapters_,
                  aClock,
                  aIncarnation,
                  changeSink_,
                  departures_,
                  replicator_,
                  std::move(aCrashSink),
                  aCallMetrics,
                  link_,
                  versions_)
  , callerSide_(context_,
                settings_,
                adapters_,
                aClock,
                aIncarnation,
                upstreamSide_,
                versions_,
                quotas_,
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
  if (settings_.environment == Environment::Standalone) {
    // On the platform the callers are on this host.
    options.pacing = link_->Pacing();
  }
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
  auto nodeOptions = options;
  nodeOptions.maxHeaderBytes += kNodeHeaderBytes;
  nodeOptions.pacing = link_->Pacing();
  nodeOptions.admitBody = [this](const Request& aHead) {
    return upstreamSide_.AdmitBody(aHead);
  };
  auto nodeServer = transport::HttpServer::Listen(
    context_,
    settings_.dataAddress,
    transport::HttpServer::CancellableHandler(
      [this](Request aRequest, transport::CancellationPointer aCancellation) {
        return ServeNode(std::move(aRequest), std::move(aCancellation));
      }),
    nodeOptions);
  if (!nodeServer) {
    return tl::make_unexpected(nodeServer.error());
  }
  callerServer_ = std::move(*callerServer);
  nodeServer_ = std::move(*nodeServer);
  if (auto started = StartPlatformServers(); !started) {
    return started;
  }
  upstreamSide_.Start();
  thread_ = std::thread([this] { context_.run(); });
  return {};
}

tl::expected<void, transport::TransportError>
DataPlane::StartPlatformServers()
{
  if (!settings_.readyAddress.empty()) {
    auto server = transport::HttpServer::Listen(
      context_,
      settings_.readyAddress,
      [this](Request aRequest) { return AnswerReady(std::move(aRequest)); },
      HostCallOptions());
    if (!server) {
      return tl::make_unexpected(server.error());
    }
    readyServer_ = std::move(*server);
  }
  if (upstreamSide_.Announced() != nullptr) {
    auto server = transport::HttpServer::Listen(
      context_,
      settings_.announcementAddress,
      [this](Request aRequest) {
        return upstreamSide_.Announced()->Serve(std::move(aRequest));
      },
      HostCallOptions());
    if (!server) {
      return tl::make_unexpected(server.error());
    }
    announcementServer_ = std::move(*server);
  }
  return {};
}

asio::awaitable<Response>
DataPlane::ServeNode(Request aRequest,
                     transport::CancellationPointer aCancellation)
{
  const bool mayWait = IsNodeCall(aRequest, protocol::headers::kReaderWaitPath);
  if (mayWait || IsNodeCall(aRequest, protocol::headers::kReaderPath)) {
    return readers_.Serve(
      std::move(aRequest), mayWait, std::move(aCancellation));
  }
  if (IsNodeCall(aRequest, protocol::headers::kChangesPath)) {
    return ServeChanges(std::move(aRequest));
  }
  if (IsNodeCall(aRequest, protocol::headers::kCreditPath)) {
    return ServeCredit(std::move(aRequest));
  }
  return upstreamSide_.ServeNode(std::move(aRequest), std::move(aCancellation));
}

asio::awaitable<Response>
DataPlane::ServeChanges(Request aRequest)
{
  co_return changes_.Serve(aRequest);
}

asio::awaitable<Response>
DataPlane::ServeCredit(Request aRequest)
{
  co_return quotas_.Serve(aRequest);
}

asio::awaitable<Response>
DataPlane::AnswerReady(Request aRequest)
{
  const auto target = aRequest.target();
  const std::string_view path(target.data(), target.size());
  Response response;
  if (path != settings_.readyPath) {
    response.result(boost::beast::http::status::not_found);
  } else if (isStopping_ || !callerSide_.IsConfigured()) {
    response.result(boost::beast::http::status::service_unavailable);
    response.body() = isStopping_ ? "stopping\n" : "no configuration yet\n";
  } else {
    response.body() = "ready\n";
  }
  co_return response;
}

void
DataPlane::SetSnapshot(RoutingSnapshotPointer aSnapshot)
{
  asio::post(context_, [this, snapshot = std::move(aSnapshot)]() mutable {
    UseLimits(snapshot);
    if (snapshot->configuration != nullptr) {
      versions_.SetOwn(snapshot->configuration->GetGeneration());
    }
    versions_.Rollouts().Gate().SetEndpoints(snapshot->endpoints, clock_.Now());
    replicator_.SetSnapshot(snapshot);
    quotas_.SetSnapshot(snapshot);
    callerSide_.SetSnapshot(std::move(snapshot));
  });
}

void
DataPlane::UseLimits(const RoutingSnapshotPointer& aSnapshot)
{
  if (aSnapshot->configuration == nullptr ||
      !aSnapshot->configuration->Limits() ||
      aSnapshot->configuration->Limits() == limits_) {
    return;
  }
  limits_ = aSnapshot->configuration->Limits();
  callerServer_->SetLimits(limits_->maxHeaderBytes,
                           limits_->maxBodyBytes,
                           limits_->headerTimeout,
                           limits_->idleTimeout);
  // Nodes pass on what callers may send, and use kept connections as they like.
  const transport::HttpServerOptions usual;
  nodeServer_->SetLimits(
    std::max(usual.maxHeaderBytes, limits_->maxHeaderBytes) + kNodeHeaderBytes,
    std::max(usual.maxBodyBytes, limits_->maxBodyBytes),
    usual.headerTimeout,
    usual.idleTimeout);
}

void
DataPlane::OnDepartureSaved(std::uint64_t aSaveNumber)
{
  asio::post(context_,
             [this, aSaveNumber] { departures_.OnSaved(aSaveNumber); });
}

void
DataPlane::RestoreUpstream(coordination::RestoreUpstream aRestored)
{
  asio::post(context_, [this, restored = std::move(aRestored)] {
    if (auto* announced = upstreamSide_.Announced()) {
      announced->Restore(restored);
    }
  });
}

void
DataPlane::AskReader(coordination::AskReader aQuestion)
{
  asio::post(context_, [this, question = std::move(aQuestion)] {
    readers_.Ask(question);
  });
}

void
DataPlane::SetReaderRole(ReaderRole aRole)
{
  asio::post(context_, [this, aRole] { readers_.SetRole(aRole); });
}

void
DataPlane::AskChanges(coordination::AskChanges aQuestion)
{
  asio::post(context_, [this, question = std::move(aQuestion)] {
    changes_.Ask(question);
  });
}

void
DataPlane::SetRecentChanges(coordination::SetRecentChanges aChanges)
{
  asio::post(context_, [this, changes = std::move(aChanges)]() mutable {
    changes_.Set(std::move(changes.changes));
  });
}

void
DataPlane::OnAttested(const Attestation& aAttestation)
{
  asio::post(context_, [this, aAttestation] { versions_.Add(aAttestation); });
}

void
DataPlane::OnChecked(state::Instant aTime)
{
  asio::post(context_, [this, aTime] { versions_.AddCheck(aTime); });
}

void
DataPlane::TakeSettings(const Settings& aSettings)
{
  // Not used on the data thread.
  settings_.drainTimeout = aSettings.drainTimeout;
  asio::post(context_, [this, settings = aSettings] {
    settings_.retryRatio = settings.retryRatio;
    settings_.retrySlack = settings.retrySlack;
    settings_.retryWindow = settings.retryWindow;
    settings_.upstreamDrain = settings.upstreamDrain;
    settings_.quotaWindow = settings.quotaWindow;
    settings_.quotaOverage = settings.quotaOverage;
    settings_.quotaSlack = settings.quotaSlack;
    callerSide_.OnSettings();
    quotas_.OnSettings();
    if (auto* announced = upstreamSide_.Announced()) {
      announced->OnSettings(settings_);
    }
  });
}

void
DataPlane::SetRollouts(coordination::SetRollouts aRollouts)
{
  asio::post(context_, [this, rollouts = std::move(aRollouts)] {
    versions_.Rollouts().Set(rollouts.rollouts);
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
  const auto start = Clock::Steady::now();
  const auto callsInFlight = [this] {
    return callerSide_.InFlight() + upstreamSide_.InFlight();
  };
  const auto connections = [this] {
    return callerServer_->Connections() + nodeServer_->Connections();
  };
  const auto atStart = OnDataThread(callsInFlight);
  const bool isOnPlatform = adapters_.IsAnnounced();
  // The platform kills what runs longer, so the limit covers everything.
  const auto deadline =
    start + settings_.drainTimeout - (isOnPlatform ? kExitTime : kExitTime * 0);
  asio::post(context_, [this, deadline, isOnPlatform] {
    isStopping_ = true;
    readers_.Stop();
    quotas_.Leave();
    if (isOnPlatform) {
      const auto left = deadline - kAnswerTime - Clock::Steady::now();
      callerSide_.SetStopTime(
        clock_.Now() + std::chrono::duration_cast<state::Duration>(left));
    }
    if (!adapters_.IsAnnounced()) {
      upstreamSide_.Drain();
    }
    callerServer_->CloseAfterAnswers();
    nodeServer_->CloseAfterAnswers();
  });
  // Callers' requests are still served while the announcement spreads.
  std::this_thread::sleep_for(kAnnouncementTime);
  asio::post(context_, [this] {
    if (adapters_.IsAnnounced()) {
      // The platform stops sending callers here only after two failed checks,
      // so this node's upstream is useful until then.
      upstreamSide_.Drain();
    }
  });
  if (adapters_.IsAnnounced()) {
    std::this_thread::sleep_for(kReadyChecksTime - kAnnouncementTime);
  }
  asio::post(context_, [this] { callerSide_.Drain(); });
  const auto whenRefusing = OnDataThread(callsInFlight);
  WaitUntil(deadline, [callsInFlight] { return callsInFlight() == 0; });
  const auto openAtEnd = OnDataThread(connections);
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
  const auto noneOpen = [connections] { return connections() == 0; };
  const auto idleTime = isOnPlatform ? kShortIdleTime : kIdleTime;
  WaitUntil(Clock::Steady::now() + idleTime, noneOpen);
  asio::post(context_, [this] {
    callerServer_->EndIdle();
    nodeServer_->EndIdle();
  });
  const auto closeTime = isOnPlatform ? kShortCloseTime : kCloseTime;
  WaitUntil(Clock::Steady::now() + closeTime, noneOpen);
  // Requests that came on the last connections.
  WaitUntil(deadline, [inFlight] { return inFlight() == 0; });
  // Answers still go out until here.
  const auto brokenOff = OnDataThread([this, callsInFlight] {
    callerSide_.LogBrokenOff();
    upstreamSide_.LogBrokenOff();
    return callsInFlight();
  });
  spdlog::info(
    "[node] Drained. in_flight_at_start={} in_flight_when_refusing={} "
    "broken_off={} connections_at_end={} connections_left={} milliseconds={}",
    atStart,
    whenRefusing,
    brokenOff,
    openAtEnd,
    OnDataThread(connections),
    std::chrono::duration_cast<std::chrono::milliseconds>(Clock::Steady::now() -
                                                          start)
      .count());
  if (!adapters_.IsAnnounced()) {
    changeSink_({ state::EndpointState::Gone });
  }
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
