#pragma once

#include "Services/teaselholdd/CallerSide.h"
#include "Services/teaselholdd/ChangesExchange.h"
#include "Services/teaselholdd/ReaderExchange.h"
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
  using ChangeSink = AnnouncedUpstream::ChangeSink;
  using CrashSink = UpstreamLink::CrashSink;

  DataPlane(const Settings& aSettings,
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
            coordination::CallMetrics& aCallMetrics);
  ~DataPlane();

  tl::expected<void, transport::TransportError> Start();

  /// Takes a new snapshot. Safe on any thread.
  void SetSnapshot(coordination::RoutingSnapshotPointer aSnapshot);

  /// Take what the control plane knows of departures. Safe on any thread.
  void OnDepartureSaved(std::uint64_t aSaveNumber);
  void RestoreUpstream(coordination::RestoreUpstream aRestored);

  /// Safe on any thread.
  QuotaMetrics Quotas() const { return quotas_.Metrics(); }

  /// Exchange with other nodes who reads the configuration. Safe on any thread.
  void AskReader(coordination::AskReader aQuestion);
  void SetReaderRole(coordination::ReaderRole aRole);

  /// Exchange with other nodes the changes of the configuration. Safe on any
  /// thread.
  void AskChanges(coordination::AskChanges aQuestion);
  void SetRecentChanges(coordination::SetRecentChanges aChanges);

  /// Takes what a read of the store said. Safe on any thread.
  void OnAttested(const coordination::Attestation& aAttestation);

  /// Takes that this node checked the store. Safe on any thread.
  void OnChecked(state::Instant aTime);

  /// Takes what the control plane knows of roll-outs. Safe on any thread.
  void SetRollouts(coordination::SetRollouts aRollouts);

  /// Takes the settings that a running process can take. Must be called on the
  /// thread that calls DrainAndStop.
  void TakeSettings(const Settings& aSettings);

  /// Announces draining, finishes the requests in flight, then stops. Returns
  /// after the settings' drain timeout at the latest.
  void DrainAndStop();

private:
  tl::expected<void, transport::TransportError> StartPlatformServers();
  Awaitable<Response> AnswerReady(Request aRequest);
  Awaitable<Response> ServeNode(Request aRequest,
                                transport::CancellationPointer aCancellation);
  Awaitable<Response> ServeChanges(Request aRequest);
  Awaitable<Response> ServeCredit(Request aRequest);
  void UseLimits(const coordination::RoutingSnapshotPointer& aSnapshot);

  /// Runs a function on the data thread and waits for its result.
  template<typename Function>
  auto OnDataThread(Function aFunction);

  /// Waits until a condition holds on the data thread.
  /// @return false if it does not hold before the deadline.
  bool WaitUntil(Clock::Steady::time_point aDeadline,
                 const std::function<bool()>& aCondition);

  Settings settings_;
  Adapters adapters_;
  const Clock& clock_;
  ChangeSink changeSink_;
  boost::asio::io_context context_{ 1 };
  std::shared_ptr<OutgoingLink> link_;
  VersionExchange versions_;
  DepartureSaver departures_;
  DepartureReplicator replicator_;
  ReaderExchange readers_;
  ChangesExchange changes_;
  QuotaExchange quotas_;
  UpstreamSide upstreamSide_;
  CallerSide callerSide_;
  std::unique_ptr<transport::HttpServer> callerServer_;
  std::unique_ptr<transport::HttpServer> nodeServer_;
  std::unique_ptr<transport::HttpServer> readyServer_;
  std::unique_ptr<transport::HttpServer> announcementServer_;
  bool isStopping_ = false;
  std::optional<state::ClientLimits> limits_;
  std::thread thread_;
};

} // namespace teaselhold::daemon
