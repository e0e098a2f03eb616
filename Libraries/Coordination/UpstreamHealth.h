#pragma once

#include "Coordination/CallTypes.h"
#include "Coordination/LoadReport.h"

namespace teaselhold::coordination {

/// What this node itself saw of one incarnation of an upstream.
class UpstreamHealth
{
public:
  /// @param aWarm false if the incarnation is new, so that it gets a growing
  ///        share of the requests at first.
  UpstreamHealth(std::uint64_t aIncarnation, bool aWarm, state::Instant aNow);

  std::uint64_t Incarnation() const { return incarnation_; }
  unsigned InFlight() const { return inFlight_; }

  /// Ejected upstreams get no requests, except one at a time after the
  /// ejection ran out, which decides whether it is repeated.
  bool IsEjected(state::Instant aNow) const;
  bool IsHalfOpen(state::Instant aNow) const;
  state::Instant EjectedUntil() const { return ejectedUntil_; }

  /// It refused a request for load a moment ago.
  bool IsLoaded(state::Instant aNow) const { return aNow < loadedUntil_; }

  /// Slots that this node may use, at least 1; they grow to aSlots while the
  /// incarnation is new.
  double UsableSlots(std::uint32_t aSlots, state::Instant aNow) const;

  /// Takes what the node beside the upstream says of its load. Call it after
  /// End() of the request that brought the report.
  void TakeReport(const LoadReport& aReport, state::Instant aNow);

  /// Takes how long a small request and its answer were under way, without the
  /// time that the node beside the upstream had them.
  void TakeTravelTime(state::Duration aTime, state::Instant aNow);

  /// Smoothed time under way; it fades while nothing is measured, so that an
  /// upstream behind a busy link is tried again.
  state::Duration TravelTime(state::Instant aNow) const;

  /// Time until a large body may be sent there, as far as this node knows.
  state::Duration BodyWait(state::Instant aNow) const;

  /// Requests that run or wait there, as far as this node knows.
  double Occupied(state::Instant aNow) const;

  /// Relative cost of one more request: how long it holds a slot, and how
  /// likely it fails. 1 if nothing is known.
  double Cost(state::Instant aNow) const;

  /// The upstream fails so many requests that others are better.
  bool IsFailing(state::Instant aNow) const;

  /// Smoothed time that a request holds a slot; 0 if nothing is known.
  state::Duration ServiceTime() const { return report_.serviceTime; }

  void Begin(state::Instant aNow);

  /// @param aJitter between 0 and 1; spreads the retries of many nodes.
  /// @return true if the ejection changed.
  bool End(const Outcome& aOutcome, double aJitter, state::Instant aNow);

  /// The request ended without saying anything of the upstream.
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
  /// Requests of other nodes when the report was made.
  unsigned others_ = 0;
  /// Ejections since the last success; doubles the next one.
  unsigned ejections_ = 0;
  unsigned slowFailures_ = 0;
  unsigned serverErrors_ = 0;
};

} // namespace teaselhold::coordination
