#include "Coordination/Pace/UpstreamPace.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// Requests that a new upstream gets at first: enough to learn from.
constexpr double kFirstLimit = 2;
/// What failures leave of the limit.
constexpr double kShareAfterFailures = 0.5;
/// By how much more requests an upstream may fail than the others of its
/// service. A single failure is no sign.
constexpr double kFailureTolerance = 0.3;
/// Weight of the newest request in the smoothed service time. The requests of a
/// service differ, so one of them says little.
constexpr double kNewestWeight = 0.25;
/// Service times above this multiple of what the upstream has shown with fewer
/// requests, or of what the others show, grow with the limit.
constexpr double kCongestedFactor = 1.5;
/// Above this multiple of what the others show, a request is better off there.
constexpr double kSlowFactor = 2;
/// Without any answer that lowers or raises the limit, it rises by one in this
/// time, so that an upstream that gets little work is not held low.
constexpr state::Duration kIdleRise = std::chrono::milliseconds(500);

} // namespace

void
UpstreamPace::Begin(std::uint32_t aSlots, state::Instant aNow)
{
  slots_ = std::max<std::uint32_t>(aSlots, 1);
  limit_ = std::min<double>(kFirstLimit, slots_);
  isEnded_ = limit_ >= slots_;
  failureRate_ = 0;
  serviceTime_ = state::Duration{ 0 };
  lowestServiceTime_ = state::Duration{ 0 };
  loweredUntil_ = state::Instant{ 0 };
  changedAt_ = aNow;
}

std::uint32_t
UpstreamPace::Limit(state::Instant aNow) const
{
  if (isEnded_) {
    return std::max<std::uint32_t>(slots_, 1);
  }
  const auto idle = std::max(aNow - changedAt_, state::Duration{ 0 });
  const auto risen = static_cast<double>(idle / kIdleRise);
  const auto limit = std::clamp<double>(limit_ + risen, 1, slots_);
  return static_cast<std::uint32_t>(limit);
}

void
UpstreamPace::Learn(state::Duration aServiceTime)
{
  if (serviceTime_.count() == 0) {
    serviceTime_ = aServiceTime;
  }
  const auto difference =
    static_cast<double>((aServiceTime - serviceTime_).count());
  serviceTime_ += state::Duration(
    static_cast<state::Duration::rep>(difference * kNewestWeight));
  if (lowestServiceTime_.count() == 0 || serviceTime_ < lowestServiceTime_) {
    lowestServiceTime_ = serviceTime_;
  }
}

bool
UpstreamPace::IsFailing() const
{
  return failureRate_ > usualFailureRate_ + kFailureTolerance;
}

bool
UpstreamPace::IsCongested() const
{
  const auto usual = std::max(lowestServiceTime_, usual_);
  return static_cast<double>(serviceTime_.count()) >
         kCongestedFactor * static_cast<double>(usual.count());
}

bool
UpstreamPace::IsSlow() const
{
  return usual_.count() > 0 &&
         static_cast<double>(serviceTime_.count()) >
           kSlowFactor * static_cast<double>(usual_.count());
}

double
UpstreamPace::ShareThatIsCarried() const
{
  const auto usual = std::max(lowestServiceTime_, usual_);
  return static_cast<double>(usual.count()) /
         static_cast<double>(serviceTime_.count());
}

void
UpstreamPace::Lower(double aShare, state::Instant aNow)
{
  limit_ = std::max(1.0, Limit(aNow) * aShare);
  loweredUntil_ = aNow + std::max(serviceTime_, usual_);
  changedAt_ = aNow;
  // What was learnt belongs to the limit of before.
  serviceTime_ = state::Duration{ 0 };
  failureRate_ = 0;
}

void
UpstreamPace::OnFinished(const PaceSample& aSample, state::Instant aNow)
{
  // Requests that ran together fail and slow down together; that counts once.
  if (isEnded_ || aNow < loweredUntil_) {
    return;
  }
  failureRate_ += kNewestWeight * ((aSample.isServed ? 0 : 1) - failureRate_);
  if (IsFailing()) {
    Lower(kShareAfterFailures, aNow);
    return;
  }
  if (!aSample.isServed) {
    return;
  }
  Learn(aSample.serviceTime);
  if (IsCongested()) {
    Lower(ShareThatIsCarried(), aNow);
    return;
  }
  const auto limit = Limit(aNow);
  const bool isInUse = aSample.running >= limit;
  if (!isInUse || IsSlow()) {
    // Rises with time only.
    return;
  }
  limit_ = limit + 1;
  changedAt_ = aNow;
  isEnded_ = limit_ >= slots_;
}

} // namespace teaselhold::coordination
