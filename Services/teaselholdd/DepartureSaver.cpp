#include "Services/teaselholdd/DepartureSaver.h"

namespace teaselhold::daemon {

namespace asio = boost::asio;

std::uint64_t
DepartureSaver::Start(const std::string& aNode,
                      const state::UpstreamIdentity& aUpstream)
{
  const auto number = nextNumber_++;
  waiting_[number];
  sink_({ aNode, aUpstream, number });
  return number;
}

asio::awaitable<bool>
DepartureSaver::Wait(std::uint64_t aNumber, std::chrono::milliseconds aTimeout)
{
  if (IsSaved(aNumber)) {
    co_return true;
  }
  const auto timer = std::make_shared<Timer>(context_, aTimeout);
  waiting_[aNumber].push_back(timer);
  boost::system::error_code error;
  co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, error));
  const auto found = waiting_.find(aNumber);
  if (found == waiting_.end()) {
    co_return true;
  }
  std::erase(found->second, timer);
  co_return false;
}

void
DepartureSaver::OnSaved(std::uint64_t aNumber)
{
  EndWait(aNumber);
  waiting_.erase(aNumber);
}

void
DepartureSaver::EndWait(std::uint64_t aNumber)
{
  const auto found = waiting_.find(aNumber);
  if (found == waiting_.end()) {
    return;
  }
  for (const auto& timer : found->second) {
    timer->cancel();
  }
}

} // namespace teaselhold::daemon
