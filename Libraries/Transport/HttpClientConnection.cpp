#include "Transport/HttpClientConnection.h"

#include "Transport/SocketAddress.h"
#include "Transport/SocketOptions.h"

namespace teaselhold::transport {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// An unreachable host is given up early, while there is time to send the
/// request to another one. Regions are at most about 100 ms apart.
constexpr std::chrono::milliseconds kConnectTimeout{ 300 };

/// A smaller request fits into the socket's buffer, so it is written before the
/// answer is read.
constexpr std::size_t kSmallBodyBytes = std::size_t{ 8 } * 1024;

/// Late answers that are skipped before a connection is given up.
constexpr int kMaxSkippedAnswers = 4;

/// Tells what an error of the connection means for a request that was written.
TransportError
ToTransportError(const boost::system::error_code& aError,
                 const CancellationPointer& aCancellation)
{
  if (IsCancelled(aCancellation)) {
    return { TransportErrorCode::Cancelled, "the caller is gone" };
  }
  if (aError == boost::beast::error::timeout) {
    return { TransportErrorCode::Timeout, aError.message() };
  }
  return { TransportErrorCode::ConnectionLost, aError.message() };
}

/// Without its body a request cannot run, so the failure is a certain one. Only
/// a peer that sent what is no answer is not relied on.
TransportError
ToOfferError(TransportError aError)
{
  if (aError.code == TransportErrorCode::PartialAnswer) {
    return aError;
  }
  const bool isLate = aError.code == TransportErrorCode::Timeout;
  return { isLate ? TransportErrorCode::NotInvited
                  : TransportErrorCode::ConnectFailed,
           std::move(aError.message) };
}

} // namespace

HttpClientConnection::HttpClientConnection(asio::io_context& aContext,
                                           std::shared_ptr<PeerLimits> aLimits)
  : stream_(aContext)
  , limits_(aLimits == nullptr ? PeerLimits::OfProcess() : std::move(aLimits))
{
}

asio::awaitable<tl::expected<void, TransportError>>
HttpClientConnection::Connect(std::string aAddress,
                              TimePoint aDeadline,
                              CancellationPointer aCancellation,
                              std::chrono::milliseconds aSilenceLimit)
{
  const auto address = ParseSocketAddress(aAddress);
  if (!address) {
    co_return tl::make_unexpected(address.error());
  }
  lease_ = limits_->descriptors->Connect();
  if (lease_ == nullptr) {
    limits_->Count(PeerRefusal::Connections);
    co_return tl::make_unexpected(TransportError{
      TransportErrorCode::ConnectFailed, "no descriptor is free" });
  }
  const auto peer = asio::ip::make_address(address->host);
  memory_ = std::make_shared<MemoryBudget::Holder>(limits_->memory, peer);
  const Cancellation::Scope scope(aCancellation, [this] { stream_.close(); });
  stream_.expires_at(
    std::min(aDeadline, std::chrono::steady_clock::now() + kConnectTimeout));
  boost::system::error_code error;
  co_await stream_.async_connect(
    asio::ip::tcp::endpoint(peer, address->port),
    asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return tl::make_unexpected(
      TransportError{ TransportErrorCode::ConnectFailed, error.message() });
  }
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), error);
  if (aSilenceLimit.count() > 0) {
    SetRequestOptions(stream_.socket());
  }
  address_ = std::move(aAddress);
  co_return tl::expected<void, TransportError>();
}

/// The sending half of an exchange, which may outlast the answer.
struct HttpClientConnection::WriteState
{
  WriteState(const asio::any_io_executor& aExecutor,
             const HttpRequest& aRequest)
    : serializer(aRequest)
    , finished(aExecutor, asio::steady_timer::time_point::max())
  {
  }

  /// @return true if the connection failed under the writer. An error that
  /// follows from closing the connection on this side is none.
  bool HasFailed() const
  {
    const bool isOwnClose =
      isAbandoned && (error == asio::error::operation_aborted ||
                      error == asio::error::bad_descriptor);
    return error && !isOwnClose;
  }

  http::request_serializer<http::string_body> serializer;

  bool isDone = false;
  /// The connection was closed before the whole request was sent.
  bool isAbandoned = false;
  boost::system::error_code error;
  asio::steady_timer finished;
};

asio::awaitable<void>
HttpClientConnection::Write(std::shared_ptr<WriteState> aState)
{
  co_await http::async_write(
    stream_,
    aState->serializer,
    asio::redirect_error(asio::use_awaitable, aState->error));
  aState->isDone = true;
  aState->finished.cancel();
}

asio::awaitable<tl::expected<std::optional<ReceivedAnswer>, TransportError>>
HttpClientConnection::OfferBody(std::shared_ptr<WriteState> aState,
                                const AnswerRules& aRules)
{
  aState->serializer.split(true);
  boost::system::error_code error;
  co_await http::async_write_header(
    stream_,
    aState->serializer,
    asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return tl::make_unexpected(ToTransportError(error, nullptr));
  }
  const AnswerRequest awaited{ false, aRules.acceptsUnframed, true };
  const AnswerBounds bounds{ kMaxBodyBytes, aRules.memory, memory_, {} };
  auto answer = co_await reader_.Read(stream_, awaited, bounds);
  if (!answer) {
    co_return tl::make_unexpected(ToError(std::move(answer.error())));
  }
  if (answer->message.result() == http::status::continue_) {
    co_return std::nullopt;
  }
  co_return std::move(*answer);
}

