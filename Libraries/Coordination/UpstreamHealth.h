#pragma once

#include "Coordination/CallTypes.h"
#include "Coordination/LoadReport.h"

namespace teaselhold::coordination {

/// Load and health of one incarnation of an upstream, as this node observed
/// them in its own requests.
class UpstreamHealth
{
public:
  /// @param aWarm false if the incarnation is new and starts with a small,
  ///        growing share of the requests.
  UpstreamHealth(std::uint64_t aIncarnation, bool aWarm, state::Instant aNow);

  std::uint64_t Incarnation() const { return incarnation_; }
  unsigned InFlight() const { return inFlight_; }

  /// An ejected upstream gets no requests. When the ejection time has passed,
  /// it gets one trial request at a time; the outcome decides whether it
  /// recovers or is ejected again.
  bool IsEjected(state::Instant aNow) const;
  bool IsHalfOpen(state::Instant aNow) const;
  state::Instant EjectedUntil() const { return ejectedUntil_; }

  /// @return true if the upstream recently refused a request because of load.
  bool IsLoaded(state::Instant aNow) const { return aNow < loadedUntil_; }

  /// @return the slots that this node may use, at least 1. The number grows to
  ///         aSlots during the slow start of a new incarnation.
  double UsableSlots(std::uint32_t aSlots, state::Instant aNow) const;

  /// Records the load that the node beside the upstream reports. Must be called
  /// after End() of the request whose response carried the report.
  void TakeReport(const LoadReport& aReport, state::Instant aNow);

  /// Records the network round-trip time of a small request and its response,
  /// without the time that they spent at the node beside the upstream.
  void TakeTravelTime(state::Duration aTime, state::Instant aNow);

  /// @return the smoothed round-trip time. It decays while there are no new
  ///         samples, so that an upstream behind a congested link is tried
  ///         again.
  state::Duration TravelTime(state::Instant aNow) const;

  /// @return the estimated wait until a large body may be sent to the upstream.
  state::Duration BodyWait(state::Instant aNow) const;

  /// @return the estimated number of requests that run or wait at the upstream.
  double Occupied(state::Instant aNow) const;

  /// @return the relative cost of one more request, from its service time and
  ///         the failure rate; 1 if nothing is known.
  double Cost(state::Instant aNow) const;

  /// @return true if the failure rate is so high that other upstreams are
  ///         preferred.
  bool IsFailing(state::Instant aNow) const;

  /// @return the smoothed time that a request occupies a slot; 0 if unknown.
  state::Duration ServiceTime() const { return report_.serviceTime; }

  void Begin(state::Instant aNow);

  /// @param aJitter between 0 and 1; spreads the trial requests of many nodes.
  /// @return true if the ejection changed.
  bool End(const Outcome& aOutcome, double aJitter, state::Instant aNow);

  /// Ends a request whose result says nothing about the upstream's health.
  void Abandon();

private:
  double FailureShare(state::Instant aNow) const;
  bool Eject(state::Duration aTime, state::Instant aNow);
  bool EjectLonger(double aJitter, state::Instant aNow);
  bool Recover();
  bool OnAnswer(unsigned aStatus, double aJitter, state::Instant aNow);
  bool OnNotRun(NotRunReason aReason, double aJitter, state::Instant aNow);
  bool OnUnknown(UnknownReason aReason, double aJitter, state::Instant aNow);

  std::uint64_t incarnation_;
  bool warm_;
  bool trialRunning_ = false;
  state::Instant firstSeen_;
  state::Instant ejectedUntil_{ 0 };
  state::Instant loadedUntil_{ 0 };
  unsigned inFlight_ = 0;
  LoadReport report_;
  state::Duration travelTime_{ 0 };
  state::Instant travelled_{ 0 };
  state::Instant reported_{ 0 };
  /// Requests of other nodes at the upstream at the time of the report.
  unsigned others_ = 0;
  /// Ejections since the last success; each one doubles the next ejection time.
  unsigned ejections_ = 0;
  unsigned slowFailures_ = 0;
  unsigned serverErrors_ = 0;
};

} // namespace teaselhold::coordination
