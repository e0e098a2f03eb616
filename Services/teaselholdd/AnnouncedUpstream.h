#pragma once

#include "Coordination/NodeEvents.h"
#include "Coordination/UpstreamRegistry.h"
#include "Protocol/UpstreamMessages.h"
#include "Services/teaselholdd/AdmissionQueue.h"
#include "Services/teaselholdd/DepartureReplicator.h"
#include "Services/teaselholdd/Settings.h"

#include <functional>
#include <map>

namespace teaselhold::daemon {

/// Takes the messages of the upstream beside this node and opens or closes
/// admission accordingly. The message that the upstream leaves is acknowledged
/// once the store or other nodes hold it, so that a restart of this node does
/// not forget it.
class AnnouncedUpstream
{
public:
  using ChangeSink = std::function<void(coordination::UpstreamChanged)>;

  AnnouncedUpstream(boost::asio::io_context& aContext,
                    const Settings& aSettings,
                    const Clock& aClock,
                    protocol::UpstreamMessageReader aReader,
                    std::shared_ptr<AdmissionQueue> aAdmission,
                    DepartureSaver& aSaver,
                    DepartureReplicator& aReplicator,
                    ChangeSink aChangeSink);

  /// Serves one message of the upstream.
  Awaitable<Response> Serve(Request aRequest);

  /// Starts to move the registry's time on.
  void Start();

  /// The settings have changed.
  void OnSettings(const Settings& aSettings);

  /// Takes departures that previous processes of this node acknowledged.
  void Restore(const coordination::RestoreUpstream& aRestored);

  /// Takes a departure that another node keeps for this one.
  void AddDeparture(const state::UpstreamIdentity& aUpstream);

  /// A connection to the upstream was refused, or another upstream answered.
  void MarkUnreachable();

  const state::UpstreamIdentity& Upstream() const
  {
    return registry_.Upstream();
  }

  /// Returns false while the upstream says that it is still slow after its
  /// start.
  bool IsWarm() const { return clock_.Now() >= warmTime_; }

  /// The node ends: its upstream gets no new work from now on.
  void Close();

private:
  void StartSaving();
  /// @return false if a restart would forget a departure.
  Awaitable<bool> SecureDepartures();
  Awaitable<void> Tick();
  void Apply();
  void LogMessage(const protocol::UpstreamMessage& aMessage,
                  coordination::AnnouncementVerdict aVerdict) const;

  boost::asio::io_context& context_;
  const Clock& clock_;
  protocol::UpstreamMessageReader reader_;
  std::shared_ptr<AdmissionQueue> admission_;
  DepartureSaver& saver_;
  DepartureReplicator& replicator_;
  ChangeSink changeSink_;
  std::string nodeName_;
  coordination::UpstreamRegistry registry_;
  /// The run that the admission's pace belongs to.
  state::UpstreamIdentity admittedRun_;
  /// Departures that neither the store nor other nodes may hold yet, by the
  /// saver's numbers.
  std::map<std::uint64_t, state::UpstreamIdentity> unsecured_;
  bool isClosed_ = false;
  state::Instant warmTime_{ 0 };
};

} // namespace teaselhold::daemon
