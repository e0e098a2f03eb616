#include "Coordination/UpstreamHealth.h"

#include <algorithm>
#include <cmath>

namespace teaselhold::coordination {

namespace {

constexpr state::Duration kFirstEjection = std::chrono::seconds(1);
constexpr unsigned kMaxDoublings = 5;
/// An upstream that refused a request as draining or starting is avoided for
/// this time; the announcement of its new state arrives within it.
constexpr state::Duration kRefusalPause = std::chrono::milliseconds(500);
/// An upstream that refused a request because of load is avoided for this time.
/// A full upstream of 12 slots frees one in about 20 ms.
constexpr state::Duration kOverloadPause = std::chrono::milliseconds(20);
/// Timeouts or broken responses before an ejection. A single one may be caused
/// by the request itself.
constexpr unsigned kSoftFailureLimit = 2;
/// Consecutive responses with status 500 or above before an ejection.
constexpr unsigned kServerErrorLimit = 5;
constexpr unsigned kFirstServerError = 500;
/// After this time a report says nothing about the load from other nodes.
constexpr state::Duration kReportLifetime = std::chrono::milliseconds(1500);
/// The reported failure rate decays with this half-life, so that an upstream
/// that gets no requests is tried again.
constexpr double kFailureHalfLifeSeconds = 1.5;
constexpr double kFailingRate = 0.2;
/// Weight of the newest sample in the smoothed round-trip time, and the
/// half-life with which that time decays.
constexpr double kNewestRoundTripWeight = 0.3;
constexpr double kRoundTripHalfLifeSeconds = 2;
/// The reported wait of large answers decays with this half-life.
constexpr double kAnswerWaitHalfLifeSeconds = 1;
/// Weight of the failure rate relative to the service time in the cost of a
/// request.
constexpr double kFailureCostWeight = 4;
/// Assumed service time of an upstream that has reported none; its relative
/// cost is 1.
constexpr double kDefaultServiceSeconds = 0.1;
/// Upper bound of the random jitter, as a fraction of the ejection time.
constexpr double kMaxJitterFraction = 0.25;

} // namespace

UpstreamHealth::UpstreamHealth(std::uint64_t aIncarnation,
                               Pacing aPacing,
                               state::Instant aNow)
  : incarnation_(aIncarnation)
  , pacing_(aPacing)
{
  pace_.SetSlots(pacing_.slots);
  if (pacing_.isOn && pacing_.isNew) {
    pace_.Begin(pacing_.slots, aNow);
  }
}

bool
UpstreamHealth::IsEjected(state::Instant aNow) const
{
  return aNow < ejectedUntil_ || (ejections_ > 0 && trialInFlight_);
}

bool
UpstreamHealth::IsHalfOpen(state::Instant aNow) const
{
  return ejections_ > 0 && aNow >= ejectedUntil_;
}

double
UpstreamHealth::UsableSlots(std::uint32_t aSlots, state::Instant aNow) const
{
  auto slots = std::max<std::uint32_t>(aSlots, 1);
  if (!pacing_.isOn) {
    return slots;
  }
  slots = std::min(slots, pace_.Limit(aNow));
  const bool isReported =
    report_.slots > 0 && aNow - reportReceivedAt_ < kReportLifetime;
  return isReported ? std::min(slots, report_.slots) : slots;
}

void
UpstreamHealth::RecordLoadReport(const LoadReport& aReport, state::Instant aNow)
{
  report_ = aReport;
  reportReceivedAt_ = aNow;
  otherNodesRequests_ = aReport.outstandingRequests > inFlight_
                          ? aReport.outstandingRequests - inFlight_
                          : 0;
}

void
UpstreamHealth::RecordRoundTripTime(state::Duration aTime, state::Instant aNow)
{
  const auto known = RoundTripTime(aNow);
  const auto change = static_cast<double>((aTime - known).count());
  roundTripTime_ = known + state::Duration(static_cast<state::Duration::rep>(
                             change * kNewestRoundTripWeight));
  roundTripTimeUpdatedAt_ = aNow;
}

state::Duration
UpstreamHealth::RoundTripTime(state::Instant aNow) const
{
  const std::chrono::duration<double> age = aNow - roundTripTimeUpdatedAt_;
  const auto left = static_cast<double>(roundTripTime_.count()) *
                    std::exp2(-age.count() / kRoundTripHalfLifeSeconds);
  return state::Duration(static_cast<state::Duration::rep>(left));
}

state::Duration
UpstreamHealth::BodyWait(state::Instant aNow) const
{
  return std::max(report_.bodyWait - (aNow - reportReceivedAt_),
                  state::Duration{ 0 });
}

state::Duration
UpstreamHealth::AnswerWait(state::Instant aNow) const
{
  // Links stay full while downloads keep coming, so the wait does not simply
  // pass with time.
  const std::chrono::duration<double> age = aNow - reportReceivedAt_;
  const auto left = static_cast<double>(report_.answerWait.count()) *
                    std::exp2(-age.count() / kAnswerWaitHalfLifeSeconds);
  return state::Duration(static_cast<state::Duration::rep>(left));
}

double
UpstreamHealth::OutstandingRequests(state::Instant aNow) const
{
  const auto age = aNow - reportReceivedAt_;
  if (otherNodesRequests_ == 0 || age >= kReportLifetime) {
    return inFlight_;
  }
  const double fresh = 1 - static_cast<double>(age.count()) /
                             static_cast<double>(kReportLifetime.count());
  return inFlight_ + otherNodesRequests_ * fresh;
}

double
UpstreamHealth::FailureRate(state::Instant aNow) const
{
  const std::chrono::duration<double> age = aNow - reportReceivedAt_;
  return report_.failureRate *
         std::exp2(-age.count() / kFailureHalfLifeSeconds);
}

bool
UpstreamHealth::IsFailing(state::Instant aNow) const
{
  return report_.failureRate > kFailingRate && FailureRate(aNow) > kFailingRate;
}

double
UpstreamHealth::RelativeCost(state::Instant aNow) const
{
  const std::chrono::duration<double> service = report_.serviceTime;
  const double time =
    service.count() > 0 ? service.count() / kDefaultServiceSeconds : 1;
  return time * (1 + kFailureCostWeight * FailureRate(aNow));
}

void
UpstreamHealth::OnRequestStarted(state::Instant aNow)
{
  ++inFlight_;
  trialInFlight_ = trialInFlight_ || IsHalfOpen(aNow);
}

void
UpstreamHealth::RecordPace(const Outcome& aOutcome, state::Instant aNow)
{
  const auto* notRun = std::get_if<NotRun>(&aOutcome);
  if (notRun != nullptr && notRun->reason != NotRunReason::Shed) {
    // The upstream did not see the request.
    return;
  }
  const auto* answered = std::get_if<Answered>(&aOutcome);
  const bool isServed =
    answered != nullptr && answered->status < kFirstServerError;
  pace_.OnFinished({ report_.serviceTime, inFlight_, isServed }, aNow);
}

void
UpstreamHealth::OnRequestAbandoned()
{
  inFlight_ -= inFlight_ > 0 ? 1 : 0;
  trialInFlight_ = false;
}

bool
UpstreamHealth::OnRequestFinished(const Outcome& aOutcome,
                                  double aJitter,
                                  state::Instant aNow)
{
  RecordPace(aOutcome, aNow);
  OnRequestAbandoned();
  if (const auto* answered = std::get_if<Answered>(&aOutcome)) {
    return OnResponse(answered->status, aJitter, aNow);
  }
  if (const auto* notRun = std::get_if<NotRun>(&aOutcome)) {
    return OnNotRun(notRun->reason, aJitter, aNow);
  }
  return OnUnknown(std::get<Unknown>(aOutcome).reason, aJitter, aNow);
}

bool
UpstreamHealth::OnResponse(unsigned aStatus,
                           double aJitter,
                           state::Instant aNow)
{
  if (aStatus >= kFirstServerError) {
    ++serverErrors_;
    return serverErrors_ >= kServerErrorLimit &&
           EjectWithBackoff(aJitter, aNow);
  }
  serverErrors_ = 0;
  return Recover(aNow);
}

bool
UpstreamHealth::OnNotRun(NotRunReason aReason,
                         double aJitter,
                         state::Instant aNow)
{
  switch (aReason) {
    case NotRunReason::ConnectFailed:
    case NotRunReason::NeverArrived:
      return EjectWithBackoff(aJitter, aNow);
    case NotRunReason::Full:
    case NotRunReason::Shed:
      overloadedUntil_ = aNow + kOverloadPause;
      // The upstream responds, so the cause of its ejection is gone.
      return Recover(aNow);
    case NotRunReason::Starting:
    case NotRunReason::Draining:
    case NotRunReason::NotReady:
    case NotRunReason::WrongExecutor:
    case NotRunReason::WrongService:
      return Eject(kRefusalPause, aNow);
    default:
      // The refusal concerns the request and not the upstream.
      return Recover(aNow);
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
      return EjectWithBackoff(aJitter, aNow);
    case UnknownReason::Timeout:
    case UnknownReason::PartialAnswer:
    case UnknownReason::CrossedAnswer:
      ++softFailures_;
      return (softFailures_ >= kSoftFailureLimit || ejections_ > 0) &&
             EjectWithBackoff(aJitter, aNow);
    case UnknownReason::ExecutorGone:
      return Eject(kRefusalPause, aNow);
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
UpstreamHealth::EjectWithBackoff(double aJitter, state::Instant aNow)
{
  // Concurrent requests fail together; their failures count as one.
  if (aNow < ejectedUntil_) {
    return false;
  }
  const auto base =
    kFirstEjection * (1U << std::min(ejections_, kMaxDoublings));
  const auto jitter = static_cast<state::Duration::rep>(
    static_cast<double>(base.count()) * kMaxJitterFraction * aJitter);
  ++ejections_;
  return Eject(base + state::Duration(jitter), aNow);
}

bool
UpstreamHealth::Recover(state::Instant aNow)
{
  softFailures_ = 0;
  if (ejections_ == 0) {
    // A pause after a refusal is not cut short, because requests that were
    // sent before it may still succeed.
    return false;
  }
  ejections_ = 0;
  ejectedUntil_ = state::Instant{ 0 };
  if (pacing_.isOn) {
    pace_.Begin(pacing_.slots, aNow);
  }
  return true;
}

} // namespace teaselhold::coordination
