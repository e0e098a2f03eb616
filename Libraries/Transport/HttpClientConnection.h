#pragma once

#include "Transport/AnswerMemory.h"
#include "Transport/Answers/AnswerReader.h"
#include "Transport/Cancellation.h"
#include "Transport/HttpMessages.h"
#include "Transport/Limits/PeerLimits.h"
#include "Transport/TransportError.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace teaselhold::transport {

/// What a server's contract says of its answers.
struct AnswerRules
{
  /// The header in which the server echoes the identity of a request. An answer
  /// with another identity is skipped: it is a late one to an earlier request.
  /// Empty checks nothing.
  std::string identityHeader;
  /// An answer without a length is whole if its connection ends without a
  /// reset.
  bool acceptsUnframed = false;
  /// Bounds the answers that are read at the same time; may be nullptr.
  std::shared_ptr<AnswerMemory> memory;
};

/// One HTTP/1.1 connection to a server; carries one request at a time.
class HttpClientConnection
{
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// @param aLimits nullptr takes those of the process.
  explicit HttpClientConnection(boost::asio::io_context& aContext,
                                std::shared_ptr<PeerLimits> aLimits = nullptr);

  /// Every failure is ConnectFailed: nothing was sent.
  /// @param aSilenceLimit time after which bytes that the peer's host has not
  /// acknowledged end the connection; 0 leaves it to the system.
  boost::asio::awaitable<tl::expected<void, TransportError>> Connect(
    std::string aAddress,
    TimePoint aDeadline,
    CancellationPointer aCancellation,
    std::chrono::milliseconds aSilenceLimit);

  /// Sends a request and reads its whole answer. After a failure the
  /// connection cannot be used again. The request must outlive the call. The
  /// answer may come before the whole request is sent. The body of a request
  /// with Expect: 100-continue is sent once the peer invites it; an answer in
  /// place of the invitation leaves the connection usable.
  boost::asio::awaitable<tl::expected<HttpResponse, TransportError>> Exchange(
    const HttpRequest& aRequest,
    TimePoint aDeadline,
    CancellationPointer aCancellation,
    const AnswerRules& aRules);

  /// @return false if the peer closed the idle connection or sent bytes that
  /// belong to no request.
  bool IsReusable();

  const std::string& Address() const { return address_; }

  /// When the peer last answered.
  TimePoint LastAnswer() const { return lastAnswer_; }

  /// When the last request other than a probe ended.
  TimePoint LastUse() const { return lastUse_; }
  void MarkUsed() { lastUse_ = std::chrono::steady_clock::now(); }

private:
  using Result = tl::expected<ReceivedAnswer, TransportError>;
  struct WriteState;

  /// Sends the head and waits for the invitation to send the body.
  /// @return an answer that came instead, or nothing.
  boost::asio::awaitable<
    tl::expected<std::optional<ReceivedAnswer>, TransportError>>
  OfferBody(std::shared_ptr<WriteState> aState, const AnswerRules& aRules);
  boost::asio::awaitable<Result> ReadAnswer(const HttpRequest& aRequest,
                                            const AnswerRules& aRules);
  /// Counts a failure that is due to the limits.
  TransportError ToError(AnswerFailure aFailure);
  boost::asio::awaitable<void> Write(std::shared_ptr<WriteState> aState);

  boost::beast::tcp_stream stream_;
  std::shared_ptr<PeerLimits> limits_;
  DescriptorBudget::LeasePointer lease_;
  /// Of the answer that is being read; set once there is a peer.
  MemoryBudget::HolderPointer memory_;
  AnswerReader reader_;
  std::string address_;
  TimePoint lastAnswer_{};
  TimePoint lastUse_{};
  bool keepAlive_ = true;
};

} // namespace teaselhold::transport
