#include "Transport/HttpClientPool.h"

#include "Transport/SocketAddress.h"

namespace teaselhold::transport {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

TransportError
ToTransportError(const boost::system::error_code& aError)
{
  if (aError == boost::beast::error::timeout) {
    return { TransportErrorCode::Timeout, aError.message() };
  }
  if (aError == http::error::partial_message) {
    return { TransportErrorCode::PartialAnswer, aError.message() };
  }
  return { TransportErrorCode::ConnectionLost, aError.message() };
}

/// Detects a connection that the peer closed while it was idle.
bool
IsStillOpen(boost::beast::tcp_stream& aStream)
{
  boost::system::error_code error;
  aStream.socket().non_blocking(true, error);
  char byte = 0;
  aStream.socket().receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace

HttpClientPool::HttpClientPool(asio::io_context& aContext,
                               std::size_t aMaxIdleConnections)
  : context_(aContext)
  , maxIdleConnections_(aMaxIdleConnections)
{
}

asio::awaitable<
  tl::expected<std::unique_ptr<HttpClientPool::Stream>, TransportError>>
HttpClientPool::Connect(const std::string& aAddress,
                        std::chrono::steady_clock::time_point aDeadline)
{
  auto& idle = idle_[aAddress];
  while (!idle.empty()) {
    auto stream = std::move(idle.back());
    idle.pop_back();
    if (IsStillOpen(*stream)) {
      co_return stream;
    }
  }
  const auto address = ParseSocketAddress(aAddress);
  if (!address) {
    co_return tl::make_unexpected(address.error());
  }
  auto stream = std::make_unique<Stream>(context_);
  stream->expires_at(aDeadline);
  boost::system::error_code error;
  co_await stream->async_connect(
    asio::ip::tcp::endpoint(asio::ip::make_address(address->host),
                            address->port),
    asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return tl::make_unexpected(
      TransportError{ TransportErrorCode::ConnectFailed, error.message() });
  }
  stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return stream;
}

asio::awaitable<tl::expected<HttpResponse, TransportError>>
HttpClientPool::Send(std::string aAddress,
                     HttpRequest aRequest,
                     std::chrono::steady_clock::time_point aDeadline)
{
  auto connected = co_await Connect(aAddress, aDeadline);
  if (!connected) {
    co_return tl::make_unexpected(connected.error());
  }
  auto stream = std::move(*connected);
  stream->expires_at(aDeadline);
  boost::system::error_code error;
  co_await http::async_write(
    *stream, aRequest, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return tl::make_unexpected(ToTransportError(error));
  }
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  co_await http::async_read(
    *stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return tl::make_unexpected(ToTransportError(error));
  }
  auto response = parser.release();
  // Bytes after the answer would be taken for the next request's answer.
  if (response.keep_alive() && buffer.size() == 0) {
    stream->expires_never();
    auto& idle = idle_[aAddress];
    if (idle.size() < maxIdleConnections_) {
      idle.push_back(std::move(stream));
    }
  }
  co_return response;
}

} // namespace teaselhold::transport
