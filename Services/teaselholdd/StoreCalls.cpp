#include "Services/teaselholdd/StoreCalls.h"

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace asio = boost::asio;

} // namespace

StoreCalls::StoreCalls(asio::io_context& aContext,
                       protocol::StoreClientFactory aFactory)
  : context_(aContext)
  , factory_(std::move(aFactory))
{
}

void
StoreCalls::Stop()
{
  if (worker_ != nullptr) {
    worker_->Stop();
  }
}

asio::awaitable<StoreResult>
StoreCalls::Call(Request aRequest, Clock::Steady::time_point aDeadline)
{
  if (worker_ == nullptr) {
    worker_ =
      std::make_unique<StoreWorker>(factory_(), [this](StoreAnswered aAnswer) {
        asio::post(context_, [this, answer = std::move(aAnswer)]() mutable {
          OnAnswer(std::move(answer));
        });
      });
  }
  const auto call = nextCall_++;
  const auto waiter = std::make_shared<Waiter>(
    Waiter{ asio::steady_timer(context_, aDeadline), std::nullopt });
  waiting_.emplace(call, waiter);
  worker_->Submit({ call, std::move(aRequest) });
  boost::system::error_code error;
  co_await waiter->timer.async_wait(
    asio::redirect_error(asio::use_awaitable, error));
  waiting_.erase(call);
  if (!waiter->result) {
    co_return protocol::StoreError{ protocol::StoreErrorCode::Unknown,
                                    "no answer before the deadline" };
  }
  co_return std::move(*waiter->result);
}

void
StoreCalls::OnAnswer(StoreAnswered aAnswer)
{
  const auto found = waiting_.find(aAnswer.call);
  if (found != waiting_.end()) {
    found->second->result = std::move(aAnswer.result);
    found->second->timer.cancel();
  }
}

} // namespace teaselhold::daemon
