#include "Coordination/Admission.h"

#include <algorithm>
#include <limits>

namespace teaselhold::coordination {

namespace {

using state::EndpointState;
using state::RequestClass;

/// Time that a queued request must have left before its deadline to be worth
/// starting; a response that takes longer comes too late.
constexpr state::Duration kDeadlineMargin = std::chrono::milliseconds(10);
constexpr state::Duration kDefaultMaxWait = std::chrono::milliseconds(100);
/// Bounds the wait of orders and checks, which may have no deadline.
constexpr state::Duration kUrgentMaxWait = std::chrono::seconds(10);
/// The lowest rank of requests that are neither uploads nor batches.
constexpr auto kLowestSmallRank =
  static_cast<std::size_t>(RequestClass::Lookup);
/// One slot in four, rounded up, is reserved for requests other than uploads
/// and batches.
constexpr std::uint32_t kReservedSlotDivisor = 4;
constexpr unsigned kShedStatus = 503;
constexpr unsigned kTooManyRequestsStatus = 429;
constexpr unsigned kBadRequestStatus = 400;
/// Weight of the newest request in the exponential moving averages.
constexpr double kSmoothingFactor = 0.08;
/// Assumed until a request has been served.
constexpr state::Duration kDefaultServiceTime = std::chrono::milliseconds(100);
/// Added to the longest wait of a request, because waits may exceed their
/// prediction.
constexpr state::Duration kWaitTolerance = std::chrono::milliseconds(50);

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
    const auto wait =
      *aRequest.maxWait + *aRequest.maxWait / 2 + kWaitTolerance;
    return std::min(aRequest.deadline - kDeadlineMargin, aNow + wait);
  }
  const auto wait =
    IsUrgent(aRequest.requestClass) ? kUrgentMaxWait : kDefaultMaxWait;
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
  pace_.SetSlots(options_.slots);
}

std::uint32_t
Admission::UsableSlots(state::Instant aNow) const
{
  return options_.isPaced ? pace_.Limit(aNow) : options_.slots;
}

std::size_t
Admission::QueueIndex(const AdmissionRequest& aRequest)
{
  static_assert(QueueTurns::kQueueCount ==
                1 + state::kRequestClassNames.size());
  if (aRequest.isFinalTry) {
    return 0;
  }
  auto rank = static_cast<std::size_t>(aRequest.requestClass);
  if (!aRequest.account.empty() && !IsBulk(aRequest.requestClass)) {
    rank = std::min<std::size_t>(aRequest.priority, kLowestSmallRank);
  }
  return 1 + rank;
}

bool
Admission::IsInTime(const AdmissionRequest& aRequest)
{
  return !aRequest.usefulWait || aRequest.usefulWait->count() > 0;
}

std::size_t
Admission::CountInTime(const Queue& aQueue, state::Instant aNow)
{
  return static_cast<std::size_t>(std::ranges::count_if(
    aQueue, [aNow](const Entry& aEntry) { return aNow < aEntry.usefulUntil; }));
}

Admission::Entry&
Admission::NextOf(Queue& aQueue, state::Instant aNow)
{
  const auto inTime = std::ranges::find_if(
    aQueue, [aNow](const Entry& aEntry) { return aNow < aEntry.usefulUntil; });
  return inTime == aQueue.end() ? aQueue.front() : *inTime;
}

state::Duration
Admission::PredictedWait(const AdmissionRequest& aRequest,
                         state::Instant aNow) const
{
  const auto own = QueueIndex(aRequest);
  std::size_t ahead =
    IsInTime(aRequest) ? CountInTime(queues_[own], aNow) : queues_[own].size();
  // Of the more urgent requests, only so many go first that each request of
  // this queue gets its turn.
  std::size_t urgent = 0;
  for (std::size_t queue = 1; queue < own; ++queue) {
    urgent += queues_[queue].size();
  }
  ahead += std::min(urgent, (ahead + 1) * QueueTurns::kMaxPassedOver);
  ahead += own > 0 ? queues_[0].size() : 0;
  const auto service =
    serviceTime_.count() > 0 ? serviceTime_ : kDefaultServiceTime;
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
    slots > 1 ? (slots + kReservedSlotDivisor - 1) / kReservedSlotDivisor : 0;
  return aRequest.isFinalTry || !IsBulk(aRequest.requestClass) ||
         bulkRunning_ < slots - reserved;
}

