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

/// Interim answers before an answer. A server that sends them without end
/// would keep the thread busy past the deadline, which ends only waits.
constexpr int kMaxInterimAnswers = 16;

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
  if (aError == http::error::end_of_stream ||
      aError.category() !=
        make_error_code(http::error::end_of_stream).category()) {
    return { TransportErrorCode::ConnectionLost, aError.message() };
  }
  return { TransportErrorCode::PartialAnswer, aError.message() };
}

/// Without its body a request cannot run, so the failure is a certain one.
TransportError
ToOfferError(TransportError aError)
{
  const bool isLate = aError.code == TransportErrorCode::Timeout;
  return { isLate ? TransportErrorCode::NotInvited
                  : TransportErrorCode::ConnectFailed,
           std::move(aError.message) };
}

/// By number, because Beast does not know the name of each interim status.
bool
IsInterim(const HttpResponse& aResponse)
{
  constexpr unsigned kSwitchingProtocols = 101;
  const auto status = aResponse.result_int();
  return status / 100 == 1 && status != kSwitchingProtocols;
}

/// @return what the body of an answer holds after the next part. One of known
/// length is reserved, and takes memory only as it is filled; others double.
std::uint64_t
NextAnswerBytes(const http::response_parser<http::string_body>& aParser)
{
  constexpr std::uint64_t kPartBytes = 4UL * kMaxHeaderBytes;
  const auto& body = aParser.get().body();
  const auto needed = body.size() + kPartBytes;
  if (const auto length = aParser.content_length()) {
    return std::min<std::uint64_t>(needed, *length);
  }
  const std::uint64_t capacity = body.capacity();
  return needed <= capacity ? capacity : std::max(2 * capacity, needed);
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

  http::request_serializer<http::string_body> serializer;

  bool isDone = false;
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

asio::awaitable<tl::expected<std::optional<HttpResponse>, TransportError>>
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
  auto answer = co_await ReadMessage(false, aRules, true);
  if (!answer) {
    co_return tl::make_unexpected(std::move(answer.error()));
  }
  if (answer->result() == http::status::continue_) {
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
      keepAlive_ = instead && (*instead)->keep_alive();
      if (instead) {
        co_return std::move(**instead);
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
    stream_.close();
  }
  while (!writing->isDone) {
    boost::system::error_code error;
    co_await writing->finished.async_wait(
      asio::redirect_error(asio::use_awaitable, error));
  }
  keepAlive_ = wholeRequestSent && answer && answer->keep_alive();
  stream_.expires_never();
  lastAnswer_ = std::chrono::steady_clock::now();
  co_return answer;
}

asio::awaitable<tl::expected<HttpResponse, TransportError>>
HttpClientConnection::ReadAnswer(const HttpRequest& aRequest,
                                 const AnswerRules& aRules)
{
  const auto& header = aRules.identityHeader;
  const bool isHead = aRequest.method() == http::verb::head;
  for (int skipped = 0; skipped <= kMaxSkippedAnswers; ++skipped) {
    auto answer = co_await ReadMessage(isHead, aRules, false);
    if (!answer || header.empty()) {
      co_return answer;
    }
    const auto identity = (*answer)[header];
    if (identity == aRequest[header]) {
      co_return answer;
    }
    // A refusal may come from before the server read the identity.
    const bool isRefusal =
      to_status_class(answer->result()) != http::status_class::successful;
    if (identity.empty() && isRefusal) {
      co_return answer;
    }
    if (identity.empty() || !answer->keep_alive()) {
      break;
    }
  }
  co_return tl::make_unexpected(TransportError{
    TransportErrorCode::ForeignAnswer, "the answer has another identity" });
}

asio::awaitable<tl::expected<HttpResponse, TransportError>>
HttpClientConnection::ReadMessage(bool aIsHead,
                                  const AnswerRules& aRules,
                                  bool aStopsAtInvitation)
{
  for (int interim = 0; interim <= kMaxInterimAnswers; ++interim) {
    http::response_parser<http::string_body> parser;
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(kMaxBodyBytes);
    parser.skip(aIsHead);
    boost::system::error_code error;
    co_await http::async_read_header(
      stream_,
      buffer_,
      parser,
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return tl::make_unexpected(FailRead(error));
    }
    const bool isInvitation =
      aStopsAtInvitation && parser.get().result() == http::status::continue_;
    if (isInvitation) {
      co_return parser.release();
    }
    if (IsInterim(parser.get())) {
      continue;
    }
    if (parser.need_eof() && !aRules.acceptsUnframed) {
      co_return tl::make_unexpected(TransportError{
        TransportErrorCode::PartialAnswer, "the answer has no length" });
    }
    error = co_await ReadBody(parser, aRules.memory);
    if (!error) {
      auto answer = parser.release();
      // Its length is known now; the connection ends with it.
      answer.keep_alive(answer.keep_alive() && !parser.need_eof());
      co_return answer;
    }
    auto failure = FailRead(error);
    if (failure.code == TransportErrorCode::ConnectionLost) {
      failure.code = TransportErrorCode::PartialAnswer;
    }
    co_return tl::make_unexpected(std::move(failure));
  }
  co_return tl::make_unexpected(TransportError{
    TransportErrorCode::PartialAnswer, "interim answers without an answer" });
}

TransportError
HttpClientConnection::FailRead(const boost::system::error_code& aError)
{
  if (aError == http::error::buffer_overflow ||
      aError == http::error::header_limit) {
    limits_->Count(PeerRefusal::AnswerFraming);
  }
  return ToTransportError(aError, nullptr);
}

asio::awaitable<boost::system::error_code>
HttpClientConnection::ReadBody(
  http::response_parser<http::string_body>& aParser,
  std::shared_ptr<AnswerMemory> aMemory)
{
  AnswerMemory::Share share(std::move(aMemory));
  MemoryShare processShare(memory_);
  boost::system::error_code error;
  aParser.eager(true);
  while (!aParser.is_done()) {
    const auto next = NextAnswerBytes(aParser) + buffer_.capacity();
    if (!processShare.TryResize(MemoryUse::Answer, next)) {
      limits_->Count(PeerRefusal::AnswerMemory);
      co_return make_error_code(http::error::body_limit);
    }
    co_await http::async_read_some(
      stream_,
      buffer_,
      aParser,
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return error;
    }
    if (!share.GrowTo(aParser.get().body().size())) {
      limits_->Count(PeerRefusal::AnswerMemory);
      co_return make_error_code(http::error::body_limit);
    }
  }
  co_return error;
}

bool
HttpClientConnection::IsReusable()
{
  if (!keepAlive_ || buffer_.size() > 0) {
    return false;
  }
  boost::system::error_code error;
  stream_.socket().non_blocking(true, error);
  char byte = 0;
  stream_.socket().receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace teaselhold::transport
