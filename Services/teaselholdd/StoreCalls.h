#pragma once

#include "Services/teaselholdd/Clock.h"
#include "Services/teaselholdd/Exchange.h"
#include "Services/teaselholdd/StoreWorker.h"

#include <map>

namespace teaselhold::daemon {

/// Lets coroutines of the data thread wait for calls of the store.
class StoreCalls
{
public:
  using Request = decltype(coordination::CallStore::request);

  /// The client and its threads start with the first call: without keyed
  /// requests there is none.
  StoreCalls(boost::asio::io_context& aContext,
             protocol::StoreClientFactory aFactory);

  /// @return the answer, or StoreErrorCode::Unknown if the deadline passed
  /// before it arrived.
  Awaitable<coordination::StoreResult> Call(
    Request aRequest,
    Clock::Steady::time_point aDeadline);

  /// Stops the threads; waits for the call in progress.
  void Stop();

private:
  struct Waiter
  {
    boost::asio::steady_timer timer;
    std::optional<coordination::StoreResult> result;
  };

  void OnAnswer(coordination::StoreAnswered aAnswer);

  boost::asio::io_context& context_;
  protocol::StoreClientFactory factory_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiting_;
  std::uint64_t nextCall_ = 1;
  std::unique_ptr<StoreWorker> worker_;
};

} // namespace teaselhold::daemon
