#pragma once

#include "Coordination/Links/BodyScheduler.h"
#include "Services/teaselholdd/Clock.h"
#include "Services/teaselholdd/Exchange.h"

#include <map>
#include <memory>

namespace teaselhold::daemon {

/// Lets other nodes wait for the decision of BodyScheduler.
class BodyQueue : public std::enable_shared_from_this<BodyQueue>
{
public:
  BodyQueue(boost::asio::io_context& aContext,
            const Clock& aClock,
            double aBytesPerSecond);

  /// A body that was invited, held until it has arrived.
  class Permit
  {
  public:
    Permit(std::shared_ptr<BodyQueue> aQueue, std::uint64_t aBytes)
      : queue_(std::move(aQueue))
      , bytes_(aBytes)
    {
    }
    ~Permit() { queue_->Finish(bytes_); }
    Permit(const Permit&) = delete;
    Permit& operator=(const Permit&) = delete;

    /// A part of the body has arrived.
    void Receive(std::uint64_t aBytes);

  private:
    std::shared_ptr<BodyQueue> queue_;
    /// Still to come.
    std::uint64_t bytes_;
  };

  struct Admission
  {
    std::optional<coordination::NotRun> refused;
    std::shared_ptr<Permit> permit;
  };

  /// Waits until a body may be sent.
  Awaitable<Admission> Enter(std::uint64_t aBytes, state::Duration aMaxWait);

  /// See BodyScheduler::PredictedWait().
  state::Duration PredictedWait() const { return gate_.PredictedWait(); }

private:
  struct Waiter
  {
    boost::asio::steady_timer released;
    bool isInvited = false;
  };

  Awaitable<bool> WaitForInvitation(std::uint64_t aId, state::Instant aUntil);
  void Finish(std::uint64_t aBytes);

  boost::asio::io_context& context_;
  const Clock& clock_;
  coordination::BodyScheduler gate_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiting_;
  std::uint64_t nextId_ = 1;
};

} // namespace teaselhold::daemon
