#include "Services/teaselholdd/AdmissionQueue.h"

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace asio = boost::asio;

/// Bounds of the time between two looks for requests that waited too long and
/// for slots that a cold upstream gained.
constexpr std::chrono::milliseconds kMinExpireInterval{ 5 };
constexpr std::chrono::milliseconds kMaxExpireInterval{ 100 };

/// Deadlines travel as remaining whole milliseconds, which do not include the
/// time that a busy host takes to read a request.
constexpr std::chrono::milliseconds kDeadlineTolerance{ 50 };

} // namespace

AdmissionQueue::AdmissionQueue(asio::io_context& aContext,
                               const Clock& aClock,
                               AdmissionOptions aOptions)
  : context_(aContext)
  , clock_(aClock)
  , admission_(aOptions)
{
}

asio::awaitable<std::optional<NotRun>>
AdmissionQueue::Enter(const AdmissionRequest& aRequest,
                      transport::CancellationPointer aCancellation)
{
  const auto decision = admission_.Decide(aRequest, clock_.Now());
  if (const auto* refused = std::get_if<NotRun>(&decision)) {
    co_return *refused;
  }
  if (std::holds_alternative<Admit>(decision)) {
    co_return std::nullopt;
  }
  const auto& displaced = std::get<Queued>(decision).displaced;
  if (displaced) {
    Release({ { *displaced, NotRunReason::Shed } });
  }
  if (!expiring_) {
    expiring_ = true;
    asio::co_spawn(
      context_,
      [self = shared_from_this()]() -> Awaitable<void> {
        co_await self->ExpireWhileWaiting();
      },
      asio::detached);
  }
  co_return co_await WaitForRelease(aRequest.id, std::move(aCancellation));
}

asio::awaitable<std::optional<NotRun>>
AdmissionQueue::WaitForRelease(std::uint64_t aId,
                               transport::CancellationPointer aCancellation)
{
  const auto waiter = std::make_shared<Waiter>(
    Waiter{ asio::steady_timer(context_, asio::steady_timer::time_point::max()),
            std::nullopt });
  waiting_.emplace(aId, waiter);
  const transport::Cancellation::Scope scope(
    aCancellation, [waiter] { waiter->released.cancel(); });
  boost::system::error_code error;
  co_await waiter->released.async_wait(
    asio::redirect_error(asio::use_awaitable, error));
  if (!waiter->decision) {
    // The caller is gone.
    waiting_.erase(aId);
    Leave(aId);
    co_return NotRun{ NotRunReason::DeadlineExceeded };
  }
  if (waiter->decision->refused) {
    const auto report = admission_.MakeLoadReport(clock_.Now());
    co_return NotRun{ *waiter->decision->refused, report.serviceTime };
  }
  co_return std::nullopt;
}

asio::awaitable<void>
AdmissionQueue::ExpireWhileWaiting()
{
  asio::steady_timer timer(context_);
  while (!waiting_.empty()) {
    const auto next = admission_.NextExpiry() - clock_.Now();
    timer.expires_after(std::clamp<state::Duration>(
      next, kMinExpireInterval, kMaxExpireInterval));
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    Release(admission_.Expire(clock_.Now()));
  }
  expiring_ = false;
}

void
AdmissionQueue::Leave(std::uint64_t aId)
{
  Release(admission_.Finish(aId, clock_.Now()));
}

void
AdmissionQueue::Release(const std::vector<AdmissionRelease>& aReleases)
{
  for (const auto& release : aReleases) {
    const auto found = waiting_.find(release.id);
    if (found != waiting_.end()) {
      found->second->decision = release;
      found->second->released.cancel();
      waiting_.erase(found);
    }
  }
}

bool
AdmissionQueue::MayHaveMade(state::Instant aDeadline) const
{
  const auto latest = admission_.LatestRunningDeadline();
  return latest && aDeadline <= *latest + kDeadlineTolerance;
}

void
AdmissionQueue::SetSlots(std::uint32_t aSlots)
{
  Release(admission_.SetSlots(aSlots, clock_.Now()));
}

void
AdmissionQueue::SetState(state::EndpointState aState)
{
  Release(admission_.SetState(aState, clock_.Now()));
}

} // namespace teaselhold::daemon
