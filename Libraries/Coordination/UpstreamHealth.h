#pragma once

#include "Coordination/CallTypes.h"
#include "Coordination/LoadReport.h"
#include "Coordination/Pace/UpstreamPace.h"

namespace teaselhold::coordination {

/// Load and health of one incarnation of an upstream, as seen by this node in
/// its own requests and in the load reports of their responses.
class UpstreamHealth
{
public:
  /// The options of the pace at which an upstream gets requests.
  struct Pacing
  {
    /// An upstream that starts or recovers is paced.
    bool isOn = true;
    /// The upstream has just started; false if it ran before this node knew it.
    bool isNew = false;
    std::uint32_t slots = 1;
  };

  UpstreamHealth(std::uint64_t aIncarnation,
                 Pacing aPacing,
                 state::Instant aNow);

  std::uint64_t Incarnation() const { return incarnation_; }
  unsigned InFlight() const { return inFlight_; }

  /// An ejected upstream gets no requests. When the ejection time has passed,
  /// it gets one trial request at a time; the outcome decides whether it
  /// recovers, at the pace of its answers, or is ejected again.
  bool IsEjected(state::Instant aNow) const;
  bool IsHalfOpen(state::Instant aNow) const;
  state::Instant EjectedUntil() const { return ejectedUntil_; }

  /// @return true if the upstream recently refused a request because of load.
  bool IsOverloaded(state::Instant aNow) const
  {
    return aNow < overloadedUntil_;
  }

  /// @return the slots that this node may use, at least 1: the lower of the
  ///         pace that this node sees and of the slots that the last report of
  ///         the node beside the upstream names.
  double UsableSlots(std::uint32_t aSlots, state::Instant aNow) const;

  /// Records the load that the node beside the upstream reports. Must be called
  /// after OnRequestFinished() of the request whose response carried the
  /// report.
  void RecordLoadReport(const LoadReport& aReport, state::Instant aNow);

  /// Records the network round-trip time of a small request and its response,
  /// without the time that they spent at the node beside the upstream.
  void RecordRoundTripTime(state::Duration aTime, state::Instant aNow);

  /// @return the smoothed round-trip time. It decays while there are no new
  ///         samples, so that an upstream behind a congested link is tried
  ///         again.
  state::Duration RoundTripTime(state::Instant aNow) const;

  /// @return the estimated wait until a large body may be sent to the upstream.
  state::Duration BodyWait(state::Instant aNow) const;

  /// @return the estimated wait until the upstream's host may send a large
  ///         answer.
  state::Duration AnswerWait(state::Instant aNow) const;

  /// @return the estimated number of requests that run or wait at the upstream.
  double OutstandingRequests(state::Instant aNow) const;

  /// @return the relative cost of one more request, from its service time and
  ///         the failure rate; 1 if nothing is known.
  double RelativeCost(state::Instant aNow) const;

  /// @return the share of requests that the upstream refused or failed; it
  ///         decays while there are no reports.
  double FailureRate(state::Instant aNow) const;

  /// @return true if the failure rate is so high that other upstreams are
  ///         preferred.
  bool IsFailing(state::Instant aNow) const;

  /// @return the smoothed time that a request occupies a slot; 0 if unknown.
  state::Duration ServiceTime() const { return report_.serviceTime; }

  void OnRequestStarted(state::Instant aNow);

  /// @param aJitter between 0 and 1; spreads the trial requests of many nodes.
  /// @return true if the ejection changed.
  bool OnRequestFinished(const Outcome& aOutcome,
                         double aJitter,
                         state::Instant aNow);

  /// Ends a request whose result says nothing about the upstream's health.
  void OnRequestAbandoned();

private:
  bool Eject(state::Duration aTime, state::Instant aNow);
  bool EjectWithBackoff(double aJitter, state::Instant aNow);
  bool Recover(state::Instant aNow);
  bool OnResponse(unsigned aStatus, double aJitter, state::Instant aNow);
  bool OnNotRun(NotRunReason aReason, double aJitter, state::Instant aNow);
  void RecordPace(const Outcome& aOutcome, state::Instant aNow);
  bool OnUnknown(UnknownReason aReason, double aJitter, state::Instant aNow);

  std::uint64_t incarnation_;
  Pacing pacing_;
  bool trialInFlight_ = false;
  /// Of this node's own requests.
  UpstreamPace pace_;
  state::Instant ejectedUntil_{ 0 };
  state::Instant overloadedUntil_{ 0 };
  unsigned inFlight_ = 0;
  LoadReport report_;
  state::Duration roundTripTime_{ 0 };
  state::Instant roundTripTimeUpdatedAt_{ 0 };
  state::Instant reportReceivedAt_{ 0 };
  /// Requests of other nodes at the upstream at the time of the report.
  unsigned otherNodesRequests_ = 0;
  /// Ejections since the last recovery, without the pauses after refusals. Each
  /// one doubles the next ejection time, up to a limit.
  unsigned ejections_ = 0;
  unsigned softFailures_ = 0;
  unsigned serverErrors_ = 0;
};

} // namespace teaselhold::coordination
