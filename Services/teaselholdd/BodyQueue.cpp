#include "Services/teaselholdd/BodyQueue.h"

#include <algorithm>

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace asio = boost::asio;

} // namespace

BodyQueue::BodyQueue(asio::io_context& aContext,
                     const Clock& aClock,
                     double aBytesPerSecond)
  : context_(aContext)
  , clock_(aClock)
  , gate_(aBytesPerSecond)
{
}

asio::awaitable<BodyQueue::Admission>
BodyQueue::Enter(std::uint64_t aBytes, state::Duration aMaxWait)
{
  const auto id = nextId_++;
  const auto decision = gate_.Decide({ id, aBytes, aMaxWait }, clock_.Now());
  if (const auto* refused = std::get_if<NotRun>(&decision)) {
    co_return Admission{ *refused, nullptr };
  }
  if (const auto* wait = std::get_if<BodyWait>(&decision)) {
    const bool isInvited = co_await WaitForInvitation(id, wait->until);
    if (!isInvited) {
      gate_.Cancel(id);
      const NotRun refused{ NotRunReason::Full, gate_.PredictedWait() };
      co_return Admission{ refused, nullptr };
    }
  }
  co_return Admission{ std::nullopt,
                       std::make_shared<Permit>(shared_from_this(), aBytes) };
}

asio::awaitable<bool>
BodyQueue::WaitForInvitation(std::uint64_t aId, state::Instant aUntil)
{
  const auto self = shared_from_this();
  const auto waiter = std::make_shared<Waiter>(
    Waiter{ asio::steady_timer(context_, clock_.ToSteady(aUntil)), false });
  waiting_.emplace(aId, waiter);
  boost::system::error_code error;
  co_await waiter->released.async_wait(
    asio::redirect_error(asio::use_awaitable, error));
  waiting_.erase(aId);
  co_return waiter->isInvited;
}

void
BodyQueue::Permit::Receive(std::uint64_t aBytes)
{
  const auto received = std::min(aBytes, bytes_);
  bytes_ -= received;
  queue_->Finish(received);
}

void
BodyQueue::Finish(std::uint64_t aBytes)
{
  for (const auto id : gate_.Finish(aBytes)) {
    const auto found = waiting_.find(id);
    if (found != waiting_.end()) {
      found->second->isInvited = true;
      found->second->released.cancel();
    }
  }
}

} // namespace teaselhold::daemon
