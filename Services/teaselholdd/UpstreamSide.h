#pragma once

#include "Coordination/CallMetrics.h"
#include "Services/teaselholdd/AdmissionQueue.h"
#include "Services/teaselholdd/BodyQueue.h"
#include "Services/teaselholdd/KeyedRuns.h"
#include "Services/teaselholdd/OutgoingLink.h"
#include "Services/teaselholdd/RequestLines.h"
#include "Services/teaselholdd/UpstreamLink.h"
#include "Services/teaselholdd/VersionExchange.h"
#include "State/ArrivalLog.h"
#include "Transport/HttpServer.h"

#include <boost/intrusive/list.hpp>

namespace teaselhold::daemon {

/// The part beside the upstream: decides whether a request from a node is
/// delivered, delivers it and tells its outcome.
class UpstreamSide
{
public:
  UpstreamSide(boost::asio::io_context& aContext,
               const Settings& aSettings,
               const Adapters& aAdapters,
               const Clock& aClock,
               std::uint64_t aIncarnation,
               AnnouncedUpstream::ChangeSink aChangeSink,
               DepartureSaver& aDepartures,
               DepartureReplicator& aReplicator,
               UpstreamLink::CrashSink aCrashSink,
               coordination::CallMetrics& aCallMetrics,
               std::shared_ptr<OutgoingLink> aLink,
               VersionExchange& aVersions);

  /// Starts to probe the upstream, or to take its announcements.
  void Start();

  /// @return nullptr if the upstream is probed.
  AnnouncedUpstream* Announced() { return announced_.get(); }

  /// Serves a request from another node.
  Awaitable<Response> ServeNode(Request aRequest,
                                transport::CancellationPointer aCancellation);

  /// Decides whether another node may send the body of a request now.
  Awaitable<transport::BodyAdmission> AdmitBody(const Request& aHead);

  /// Serves a request that entered at this node, without a connection. The
  /// request must outlive the call; its headers are changed.
  Awaitable<Exchange> ServeLocal(Request& aRequest,
                                 transport::CancellationPointer aCancellation);

  /// Announces draining and refuses new work. Running and waiting requests
  /// finish.
  void Drain();

  /// Logs each request that is still in flight; the process ends without it.
  void LogBrokenOff() const;

  std::size_t InFlight() const { return admission_->InFlight(); }

  /// See Admission::SetUsual().
  void SetUsual(state::Duration aServiceTime, double aFailureRate)
  {
    admission_->SetUsual(aServiceTime, aFailureRate);
  }

  /// See AdmissionQueue::MayHaveMade().
  bool MayHaveMade(state::Instant aDeadline) const
  {
    return admission_->MayHaveMade(aDeadline);
  }

  /// Counts a message that this node sends on the link of its host.
  void RecordSent(std::uint64_t aBytes) { link_->RecordSent(aBytes); }

private:
  /// A request that has not ended yet; leaves its list on its own.
  struct Delivery
    : boost::intrusive::list_base_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
  {
    DeliveryStart start;
    state::Instant arrived;
  };
  using Deliveries =
    boost::intrusive::list<Delivery,
                           boost::intrusive::constant_time_size<false>>;
  using OptionalAdmission = std::optional<coordination::AdmissionRequest>;

  Awaitable<Exchange> Serve(Request& aRequest,
                            transport::CancellationPointer aCancellation);
  Awaitable<Exchange> Decide(Request& aRequest,
                             const OptionalAdmission& aAdmission,
                             transport::CancellationPointer aCancellation);
  DeliveryStart Describe(const Request& aRequest,
                         const OptionalAdmission& aAdmission) const;
  Response AnswerArrival(const Request& aRequest);
  Awaitable<Response> AnswerDeparture(const Request& aRequest);
  std::optional<coordination::Outcome> CheckArrival(const Request& aRequest);
  Awaitable<Exchange> RunKeyed(
    Request& aRequest,
    const coordination::AdmissionRequest& aAdmission);
  Awaitable<Exchange> Run(Request& aRequest,
                          const coordination::AdmissionRequest& aAdmission,
                          transport::CancellationPointer aCancellation);
  void AddReport(Exchange& aExchange, state::Instant aArrived) const;
  void Learn(const coordination::Outcome& aOutcome,
             state::Duration aServiceTime);
  OptionalAdmission ReadAdmission(const Request& aRequest);

  boost::asio::io_context& context_;
  const Settings& settings_;
  const Adapters& adapters_;
  const Clock& clock_;
  std::uint64_t incarnation_;
  coordination::CallMetrics& callMetrics_;
  state::ArrivalLog arrivals_;
  KeyedRuns keyedRuns_;
  std::shared_ptr<AdmissionQueue> admission_;
  std::shared_ptr<BodyQueue> bodies_;
  std::shared_ptr<OutgoingLink> link_;
  VersionExchange& versions_;
  DepartureReplicator& replicator_;
  std::unique_ptr<AnnouncedUpstream> announced_;
  UpstreamLink upstream_;
  std::uint64_t nextRequest_ = 1;
  /// Shared with the requests, which may outlive this object at shutdown.
  std::shared_ptr<Deliveries> deliveries_ = std::make_shared<Deliveries>();
};

} // namespace teaselhold::daemon