asio::awaitable<tl::expected<HttpResponse, TransportError>>
HttpClientConnection::Exchange(const HttpRequest& aRequest,
                               TimePoint aDeadline,
                               CancellationPointer aCancellation,
                               const AnswerRules& aRules)
{
  const Cancellation::Scope scope(aCancellation, [this] { stream_.close(); });
  stream_.expires_at(aDeadline);
  const auto writing =
    std::make_shared<WriteState>(stream_.get_executor(), aRequest);
  if (aRequest.count(http::field::expect) > 0) {
    auto instead = co_await OfferBody(writing, aRules);
    if (!instead || *instead) {
      stream_.expires_never();
      lastAnswer_ = std::chrono::steady_clock::now();
      keepAlive_ = instead && (*instead)->keepsConnection;
      if (instead) {
        co_return std::move((*instead)->message);
      }
      if (IsCancelled(aCancellation)) {
        co_return tl::make_unexpected(TransportError{
          TransportErrorCode::Cancelled, "the caller is gone" });
      }
      co_return tl::make_unexpected(ToOfferError(std::move(instead.error())));
    }
  }
  if (aRequest.body().size() <= kSmallBodyBytes) {
    co_await Write(writing);
    // A server may answer before it has read the whole request and then close:
    // the answer is read even if the write failed.
    const bool timedOut = writing->error == boost::beast::error::timeout;
    if (timedOut || IsCancelled(aCancellation)) {
      co_return tl::make_unexpected(
        ToTransportError(writing->error, aCancellation));
    }
  } else {
    asio::co_spawn(stream_.get_executor(), Write(writing), asio::detached);
  }
  auto answer = co_await ReadAnswer(aRequest, aRules);
  if (!answer && IsCancelled(aCancellation)) {
    answer = tl::make_unexpected(
      TransportError{ TransportErrorCode::Cancelled, "the caller is gone" });
  }
  const bool wholeRequestSent = writing->isDone && !writing->error;
  if (!writing->isDone) {
    // The rest of the body must not be taken for another request.
    writing->isAbandoned = true;
    stream_.close();
  }
  while (!writing->isDone) {
    boost::system::error_code error;
    co_await writing->finished.async_wait(
      asio::redirect_error(asio::use_awaitable, error));
  }
  if (answer && answer->isUnframed && writing->HasFailed()) {
    // The system reports a reset once, to the writer or to the reader. If the
    // writer was told, what the reader saw of it looks like a close.
    answer = tl::make_unexpected(
      TransportError{ TransportErrorCode::PartialAnswer,
                      "the connection was reset inside the answer" });
  }
  keepAlive_ = wholeRequestSent && answer && answer->keepsConnection;
  stream_.expires_never();
  lastAnswer_ = std::chrono::steady_clock::now();
  if (!answer) {
    co_return tl::make_unexpected(std::move(answer.error()));
  }
  co_return std::move(answer->message);
}

asio::awaitable<HttpClientConnection::Result>
HttpClientConnection::ReadAnswer(const HttpRequest& aRequest,
                                 const AnswerRules& aRules)
{
  const auto& header = aRules.identityHeader;
  const AnswerRequest awaited{ aRequest.method() == http::verb::head,
                               aRules.acceptsUnframed,
                               false };
  const AnswerBounds bounds{ kMaxBodyBytes, aRules.memory, memory_, {} };
  for (int skipped = 0; skipped <= kMaxSkippedAnswers; ++skipped) {
    auto answer = co_await reader_.Read(stream_, awaited, bounds);
    if (!answer) {
      co_return tl::make_unexpected(ToError(std::move(answer.error())));
    }
    if (header.empty()) {
      co_return std::move(*answer);
    }
    const auto identity = answer->message[header];
    if (identity == aRequest[header]) {
      co_return std::move(*answer);
    }
    // A refusal may come from before the server read the identity.
    const bool isRefusal = to_status_class(answer->message.result()) !=
                           http::status_class::successful;
    if (identity.empty() && isRefusal) {
      co_return std::move(*answer);
    }
    if (identity.empty() || !answer->keepsConnection) {
      break;
    }
  }
  co_return tl::make_unexpected(TransportError{
    TransportErrorCode::ForeignAnswer, "the answer has another identity" });
}

TransportError
HttpClientConnection::ToError(AnswerFailure aFailure)
{
  if (aFailure.fault == AnswerFault::TooLong) {
    limits_->Count(PeerRefusal::AnswerFraming);
  }
  if (aFailure.fault == AnswerFault::NoMemory) {
    limits_->Count(PeerRefusal::AnswerMemory);
  }
  return std::move(aFailure.error);
}

bool
HttpClientConnection::IsReusable()
{
  return keepAlive_ && !reader_.HasRest() && IsQuiet(stream_.socket());
}

} // namespace teaselhold::transport
