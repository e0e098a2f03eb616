#pragma once

#include "Transport/AnswerMemory.h"
#include "Transport/Answers/AnswerParser.h"
#include "Transport/Limits/MemoryBudget.h"
#include "Transport/TransportError.h"

#include <chrono>
#include <memory>
#include <optional>

namespace teaselhold::transport {

/// What answers of one connection may take.
struct AnswerBounds
{
  std::uint64_t maxBodyBytes = kMaxBodyBytes;
  /// Shared by the answers that are read at the same time; may be nullptr.
  std::shared_ptr<AnswerMemory> memory;
  /// What the connection holds of the process's memory; may be nullptr.
  MemoryBudget::HolderPointer holder;
  /// From the end of the head to the end of the answer, in place of the
  /// stream's time.
  std::optional<std::chrono::milliseconds> bodyTimeout;
  /// Longest time without a byte of the body; needs a bodyTimeout.
  std::optional<std::chrono::milliseconds> stallTimeout{};
};

/// Which answer is read.
struct AnswerRequest
{
  bool isToHead = false;
  bool acceptsUnframed = false;
  /// An answer with status 100 is returned, in place of the one behind it.
  bool stopsAtInvitation = false;
};

/// An answer that was read whole.
struct ReceivedAnswer
{
  HttpResponse message;
  /// Its connection carries another request.
  bool keepsConnection = false;
  /// Its body ended with the connection. A caller that also writes to the
  /// connection must check that no write has failed.
  bool isUnframed = false;
};

/// An answer that was not read whole. Its connection must not be used again.
struct AnswerFailure
{
  TransportError error;
  /// Nothing if the connection failed.
  std::optional<AnswerFault> fault;
};

/// Reads the answers of one connection, one after the other. Every answer that
/// a process of the system gets over HTTP is read here.
class AnswerReader
{
public:
  using Result = tl::expected<ReceivedAnswer, AnswerFailure>;

  /// Reads the next answer, past interim ones. Stream and bounds must outlive
  /// the call.
  boost::asio::awaitable<Result> Read(boost::beast::tcp_stream& aStream,
                                      AnswerRequest aRequest,
                                      const AnswerBounds& aBounds);

  /// @return true if bytes are left that belong to no answer.
  bool HasRest() const { return buffer_.size() > 0; }

  /// Forgets what was read from an earlier connection.
  void Clear() { buffer_.clear(); }

private:
  using Error = boost::system::error_code;

  /// Reads one answer, interim or final.
  boost::asio::awaitable<tl::expected<void, AnswerFailure>> ReadOne(
    boost::beast::tcp_stream& aStream,
    AnswerParser& aParser,
    const AnswerBounds& aBounds);
  boost::asio::awaitable<tl::expected<void, AnswerFailure>> ReadHead(
    boost::beast::tcp_stream& aStream,
    AnswerParser& aParser);
  boost::asio::awaitable<tl::expected<void, AnswerFailure>> ReadBody(
    boost::beast::tcp_stream& aStream,
    AnswerParser& aParser,
    const AnswerBounds& aBounds);

  /// Gives the parser what is in the buffer.
  tl::expected<void, AnswerFailure> Parse(AnswerParser& aParser);
  /// Reads more into the buffer, or tells the parser of the end.
  boost::asio::awaitable<tl::expected<void, AnswerFailure>> ReadMore(
    boost::beast::tcp_stream& aStream,
    AnswerParser& aParser);

  /// The most that is read ahead of the parser, which itself bounds neither
  /// extensions of chunks nor trailers.
  static constexpr std::size_t kMaxReadAhead = 4UL * kMaxHeaderBytes;

  boost::beast::flat_buffer buffer_{ kMaxReadAhead };
};

} // namespace teaselhold::transport
