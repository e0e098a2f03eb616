#include "Services/teaselholdd/OutgoingLink.h"

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace asio = boost::asio;

} // namespace

/// A large answer that is being sent.
struct OutgoingLink::Transfer
{
  Transfer(std::shared_ptr<OutgoingLink> aLink, std::uint64_t aBytes)
    : link(std::move(aLink))
    , message(link->scheduler_.Begin(aBytes))
    , granted(link->context_)
  {
  }
  ~Transfer()
  {
    link->scheduler_.End(message);
    link->transfers_.erase(message);
    // The next message takes the place of this one at once.
    link->Grant();
  }
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  std::shared_ptr<OutgoingLink> link;
  std::uint64_t message;
  asio::steady_timer granted;
  std::size_t piece = 0;
};

OutgoingLink::OutgoingLink(asio::io_context& aContext,
                           const Clock& aClock,
                           double aBytesPerSecond)
  : context_(aContext)
  , clock_(aClock)
  , scheduler_(aBytesPerSecond)
  , wake_(aContext)
{
}

transport::AnswerPacing
OutgoingLink::Pacing()
{
  transport::AnswerPacing pacing;
  pacing.largeBytes = LinkScheduler::kLargeMessageBytes;
  pacing.begin = [self = shared_from_this()](std::size_t aBytes) {
    const auto transfer = std::make_shared<Transfer>(self, aBytes);
    self->transfers_.emplace(transfer->message, transfer);
    return transport::NextPiece(
      [transfer] { return transfer->link->NextPiece(transfer); });
  };
  pacing.onSmallAnswer = [self = shared_from_this()](std::size_t aBytes) {
    self->RecordSent(aBytes);
  };
  return pacing;
}

asio::awaitable<std::size_t>
OutgoingLink::NextPiece(std::shared_ptr<Transfer> aTransfer)
{
  aTransfer->piece = 0;
  scheduler_.RequestPiece(aTransfer->message);
  Grant();
  while (aTransfer->piece == 0) {
    aTransfer->granted.expires_at(asio::steady_timer::time_point::max());
    boost::system::error_code error;
    co_await aTransfer->granted.async_wait(
      asio::redirect_error(asio::use_awaitable, error));
  }
  co_return aTransfer->piece;
}

void
OutgoingLink::Grant()
{
  const auto now = clock_.Now();
  for (const auto& grant : scheduler_.TakeGrants(now)) {
    const auto found = transfers_.find(grant.message);
    const auto transfer =
      found == transfers_.end() ? nullptr : found->second.lock();
    if (transfer != nullptr) {
      transfer->piece = grant.bytes;
      transfer->granted.cancel();
    }
  }
  const auto next = scheduler_.NextGrant(now);
  if (next != state::Instant::max()) {
    WakeAt(next);
  }
}

void
OutgoingLink::WakeAt(state::Instant aTime)
{
  wake_.expires_at(clock_.ToSteady(aTime));
  wake_.async_wait(
    [weak = weak_from_this()](const boost::system::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self != nullptr) {
        self->Grant();
      }
    });
}

} // namespace teaselhold::daemon
