#include "Coordination/Links/BodyScheduler.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// Limits the wait of small requests behind bodies to about this time, or to
/// the transfer time of a single body if that is longer.
constexpr std::chrono::duration<double> kMaxQueueTime{ 0.13 };

} // namespace

BodyScheduler::BodyScheduler(double aBytesPerSecond)
  : bytesPerSecond_(std::max(aBytesPerSecond, 1.0))
{
}

bool
BodyScheduler::HasRoom(std::uint64_t aBytes) const
{
  const auto window = bytesPerSecond_ * kMaxQueueTime.count();
  // One body at a time is always allowed, however slow the link is.
  return arrivingBytes_ == 0 ||
         static_cast<double>(arrivingBytes_ + aBytes) <= window;
}

state::Duration
BodyScheduler::PredictedWait() const
{
  const auto ahead = static_cast<double>(arrivingBytes_ + waitingBytes_);
  const std::chrono::duration<double> wait{ ahead / bytesPerSecond_ };
  return std::chrono::duration_cast<state::Duration>(wait);
}

BodyDecision
BodyScheduler::Decide(const BodyRequest& aRequest, state::Instant aNow)
{
  if (waiting_.empty() && HasRoom(aRequest.bytes)) {
    arrivingBytes_ += aRequest.bytes;
    return InviteBody{};
  }
  const auto wait = PredictedWait();
  if (wait > aRequest.maxWait) {
    return NotRun{ NotRunReason::Full, wait };
  }
  waiting_.push_back(aRequest);
  waitingBytes_ += aRequest.bytes;
  return BodyWait{ aNow + aRequest.maxWait };
}

std::vector<std::uint64_t>
BodyScheduler::Finish(std::uint64_t aBytes)
{
  arrivingBytes_ -= std::min(arrivingBytes_, aBytes);
  std::vector<std::uint64_t> invited;
  while (!waiting_.empty() && HasRoom(waiting_.front().bytes)) {
    const auto next = waiting_.front();
    waiting_.pop_front();
    waitingBytes_ -= next.bytes;
    arrivingBytes_ += next.bytes;
    invited.push_back(next.id);
  }
  return invited;
}

void
BodyScheduler::Cancel(std::uint64_t aId)
{
  const auto found = std::ranges::find(waiting_, aId, &BodyRequest::id);
  if (found != waiting_.end()) {
    waitingBytes_ -= found->bytes;
    waiting_.erase(found);
  }
}

} // namespace teaselhold::coordination
