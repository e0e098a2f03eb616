#include "Coordination/Links/LinkScheduler.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// The rest of the bandwidth carries the headers of packets, acknowledgements
/// and store calls.
constexpr double kUsableShare = 0.9;
/// HTTP headers of a request or an answer between nodes.
constexpr std::uint64_t kHeaderBytes = 500;
/// With two, the link is busy while one writer has not been woken yet.
constexpr std::size_t kMaxPiecesInWriting = 2;
/// A receiver that takes a piece no faster than this does not hold up the other
/// messages.
constexpr state::Duration kMaxPieceTime = std::chrono::milliseconds(250);
/// A small message waits behind at most this much of the large ones, and one
/// piece more.
constexpr state::Duration kMaxQueueTime = std::chrono::milliseconds(20);
/// 13 ms on a link of 10 Mbit/s.
constexpr std::uint64_t kPieceBytes = 16UL * 1024;
/// Keeps transfer times finite.
constexpr double kMinBytesPerSecond = 1;

} // namespace

LinkScheduler::LinkScheduler(double aBytesPerSecond)
  : bytesPerSecond_(
      std::max(aBytesPerSecond * kUsableShare, kMinBytesPerSecond))
{
}

state::Duration
LinkScheduler::TransferTime(std::uint64_t aBytes) const
{
  const std::chrono::duration<double> time{ static_cast<double>(aBytes) /
                                            bytesPerSecond_ };
  return std::chrono::duration_cast<state::Duration>(time);
}

void
LinkScheduler::RecordSent(std::uint64_t aBytes, state::Instant aNow)
{
  busyUntil_ = std::max(busyUntil_, aNow) + TransferTime(aBytes + kHeaderBytes);
}

std::uint64_t
LinkScheduler::Begin(std::uint64_t aBytes)
{
  const auto message = nextMessage_++;
  messages_.emplace(message, Message{ aBytes, false, {} });
  queuedBytes_ += aBytes;
  return message;
}

void
LinkScheduler::End(std::uint64_t aMessage)
{
  const auto found = messages_.find(aMessage);
  if (found != messages_.end()) {
    queuedBytes_ -= found->second.bytesLeft;
    messages_.erase(found);
  }
}

void
LinkScheduler::RequestPiece(std::uint64_t aMessage)
{
  const auto found = messages_.find(aMessage);
  if (found != messages_.end()) {
    found->second.isWaiting = true;
    found->second.writingUntil = state::Instant{ 0 };
  }
}

std::size_t
LinkScheduler::PiecesInWriting(state::Instant aNow) const
{
  const auto pieces =
    std::ranges::count_if(messages_, [aNow](const auto& aEntry) {
      return aEntry.second.writingUntil > aNow;
    });
  return static_cast<std::size_t>(pieces);
}

std::vector<LinkGrant>
LinkScheduler::TakeGrants(state::Instant aNow)
{
  std::vector<LinkGrant> grants;
  auto inWriting = PiecesInWriting(aNow);
  for (auto& [number, message] : messages_) {
    if (busyUntil_ > aNow + kMaxQueueTime || inWriting >= kMaxPiecesInWriting) {
      break;
    }
    if (!message.isWaiting) {
      continue;
    }
    const auto bytes = std::min(message.bytesLeft, kPieceBytes);
    message.isWaiting = false;
    message.bytesLeft -= bytes;
    message.writingUntil = aNow + kMaxPieceTime;
    ++inWriting;
    queuedBytes_ -= bytes;
    busyUntil_ = std::max(busyUntil_, aNow) + TransferTime(bytes);
    grants.push_back({ number, bytes });
  }
  return grants;
}

state::Instant
LinkScheduler::NextGrant(state::Instant aNow) const
{
  bool isAnyWaiting = false;
  std::size_t inWriting = 0;
  auto nextWritten = state::Instant::max();
  for (const auto& [number, message] : messages_) {
    isAnyWaiting = isAnyWaiting || message.isWaiting;
    if (message.writingUntil > aNow) {
      ++inWriting;
      nextWritten = std::min(nextWritten, message.writingUntil);
    }
  }
  if (!isAnyWaiting) {
    return state::Instant::max();
  }
  const auto whenShort = busyUntil_ - kMaxQueueTime;
  return inWriting < kMaxPiecesInWriting ? whenShort
                                         : std::max(whenShort, nextWritten);
}

state::Duration
LinkScheduler::PredictedTime(std::uint64_t aBytes, state::Instant aNow) const
{
  const auto backlog = std::max(busyUntil_ - aNow, state::Duration{ 0 });
  return backlog + TransferTime(queuedBytes_ + expectedBytes_ + aBytes);
}

std::optional<NotRun>
LinkScheduler::Refusal(std::uint64_t aAnswerBytes,
                       state::Duration aMaxTime,
                       state::Instant aNow) const
{
  if (aAnswerBytes < kLargeMessageBytes) {
    return std::nullopt;
  }
  const auto time = PredictedTime(aAnswerBytes, aNow);
  // One answer at a time is always allowed, however slow the link is.
  const bool isIdle = PredictedTime(0, aNow).count() == 0;
  return isIdle || time <= aMaxTime
           ? std::nullopt
           : std::optional(NotRun{ NotRunReason::LinkBusy, time });
}

} // namespace teaselhold::coordination
