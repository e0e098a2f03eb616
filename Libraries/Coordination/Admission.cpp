#include "Coordination/Admission.h"

#include <algorithm>
#include <limits>

namespace teaselhold::coordination {

namespace {

using state::EndpointState;
using state::RequestClass;

constexpr std::uint32_t kColdSlots = 2;
/// Time that a queued request must have left before its deadline to be worth
/// starting; a response that takes longer comes too late.
constexpr state::Duration kDeadlineMargin = std::chrono::milliseconds(10);
constexpr state::Duration kShortWait = std::chrono::milliseconds(100);
/// Bounds the wait of orders and checks, which may have no deadline.
constexpr state::Duration kLongWait = std::chrono::seconds(10);
/// One slot in four, rounded up, is reserved for requests other than uploads
/// and batches.
constexpr std::uint32_t kReservedShare = 4;
constexpr unsigned kShedStatus = 503;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kBadRequest = 400;
/// Weight of the newest request in the exponential moving averages.
constexpr double kNewWeight = 0.08;
/// Assumed until a request has been served.
constexpr state::Duration kFirstServiceTime = std::chrono::milliseconds(100);
/// Added to the longest wait of a request, because waits may exceed their
/// prediction.
constexpr state::Duration kWaitSlack = std::chrono::milliseconds(50);

bool
IsBulk(RequestClass aClass)
{
  return aClass >= RequestClass::Upload;
}

bool
IsUrgent(RequestClass aClass)
{
  return aClass <= RequestClass::Check;
}

state::Instant
LatestStart(const AdmissionRequest& aRequest, state::Instant aNow)
{
  if (aRequest.maxWait) {
    const auto wait = *aRequest.maxWait + *aRequest.maxWait / 2 + kWaitSlack;
    return std::min(aRequest.deadline - kDeadlineMargin, aNow + wait);
  }
  const auto wait = IsUrgent(aRequest.requestClass) ? kLongWait : kShortWait;
  return std::min(aRequest.deadline - kDeadlineMargin, aNow + wait);
}

} // namespace

Admission::Admission(std::uint32_t aSlots)
  : Admission(AdmissionOptions{ aSlots, 0, false })
{
}

Admission::Admission(AdmissionOptions aOptions)
  : options_(aOptions)
{
}

std::uint32_t
Admission::UsableSlots(state::Instant aNow) const
{
  const auto age = aNow - readySince_;
  if (options_.slots <= kColdSlots || age >= options_.coldStart) {
    return options_.slots;
  }
  const auto gained = (options_.slots - kColdSlots) *
                      std::max<state::Duration::rep>(age.count(), 0) /
                      options_.coldStart.count();
  return kColdSlots + static_cast<std::uint32_t>(gained);
}

std::size_t
Admission::QueueOf(const AdmissionRequest& aRequest)
{
  return aRequest.isFinalTry
           ? 0
           : 1 + static_cast<std::size_t>(aRequest.requestClass);
}

state::Duration
Admission::PredictedWait(std::size_t aQueue, state::Instant aNow) const
{
  std::size_t ahead = 0;
  for (std::size_t queue = 0; queue <= aQueue; ++queue) {
    ahead += queues_[queue].size();
  }
  const auto service =
    serviceTime_.count() > 0 ? serviceTime_ : kFirstServiceTime;
  return service * (ahead + 1) / std::max(UsableSlots(aNow), 1U);
}

bool
Admission::HasRoom(const AdmissionRequest& aRequest, state::Instant aNow) const
{
  const auto slots = UsableSlots(aNow);
  if (running_ >= slots) {
    return false;
  }
  const auto reserved =
    slots > 1 ? (slots + kReservedShare - 1) / kReservedShare : 0;
  return aRequest.isFinalTry || !IsBulk(aRequest.requestClass) ||
         bulkRunning_ < slots - reserved;
}

bool
Admission::IsOvertaking(std::size_t aQueue) const
{
  return std::any_of(queues_.begin(),
                     queues_.begin() + static_cast<long>(aQueue) + 1,
                     [](const Queue& aQueue) { return !aQueue.empty(); });
}

std::optional<NotRunReason>
Admission::Refusal(const AdmissionRequest& aRequest, state::Instant aNow) const
{
  if (state_ == EndpointState::Starting) {
    return NotRunReason::Starting;
  }
  if (state_ != EndpointState::Ready) {
    return NotRunReason::Draining;
  }
  if (aNow >= aRequest.deadline) {
    return NotRunReason::DeadlineExceeded;
  }
  const auto tenant = perTenant_.find(aRequest.tenant);
  if (aRequest.tenantLimit != 0 && tenant != perTenant_.end() &&
      tenant->second >= aRequest.tenantLimit) {
    return NotRunReason::TenantLimit;
  }
  return std::nullopt;
}

std::optional<NotRun>
Admission::Preview(const AdmissionRequest& aRequest, state::Instant aNow) const
{
  if (const auto reason = Refusal(aRequest, aNow)) {
    return NotRun{ *reason };
  }
  const auto predicted = PredictedWait(QueueOf(aRequest), aNow);
  const bool isTooLong = !HasRoom(aRequest, aNow) && aRequest.maxWait &&
                         predicted > *aRequest.maxWait;
  return isTooLong ? std::optional(NotRun{ NotRunReason::Full, predicted })
                   : std::nullopt;
}

AdmissionInputs
Admission::Inputs(const AdmissionRequest& aRequest, state::Instant aNow) const
{
  return {
    state_,   aNow - stateSince_, running_,
    waiting_, UsableSlots(aNow),  PredictedWait(QueueOf(aRequest), aNow)
  };
}

AdmissionDecision
Admission::Decide(const AdmissionRequest& aRequest, state::Instant aNow)
{
  if (const auto reason = Refusal(aRequest, aNow)) {
    return NotRun{ *reason };
  }
  if (HasRoom(aRequest, aNow) && !IsOvertaking(QueueOf(aRequest))) {
    Run(Add(aRequest));
    return Admit{};
  }
  return Enqueue(aRequest, aNow);
}

AdmissionDecision
Admission::Enqueue(const AdmissionRequest& aRequest, state::Instant aNow)
{
  const auto until = LatestStart(aRequest, aNow);
  const auto predicted = PredictedWait(QueueOf(aRequest), aNow);
  if (until <= aNow || (aRequest.maxWait && predicted > *aRequest.maxWait)) {
    return NotRun{ NotRunReason::Full, predicted };
  }
  Wait decision{ until, std::nullopt };
  if (waiting_ >= options_.queueLimit) {
    decision.displaced = Displace(QueueOf(aRequest));
    if (!decision.displaced) {
      return NotRun{ NotRunReason::Full, predicted };
    }
  }
  auto& entry = Add(aRequest);
  entry.until = until;
  queues_[QueueOf(aRequest)].push_back(entry);
  ++waiting_;
  return decision;
}

std::optional<std::uint64_t>
Admission::Displace(std::size_t aQueue)
{
  for (auto index = queues_.size() - 1; index > aQueue; --index) {
    if (!queues_[index].empty()) {
      // Evicts the newest request, which has waited least.
      const auto id = queues_[index].back().request.id;
      Remove(id);
      return id;
    }
  }
  return std::nullopt;
}

Admission::Entry&
Admission::Add(const AdmissionRequest& aRequest)
{
  auto& entry = entries_[aRequest.id];
  entry.request = aRequest;
  ++perTenant_[aRequest.tenant];
  return entry;
}

void
Admission::Run(Entry& aEntry)
{
  aEntry.isRunning = true;
  ++running_;
  bulkRunning_ += IsBulk(aEntry.request.requestClass) ? 1 : 0;
}

void
Admission::Unqueue(Entry& aEntry)
{
  auto& queue = queues_[QueueOf(aEntry.request)];
  queue.erase(queue.iterator_to(aEntry));
  --waiting_;
}

void
Admission::Remove(std::uint64_t aId)
{
  const auto found = entries_.find(aId);
  if (found == entries_.end()) {
    return;
  }
  auto& entry = found->second;
  if (entry.isRunning) {
    --running_;
    bulkRunning_ -= IsBulk(entry.request.requestClass) ? 1 : 0;
  } else {
    Unqueue(entry);
  }
  const auto tenant = perTenant_.find(entry.request.tenant);
  if (--tenant->second == 0) {
    perTenant_.erase(tenant);
  }
  entries_.erase(found);
}

std::vector<AdmissionRelease>
Admission::Finish(std::uint64_t aId, state::Instant aNow)
{
  Remove(aId);
  return Expire(aNow);
}

std::vector<AdmissionRelease>
Admission::Expire(state::Instant aNow)
{
  Releases releases;
  RefuseOverdue(aNow, releases);
  Promote(aNow, releases);
  return releases;
}

void
Admission::RefuseOverdue(state::Instant aNow, Releases& aReleases)
{
  if (waiting_ == 0) {
    return;
  }
  const auto first = aReleases.size();
  for (const auto& queue : queues_) {
    for (const auto& entry : queue) {
      if (aNow >= entry.request.deadline) {
        aReleases.push_back(
          { entry.request.id, NotRunReason::DeadlineExceeded });
      } else if (aNow >= entry.until) {
        aReleases.push_back({ entry.request.id, NotRunReason::Full });
      }
    }
  }
  for (auto i = first; i < aReleases.size(); ++i) {
    Remove(aReleases[i].id);
  }
}

void
Admission::Promote(state::Instant aNow, Releases& aReleases)
{
  for (auto& queue : queues_) {
    while (!queue.empty() && HasRoom(queue.front().request, aNow)) {
      auto& entry = queue.front();
      Unqueue(entry);
      Run(entry);
      aReleases.push_back({ entry.request.id, std::nullopt });
    }
  }
}

void
Admission::RefuseWaiting(NotRunReason aReason, Releases& aReleases)
{
  for (auto& queue : queues_) {
    while (!queue.empty()) {
      const auto id = queue.front().request.id;
      aReleases.push_back({ id, aReason });
      Remove(id);
    }
  }
}

std::vector<AdmissionRelease>
Admission::SetState(EndpointState aState, state::Instant aNow)
{
  Releases releases;
  const bool wasCold =
    state_ == EndpointState::Starting || state_ == EndpointState::Down;
  if (aState == EndpointState::Ready && wasCold) {
    readySince_ = aNow;
  }
  stateSince_ = aState == state_ ? stateSince_ : aNow;
  state_ = aState;
  if (aState == EndpointState::Starting) {
    RefuseWaiting(NotRunReason::Starting, releases);
  } else if (aState == EndpointState::Gone || aState == EndpointState::Down) {
    RefuseWaiting(NotRunReason::Draining, releases);
  } else {
    Promote(aNow, releases);
  }
  return releases;
}

std::vector<AdmissionRelease>
Admission::SetSlots(std::uint32_t aSlots, state::Instant aNow)
{
  Releases releases;
  options_.slots = std::max(aSlots, 1U);
  Promote(aNow, releases);
  return releases;
}

void
Admission::Learn(state::Duration aServiceTime, bool aIsServed)
{
  failureShare_ += kNewWeight * ((aIsServed ? 0 : 1) - failureShare_);
  if (!aIsServed) {
    return;
  }
  if (serviceTime_.count() == 0) {
    serviceTime_ = aServiceTime;
  }
  const auto difference =
    static_cast<double>((aServiceTime - serviceTime_).count());
  serviceTime_ +=
    state::Duration(static_cast<state::Duration::rep>(difference * kNewWeight));
}

LoadReport
Admission::Report(state::Instant aNow) const
{
  return { static_cast<std::uint32_t>(running_ + waiting_),
           UsableSlots(aNow),
           serviceTime_,
           failureShare_ };
}

state::Instant
Admission::NextExpiry() const
{
  auto next = state::Instant::max();
  for (const auto& queue : queues_) {
    for (const auto& entry : queue) {
      next = std::min({ next, entry.until, entry.request.deadline });
    }
  }
  return next;
}

Outcome
Admission::ClassifyAnswer(unsigned aStatus, bool aSaysShed) const
{
  const bool isRefusal = aStatus == kShedStatus ||
                         aStatus == kTooManyRequests || aStatus == kBadRequest;
  if (options_.shedAnswerIsNotRun && aSaysShed && isRefusal) {
    return NotRun{ NotRunReason::Shed };
  }
  return Answered{ aStatus };
}

} // namespace teaselhold::coordination