bool
Admission::HasQueuedAhead(std::size_t aQueue) const
{
  return std::any_of(queues_.begin(),
                     queues_.begin() + static_cast<long>(aQueue) + 1,
                     [](const Queue& aQueue) { return !aQueue.empty(); });
}

std::optional<NotRunReason>
Admission::RefusalReason(const AdmissionRequest& aRequest,
                         state::Instant aNow) const
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
  const auto tenant = requestsByTenant_.find(aRequest.tenant);
  if (aRequest.tenantLimit != 0 && tenant != requestsByTenant_.end() &&
      tenant->second >= aRequest.tenantLimit) {
    return NotRunReason::TenantLimit;
  }
  return std::nullopt;
}

std::optional<NotRun>
Admission::PredictRefusal(const AdmissionRequest& aRequest,
                          state::Instant aNow) const
{
  if (const auto reason = RefusalReason(aRequest, aNow)) {
    return NotRun{ *reason };
  }
  const auto predicted = PredictedWait(aRequest, aNow);
  const bool isTooLong = !HasRoom(aRequest, aNow) && aRequest.maxWait &&
                         predicted > *aRequest.maxWait;
  return isTooLong ? std::optional(NotRun{ NotRunReason::Full, predicted })
                   : std::nullopt;
}

AdmissionInputs
Admission::DecisionInputs(const AdmissionRequest& aRequest,
                          state::Instant aNow) const
{
  return { state_,   aNow - stateSince_, running_,
           waiting_, UsableSlots(aNow),  PredictedWait(aRequest, aNow) };
}

AdmissionDecision
Admission::Decide(const AdmissionRequest& aRequest, state::Instant aNow)
{
  if (const auto reason = RefusalReason(aRequest, aNow)) {
    return NotRun{ *reason };
  }
  if (HasRoom(aRequest, aNow) && !HasQueuedAhead(QueueIndex(aRequest))) {
    MarkRunning(Add(aRequest));
    return Admit{};
  }
  return Enqueue(aRequest, aNow);
}

AdmissionDecision
Admission::Enqueue(const AdmissionRequest& aRequest, state::Instant aNow)
{
  const auto until = LatestStart(aRequest, aNow);
  const auto predicted = PredictedWait(aRequest, aNow);
  if (until <= aNow || (aRequest.maxWait && predicted > *aRequest.maxWait)) {
    return NotRun{ NotRunReason::Full, predicted };
  }
  Queued decision{ until, std::nullopt };
  if (waiting_ >= options_.queueLimit) {
    decision.displaced = DisplaceLowerPriority(QueueIndex(aRequest));
    if (!decision.displaced) {
      return NotRun{ NotRunReason::Full, predicted };
    }
  }
  auto& entry = Add(aRequest);
  entry.until = until;
  if (aRequest.usefulWait) {
    entry.usefulUntil = aNow + *aRequest.usefulWait;
  }
  queues_[QueueIndex(aRequest)].push_back(entry);
  ++waiting_;
  return decision;
}

std::optional<std::uint64_t>
Admission::DisplaceLowerPriority(std::size_t aQueue)
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
  ++requestsByTenant_[aRequest.tenant];
  return entry;
}

void
Admission::MarkRunning(Entry& aEntry)
{
  aEntry.isRunning = true;
  ++running_;
  bulkRunning_ += IsBulk(aEntry.request.requestClass) ? 1 : 0;
}

