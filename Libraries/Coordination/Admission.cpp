#include "Coordination/Admission.h"

#include <algorithm>
#include <limits>

namespace teaselhold::coordination {

namespace {

using state::EndpointState;
using state::RequestClass;

constexpr state::Duration kColdStart = std::chrono::seconds(10);
constexpr std::uint32_t kColdSlots = 2;
/// The answer of an upstream that takes longer than this after a wait is lost.
constexpr state::Duration kDeadlineMargin = std::chrono::milliseconds(10);
constexpr state::Duration kShortWait = std::chrono::milliseconds(100);
/// Bounds the wait of orders and checks that carry no deadline.
constexpr state::Duration kLongWait = std::chrono::seconds(10);
/// One slot in four, rounded up, is kept from uploads and batches.
constexpr std::uint32_t kReservedShare = 4;
constexpr unsigned kShedStatus = 503;

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

std::size_t
IndexOf(RequestClass aClass)
{
  return static_cast<std::size_t>(aClass);
}

state::Instant
LatestStart(const AdmissionRequest& aRequest, state::Instant aNow)
{
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
  if (options_.slots <= kColdSlots || age >= kColdStart) {
    return options_.slots;
  }
  const auto gained = (options_.slots - kColdSlots) *
                      std::max<state::Duration::rep>(age.count(), 0) /
                      kColdStart.count();
  return kColdSlots + static_cast<std::uint32_t>(gained);
}

bool
Admission::HasRoom(RequestClass aClass, state::Instant aNow) const
{
  const auto slots = UsableSlots(aNow);
  if (running_ >= slots) {
    return false;
  }
  const auto reserved =
    slots > 1 ? (slots + kReservedShare - 1) / kReservedShare : 0;
  return !IsBulk(aClass) || bulkRunning_ < slots - reserved;
}

bool
Admission::IsOvertaking(RequestClass aClass) const
{
  return std::any_of(queues_.begin(),
                     queues_.begin() + IndexOf(aClass) + 1,
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

AdmissionDecision
Admission::Decide(const AdmissionRequest& aRequest, state::Instant aNow)
{
  if (const auto reason = Refusal(aRequest, aNow)) {
    return NotRun{ *reason };
  }
  if (HasRoom(aRequest.requestClass, aNow) &&
      !IsOvertaking(aRequest.requestClass)) {
    Run(Add(aRequest));
    return Admit{};
  }
  return Enqueue(aRequest, aNow);
}

AdmissionDecision
Admission::Enqueue(const AdmissionRequest& aRequest, state::Instant aNow)
{
  const auto until = LatestStart(aRequest, aNow);
  if (until <= aNow) {
    return NotRun{ NotRunReason::Full };
  }
  Wait decision{ until, std::nullopt };
  if (waiting_ >= options_.queueLimit) {
    decision.displaced = Displace(aRequest.requestClass);
    if (!decision.displaced) {
      return NotRun{ NotRunReason::Full };
    }
  }
  auto& entry = Add(aRequest);
  entry.until = until;
  queues_[IndexOf(aRequest.requestClass)].push_back(entry);
  ++waiting_;
  return decision;
}

std::optional<std::uint64_t>
Admission::Displace(RequestClass aClass)
{
  for (auto index = queues_.size() - 1; index > IndexOf(aClass); --index) {
    if (!queues_[index].empty()) {
      // The newest one has waited least.
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
  auto& queue = queues_[IndexOf(aEntry.request.requestClass)];
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
    while (!queue.empty() &&
           HasRoom(queue.front().request.requestClass, aNow)) {
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

Outcome
Admission::ClassifyAnswer(unsigned aStatus, bool aSaysShed) const
{
  if (options_.shedAnswerIsNotRun && aSaysShed && aStatus == kShedStatus) {
    return NotRun{ NotRunReason::Shed };
  }
  return Answered{ aStatus };
}

} // namespace teaselhold::coordination
