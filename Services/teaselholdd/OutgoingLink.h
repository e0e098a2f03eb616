#pragma once

#include "Coordination/CallTypes.h"
#include "Coordination/Links/LinkScheduler.h"
#include "Services/teaselholdd/Clock.h"
#include "Services/teaselholdd/Exchange.h"
#include "Transport/HttpServer.h"

#include <map>
#include <memory>

namespace teaselhold::daemon {

/// Lets answers wait for the decisions of LinkScheduler. One object serves all
/// servers of the process, because they share the host's link.
class OutgoingLink : public std::enable_shared_from_this<OutgoingLink>
{
public:
  OutgoingLink(boost::asio::io_context& aContext,
               const Clock& aClock,
               double aBytesPerSecond);

  /// An answer that a request in progress is expected to produce.
  class Expectation
  {
  public:
    Expectation(std::shared_ptr<OutgoingLink> aLink, std::uint64_t aBytes)
      : link_(std::move(aLink))
      , bytes_(aBytes)
    {
      link_->scheduler_.Expect(bytes_);
    }
    ~Expectation() { link_->scheduler_.Forget(bytes_); }
    Expectation(const Expectation&) = delete;
    Expectation& operator=(const Expectation&) = delete;

  private:
    std::shared_ptr<OutgoingLink> link_;
    std::uint64_t bytes_;
  };

  /// See LinkScheduler::Refusal().
  std::optional<coordination::NotRun> Refusal(std::uint64_t aAnswerBytes,
                                              state::Duration aMaxTime) const
  {
    return scheduler_.Refusal(aAnswerBytes, aMaxTime, clock_.Now());
  }

  /// Returns the predicted wait of a large answer.
  state::Duration PredictedWait() const
  {
    return scheduler_.PredictedTime(0, clock_.Now());
  }

  /// Counts a message that is sent at once.
  void RecordSent(std::uint64_t aBytes)
  {
    scheduler_.RecordSent(aBytes, clock_.Now());
  }

  /// Returns the pacing for the answers of a server.
  transport::AnswerPacing Pacing();

private:
  struct Transfer;

  Awaitable<std::size_t> NextPiece(std::shared_ptr<Transfer> aTransfer);
  void Grant();
  void WakeAt(state::Instant aTime);

  boost::asio::io_context& context_;
  const Clock& clock_;
  coordination::LinkScheduler scheduler_;
  boost::asio::steady_timer wake_;
  std::map<std::uint64_t, std::weak_ptr<Transfer>> transfers_;
};

} // namespace teaselhold::daemon