void
Admission::Dequeue(Entry& aEntry)
{
  auto& queue = queues_[QueueIndex(aEntry.request)];
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
    Dequeue(entry);
  }
  const auto tenant = requestsByTenant_.find(entry.request.tenant);
  if (--tenant->second == 0) {
    requestsByTenant_.erase(tenant);
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
  RefuseExpired(aNow, releases);
  AdmitQueued(aNow, releases);
  return releases;
}

void
Admission::RefuseExpired(state::Instant aNow, Releases& aReleases)
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

QueueTurns::ReadyQueues
Admission::FindReady(state::Instant aNow) const
{
  QueueTurns::ReadyQueues ready{};
  std::ranges::transform(queues_, ready.begin(), [&](const Queue& aQueue) {
    return !aQueue.empty() && HasRoom(aQueue.front().request, aNow);
  });
  return ready;
}

void
Admission::AdmitQueued(state::Instant aNow, Releases& aReleases)
{
  while (const auto queue = turns_.Take(FindReady(aNow))) {
    auto& entry = NextOf(queues_[*queue], aNow);
    Dequeue(entry);
    MarkRunning(entry);
    aReleases.push_back({ entry.request.id, std::nullopt });
  }
}

void
Admission::RefuseQueued(NotRunReason aReason, Releases& aReleases)
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
    BeginRun(aNow);
  }
  stateSince_ = aState == state_ ? stateSince_ : aNow;
  state_ = aState;
  if (aState == EndpointState::Starting) {
    RefuseQueued(NotRunReason::Starting, releases);
  } else if (aState == EndpointState::Gone || aState == EndpointState::Down) {
    RefuseQueued(NotRunReason::Draining, releases);
  } else {
    AdmitQueued(aNow, releases);
  }
  return releases;
}

std::vector<AdmissionRelease>
Admission::SetSlots(std::uint32_t aSlots, state::Instant aNow)
{
  Releases releases;
  options_.slots = std::max(aSlots, 1U);
  pace_.SetSlots(options_.slots);
  AdmitQueued(aNow, releases);
  return releases;
}

void
Admission::BeginRun(state::Instant aNow)
{
  pace_.Begin(options_.slots, aNow);
}

void
Admission::SetUsual(state::Duration aServiceTime, double aFailureRate)
{
  pace_.SetUsual(aServiceTime, aFailureRate);
}

void
Admission::RecordResult(state::Duration aServiceTime,
                        bool aIsServed,
                        state::Instant aNow)
{
  pace_.OnFinished(
    { aServiceTime, static_cast<std::uint32_t>(running_), aIsServed }, aNow);
  failureRate_ += kSmoothingFactor * ((aIsServed ? 0 : 1) - failureRate_);
  if (!aIsServed) {
    return;
  }
  if (serviceTime_.count() == 0) {
    serviceTime_ = aServiceTime;
  }
  const auto difference =
    static_cast<double>((aServiceTime - serviceTime_).count());
  serviceTime_ += state::Duration(
    static_cast<state::Duration::rep>(difference * kSmoothingFactor));
}

LoadReport
Admission::MakeLoadReport(state::Instant aNow) const
{
  return { static_cast<std::uint32_t>(running_ + waiting_),
           UsableSlots(aNow),
           serviceTime_,
           failureRate_ };
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

std::optional<state::Instant>
Admission::LatestRunningDeadline() const
{
  std::optional<state::Instant> latest;
  for (const auto& [id, entry] : entries_) {
    if (entry.isRunning) {
      latest = std::max(latest.value_or(entry.request.deadline),
                        entry.request.deadline);
    }
  }
  return latest;
}

Outcome
Admission::ClassifyAnswer(unsigned aStatus, bool aSaysShed) const
{
  const bool isRefusal = aStatus == kShedStatus ||
                         aStatus == kTooManyRequestsStatus ||
                         aStatus == kBadRequestStatus;
  if (options_.shedAnswerIsNotRun && aSaysShed && isRefusal) {
    return NotRun{ NotRunReason::Shed };
  }
  return Answered{ aStatus };
}

} // namespace teaselhold::coordination
