#pragma once

#include "Services/teaselholdd/Clock.h"
#include "Services/teaselholdd/Exchange.h"
#include "State/RunLedger.h"

#include <functional>
#include <map>
#include <memory>

namespace teaselhold::daemon {

/// Runs each keyed request at most once beside the upstream, as RunLedger
/// decides; further deliveries wait for the run or get its stored answer.
class KeyedRuns
{
public:
  using RunFunction = std::function<Awaitable<Exchange>()>;

  KeyedRuns(boost::asio::io_context& aContext, const Clock& aClock);

  /// @param aDelivery without its id.
  /// @param aDeadline until which a joined delivery waits.
  /// @param aRun delivers the request to the upstream.
  Awaitable<Exchange> Serve(state::KeyedDelivery aDelivery,
                            state::Instant aDeadline,
                            RunFunction aRun);

private:
  struct Waiter
  {
    boost::asio::steady_timer timer;
    std::optional<Exchange> result;
  };

  Awaitable<Exchange> Start(std::string aName, RunFunction aRun);
  Awaitable<Exchange> Join(std::uint64_t aId, state::Instant aDeadline);
  void Conclude(const std::string& aName, const Exchange& aExchange);
  void Release(const std::vector<std::uint64_t>& aJoined,
               const Exchange& aExchange);

  boost::asio::io_context& context_;
  const Clock& clock_;
  state::RunLedger ledger_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> joined_;
  std::uint64_t nextDelivery_ = 1;
};

} // namespace teaselhold::daemon
