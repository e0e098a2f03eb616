#pragma once

#include "Services/teaselholdd/Adapters.h"
#include "Services/teaselholdd/AnnouncedUpstream.h"
#include "Services/teaselholdd/AnsweredRequests.h"
#include "Services/teaselholdd/Clock.h"
#include "Services/teaselholdd/Exchange.h"
#include "Services/teaselholdd/Settings.h"
#include "Transport/HttpClientPool.h"

#include <functional>

namespace teaselhold::daemon {

/// Delivers requests to the upstream on this host, watches its health endpoint
/// and notices when it crashes.
class UpstreamLink
{
public:
  using StateSink = std::function<void(state::EndpointState)>;
  using CrashSink = std::function<void(std::uint64_t aFingerprint)>;

  /// @param aAnnounced nullptr if the upstream is probed.
  UpstreamLink(boost::asio::io_context& aContext,
               const Settings& aSettings,
               const Adapters& aAdapters,
               const Clock& aClock,
               AnnouncedUpstream* aAnnounced,
               StateSink aStateSink,
               CrashSink aCrashSink);

  /// Delivers an admitted request. The upstream gets the remaining time in a
  /// header; its connection is closed at the deadline and on cancellation. The
  /// request must outlive the call.
  Awaitable<Exchange> Deliver(Request& aRequest,
                              state::Instant aDeadline,
                              transport::CancellationPointer aCancellation);

  /// Probes the health endpoint until the process ends.
  Awaitable<void> Probe();

  /// Announces draining; the upstream's health no longer matters.
  void Drain() { SetState(state::EndpointState::Draining); }

private:
  enum class Health : std::uint8_t
  {
    Healthy,
    Unhealthy,
    /// The endpoint gave no answer in time, or no sensible one.
    Silent,
    Refused,
  };

  Awaitable<Health> AskHealth();
  void OnHealth(Health aHealth);
  Awaitable<Exchange> Fail(const Request& aRequest,
                           const transport::TransportError& aError);
  Awaitable<void> CheckAfterLoss(std::uint64_t aFingerprint);
  void MarkUnreachable();
  Exchange ReadAnswer(Response aAnswer);
  Awaitable<bool> HasCrashed();
  Awaitable<bool> IsRefusing();
  void ReportCrash(std::uint64_t aFingerprint);
  void RememberAnswer(const Request& aRequest);
  void SetState(state::EndpointState aState);

  boost::asio::io_context& context_;
  const Settings& settings_;
  const Adapters& adapters_;
  const Clock& clock_;
  AnnouncedUpstream* announced_;
  StateSink stateSink_;
  CrashSink crashSink_;
  transport::HttpClientPool pool_;
  state::EndpointState state_ = state::EndpointState::Starting;
  unsigned failedProbes_ = 0;
  state::Instant lastAnswer_{ 0 };
  AnsweredRequests answered_;
  /// Requests whose connection was lost and whose check is under way.
  std::vector<std::uint64_t> lost_;
};

} // namespace teaselhold::daemon
