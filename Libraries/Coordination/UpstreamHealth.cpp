#include "Coordination/UpstreamHealth.h"

#include <algorithm>
#include <cmath>

namespace teaselhold::coordination {

namespace {

constexpr state::Duration kColdStart = std::chrono::seconds(10);
constexpr double kColdSlots = 2;
constexpr state::Duration kFirstEjection = std::chrono::seconds(1);
constexpr unsigned kMaxDoublings = 5;
/// An upstream that refused a request as draining or starting is avoided for
/// this time; the announcement of its new state arrives within it.
constexpr state::Duration kRefusedPause = std::chrono::milliseconds(500);
/// An upstream that refused a request because of load is avoided for this time.
/// A full upstream of 12 slots frees one in about 20 ms.
constexpr state::Duration kLoadedPause = std::chrono::milliseconds(20);
/// Timeouts or broken responses before an ejection. A single one may be caused
/// by the request itself.
constexpr unsigned kSlowFailureLimit = 2;
/// Consecutive responses with status 500 or above before an ejection.
constexpr unsigned kServerErrorLimit = 5;
constexpr unsigned kFirstServerError = 500;
/// After this time a report says nothing about the load from other nodes.
constexpr state::Duration kReportLife = std::chrono::milliseconds(1500);
/// The reported failure rate decays with this half-life, so that an upstream
/// that gets no requests is tried again.
constexpr double kFailureHalfLifeSeconds = 1.5;
constexpr double kFailingShare = 0.2;
/// Weight of the newest sample in the smoothed round-trip time, and the
/// half-life with which that time decays.
constexpr double kNewTravelWeight = 0.3;
constexpr double kTravelHalfLifeSeconds = 2;
/// Weight of the failure rate relative to the service time in the cost of a
/// request.
constexpr double kFailureCost = 4;
/// Assumed service time of an upstream that has reported none; its relative
/// cost is 1.
constexpr double kUnknownServiceSeconds = 0.1;
/// Upper bound of the random jitter, as a fraction of the ejection time.
constexpr double kJitterShare = 0.25;

} // namespace

UpstreamHealth::UpstreamHealth(std::uint64_t aIncarnation,
                               bool aWarm,
                               state::Instant aNow)
  : incarnation_(aIncarnation)
  , warm_(aWarm)
  , firstSeen_(aNow)
{
}

bool
UpstreamHealth::IsEjected(state::Instant aNow) const
{
  return aNow < ejectedUntil_ || (ejections_ > 0 && trialRunning_);
}

bool
UpstreamHealth::IsHalfOpen(state::Instant aNow) const
{
  return ejections_ > 0 && aNow >= ejectedUntil_;
}

double
UpstreamHealth::UsableSlots(std::uint32_t aSlots, state::Instant aNow) const
{
  const double full = std::max<std::uint32_t>(aSlots, 1);
  const auto age = aNow - firstSeen_;
  if (warm_ || age >= kColdStart || full <= kColdSlots) {
    return full;
  }
  const double share =
    static_cast<double>(age.count()) / static_cast<double>(kColdStart.count());
  return kColdSlots + (full - kColdSlots) * share;
}

void
UpstreamHealth::TakeReport(const LoadReport& aReport, state::Instant aNow)
{
  report_ = aReport;
  reported_ = aNow;
  others_ = aReport.occupied > inFlight_ ? aReport.occupied - inFlight_ : 0;
}

void
UpstreamHealth::TakeTravelTime(state::Duration aTime, state::Instant aNow)
{
  const auto known = TravelTime(aNow);
  const auto change = static_cast<double>((aTime - known).count());
  travelTime_ = known + state::Duration(static_cast<state::Duration::rep>(
                          change * kNewTravelWeight));
  travelled_ = aNow;
}

state::Duration
UpstreamHealth::TravelTime(state::Instant aNow) const
{
  const std::chrono::duration<double> age = aNow - travelled_;
  const auto left = static_cast<double>(travelTime_.count()) *
                    std::exp2(-age.count() / kTravelHalfLifeSeconds);
  return state::Duration(static_cast<state::Duration::rep>(left));
}

state::Duration
UpstreamHealth::BodyWait(state::Instant aNow) const
{
  return std::max(report_.bodyWait - (aNow - reported_), state::Duration{ 0 });
}

double
UpstreamHealth::Occupied(state::Instant aNow) const
{
  const auto age = aNow - reported_;
  if (others_ == 0 || age >= kReportLife) {
    return inFlight_;
  }
  const double fresh = 1 - static_cast<double>(age.count()) /
                             static_cast<double>(kReportLife.count());
  return inFlight_ + others_ * fresh;
}

double
UpstreamHealth::FailureShare(state::Instant aNow) const
{
  const std::chrono::duration<double> age = aNow - reported_;
  return report_.failureShare *
         std::exp2(-age.count() / kFailureHalfLifeSeconds);
}

bool
UpstreamHealth::IsFailing(state::Instant aNow) const
{
  return report_.failureShare > kFailingShare &&
         FailureShare(aNow) > kFailingShare;
}

double
UpstreamHealth::Cost(state::Instant aNow) const
{
  const std::chrono::duration<double> service = report_.serviceTime;
  const double time =
    service.count() > 0 ? service.count() / kUnknownServiceSeconds : 1;
  return time * (1 + kFailureCost * FailureShare(aNow));
}

void
UpstreamHealth::Begin(state::Instant aNow)
{
  ++inFlight_;
  trialRunning_ = trialRunning_ || IsHalfOpen(aNow);
}

void
UpstreamHealth::Abandon()
{
  inFlight_ -= inFlight_ > 0 ? 1 : 0;
  trialRunning_ = false;
}

bool
UpstreamHealth::End(const Outcome& aOutcome,
                    double aJitter,
                    state::Instant aNow)
{
  Abandon();
  if (const auto* answered = std::get_if<Answered>(&aOutcome)) {
    return OnAnswer(answered->status, aJitter, aNow);
  }
  if (const auto* notRun = std::get_if<NotRun>(&aOutcome)) {
    return OnNotRun(notRun->reason, aJitter, aNow);
  }
  return OnUnknown(std::get<Unknown>(aOutcome).reason, aJitter, aNow);
}

bool
UpstreamHealth::OnAnswer(unsigned aStatus, double aJitter, state::Instant aNow)
{
  if (aStatus >= kFirstServerError) {
    ++serverErrors_;
    return serverErrors_ >= kServerErrorLimit && EjectLonger(aJitter, aNow);
  }
  serverErrors_ = 0;
  return Recover();
}

bool
UpstreamHealth::OnNotRun(NotRunReason aReason,
                         double aJitter,
                         state::Instant aNow)
{
  switch (aReason) {
    case NotRunReason::ConnectFailed:
    case NotRunReason::NeverArrived:
      return EjectLonger(aJitter, aNow);
    case NotRunReason::Full:
    case NotRunReason::Shed:
      loadedUntil_ = aNow + kLoadedPause;
      // The upstream responds, so the cause of its ejection is gone.
      return Recover();
    case NotRunReason::Starting:
    case NotRunReason::Draining:
    case NotRunReason::NotReady:
    case NotRunReason::WrongExecutor:
    case NotRunReason::WrongService:
      return Eject(kRefusedPause, aNow);
    default:
      // The refusal concerns the request and not the upstream.
      return Recover();
  }
}

bool
UpstreamHealth::OnUnknown(UnknownReason aReason,
                          double aJitter,
                          state::Instant aNow)
{
  switch (aReason) {
    case UnknownReason::ConnectionLost:
    case UnknownReason::UpstreamCrashed:
      return EjectLonger(aJitter, aNow);
    case UnknownReason::Timeout:
    case UnknownReason::PartialAnswer:
    case UnknownReason::CrossedAnswer:
      ++slowFailures_;
      return (slowFailures_ >= kSlowFailureLimit || ejections_ > 0) &&
             EjectLonger(aJitter, aNow);
    case UnknownReason::ExecutorGone:
      return Eject(kRefusedPause, aNow);
    case UnknownReason::Forgotten:
      break;
  }
  return false;
}

bool
UpstreamHealth::Eject(state::Duration aTime, state::Instant aNow)
{
  ejectedUntil_ = std::max(ejectedUntil_, aNow + aTime);
  return true;
}

bool
UpstreamHealth::EjectLonger(double aJitter, state::Instant aNow)
{
  // Concurrent requests fail together; their failures count as one.
  if (aNow < ejectedUntil_) {
    return false;
  }
  const auto base =
    kFirstEjection * (1U << std::min(ejections_, kMaxDoublings));
  const auto jitter = static_cast<state::Duration::rep>(
    static_cast<double>(base.count()) * kJitterShare * aJitter);
  ++ejections_;
  return Eject(base + state::Duration(jitter), aNow);
}

bool
UpstreamHealth::Recover()
{
  slowFailures_ = 0;
  if (ejections_ == 0) {
    // A pause after a refusal is not cut short, because requests that were
    // sent before it may still succeed.
    return false;
  }
  ejections_ = 0;
  ejectedUntil_ = state::Instant{ 0 };
  return true;
}

} // namespace teaselhold::coordination
