#include "Transport/HttpClientConnection.h"

#include "Transport/SocketAddress.h"

#include <netinet/tcp.h>
#include <optional>

namespace teaselhold::transport {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using UserTimeout =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// An unreachable host is given up early, while there is time to send the
/// request to another one. Regions are at most about 100 ms apart.
constexpr std::chrono::milliseconds kConnectTimeout{ 500 };

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

/// By number, because Beast does not know the name of each interim status.
bool
IsInterim(const HttpResponse& aResponse)
{
  constexpr unsigned kSwitchingProtocols = 101;
  const auto status = aResponse.result_int();
  return status / 100 == 1 && status != kSwitchingProtocols;
}

} // namespace

HttpClientConnection::HttpClientConnection(asio::io_context& aContext)
  : stream_(aContext)
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
  const Cancellation::Scope scope(aCancellation, [this] { stream_.close(); });
  stream_.expires_at(
    std::min(aDeadline, std::chrono::steady_clock::now() + kConnectTimeout));
  boost::system::error_code error;
  co_await stream_.async_connect(
    asio::ip::tcp::endpoint(asio::ip::make_address(address->host),
                            address->port),
    asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return tl::make_unexpected(
      TransportError{ TransportErrorCode::ConnectFailed, error.message() });
  }
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), error);
  if (aSilenceLimit.count() > 0) {
    stream_.socket().set_option(
      UserTimeout(static_cast<int>(aSilenceLimit.count())), error);
  }
  address_ = std::move(aAddress);
  co_return tl::expected<void, TransportError>();
}

asio::awaitable<tl::expected<HttpResponse, TransportError>>
HttpClientConnection::Exchange(const HttpRequest& aRequest,
                               TimePoint aDeadline,
                               CancellationPointer aCancellation)
{
  const Cancellation::Scope scope(aCancellation, [this] { stream_.close(); });
  stream_.expires_at(aDeadline);
  boost::system::error_code error;
  co_await http::async_write(
    stream_, aRequest, asio::redirect_error(asio::use_awaitable, error));
  // A server may answer before it has read the whole request and then close:
  // the answer is read even if the write failed.
  const bool timedOut = error == boost::beast::error::timeout;
  if (timedOut || IsCancelled(aCancellation)) {
    co_return tl::make_unexpected(ToTransportError(error, aCancellation));
  }
  const bool wholeRequestSent = !error;
  auto answer = co_await ReadAnswer(aRequest.method() == http::verb::head);
  if (!answer && IsCancelled(aCancellation)) {
    answer = tl::make_unexpected(ToTransportError(error, aCancellation));
  }
  keepAlive_ = wholeRequestSent && answer && answer->keep_alive();
  stream_.expires_never();
  lastAnswer_ = std::chrono::steady_clock::now();
  co_return answer;
}

asio::awaitable<tl::expected<HttpResponse, TransportError>>
HttpClientConnection::ReadAnswer(bool aIsHead)
{
  while (true) {
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
      co_return tl::make_unexpected(ToTransportError(error, nullptr));
    }
    if (IsInterim(parser.get())) {
      continue;
    }
    // The end of such an answer cannot be told from a lost connection.
    if (parser.need_eof()) {
      co_return tl::make_unexpected(TransportError{
        TransportErrorCode::PartialAnswer, "the answer has no length" });
    }
    if (!parser.is_done()) {
      co_await http::async_read(
        stream_,
        buffer_,
        parser,
        asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) {
      co_return parser.release();
    }
    auto failure = ToTransportError(error, nullptr);
    if (failure.code == TransportErrorCode::ConnectionLost) {
      failure.code = TransportErrorCode::PartialAnswer;
    }
    co_return tl::make_unexpected(std::move(failure));
  }
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
