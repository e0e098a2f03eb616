#pragma once

#include "Coordination/CallTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace teaselhold::coordination {

/// The part of a large message that may be written now.
struct LinkGrant
{
  std::uint64_t message = 0;
  std::uint64_t bytes = 0;
};

/// Decides when the bytes of large messages may be written to the outgoing link
/// of this host. Answers of downloads can need more than a slow link carries;
/// written at once, they fill the buffers of the link, and small answers, store
/// calls and lease renewals wait behind them for seconds. Therefore large
/// messages are sent in pieces, oldest message first, and a piece is granted
/// only while the estimated queue of the link is short. Few pieces are written
/// at the same time, so that little waits in the buffers of the link even if it
/// is slower than its settings say. Small messages are never delayed; their
/// bytes make the large ones wait. Not thread-safe.
class LinkScheduler
{
public:
  /// Messages from this size on are sent in pieces.
  static constexpr std::uint64_t kLargeMessageBytes = 16UL * 1024;

  /// @param aBytesPerSecond bandwidth of the link.
  explicit LinkScheduler(double aBytesPerSecond);

  /// Counts a message that is written without a grant, and its headers.
  void RecordSent(std::uint64_t aBytes, state::Instant aNow);

  /// Counts an answer that a request in progress is expected to produce. Must
  /// be followed by Forget() with the same size.
  void Expect(std::uint64_t aBytes) { expectedBytes_ += aBytes; }
  void Forget(std::uint64_t aBytes) { expectedBytes_ -= aBytes; }

  /// Registers a large message. It ends with End(), also if it was not sent
  /// completely; another message may get a grant then.
  /// @return the number of the message.
  std::uint64_t Begin(std::uint64_t aBytes);
  void End(std::uint64_t aMessage);

  /// Asks for the next piece of a message.
  void RequestPiece(std::uint64_t aMessage);

  /// Returns the pieces that may be written now.
  std::vector<LinkGrant> TakeGrants(state::Instant aNow);

  /// Returns the time of the next grant unless a message asks for a piece
  /// before, or Instant::max() if no message waits for one.
  state::Instant NextGrant(state::Instant aNow) const;

  /// Predicts the time until the last byte of an answer of this size is sent,
  /// if its request is admitted now.
  state::Duration PredictedTime(std::uint64_t aBytes,
                                state::Instant aNow) const;

  /// Decides on a request before it runs: its answer is refused if the link
  /// could not send it in time, because the upstream's work and the bytes would
  /// be wasted.
  /// @param aAnswerBytes expected size of the answer.
  /// @param aMaxTime longest useful time until the answer is sent.
  std::optional<NotRun> Refusal(std::uint64_t aAnswerBytes,
                                state::Duration aMaxTime,
                                state::Instant aNow) const;

private:
  struct Message
  {
    std::uint64_t bytesLeft = 0;
    bool isWaiting = false;
    /// Until then its last piece counts as being written.
    state::Instant writingUntil{ 0 };
  };

  std::size_t PiecesInWriting(state::Instant aNow) const;
  state::Duration TransferTime(std::uint64_t aBytes) const;

  double bytesPerSecond_;
  /// When the link has sent everything that was written.
  state::Instant busyUntil_{ 0 };
  /// Bytes of registered messages that were not granted yet.
  std::uint64_t queuedBytes_ = 0;
  std::uint64_t expectedBytes_ = 0;
  std::uint64_t nextMessage_ = 1;
  /// By number, so that the oldest message is first.
  std::map<std::uint64_t, Message> messages_;
};

} // namespace teaselhold::coordination
