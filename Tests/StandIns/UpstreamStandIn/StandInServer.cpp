#include "Tests/StandIns/UpstreamStandIn/StandInServer.h"

#include <sstream>

namespace teaselhold::stand_ins {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Fires the cancellation when the peer closes.
void
WatchForClose(const std::shared_ptr<boost::beast::tcp_stream>& aStream,
              const transport::CancellationPointer& aCancellation)
{
  aStream->socket().async_wait(
    asio::socket_base::wait_read,
    [aStream, aCancellation](const boost::system::error_code& aError) {
      boost::system::error_code error;
      if (!aError && aStream->socket().available(error) == 0) {
        aCancellation->Cancel();
      }
    });
}

} // namespace

StandInServer::StandInServer(asio::io_context& aContext,
                             const std::string& aHost,
                             std::uint16_t aPort,
                             std::size_t aMaxConnections,
                             Upstream& aUpstream)
  : context_(aContext)
  , acceptor_(aContext, { asio::ip::make_address(aHost), aPort })
  , maxConnections_(aMaxConnections)
  , upstream_(aUpstream)
{
}

asio::awaitable<void>
StandInServer::Accept()
{
  while (true) {
    auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
    if (connections_ >= maxConnections_) {
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true));
    asio::co_spawn(
      context_,
      Serve(std::make_shared<boost::beast::tcp_stream>(std::move(socket))),
      asio::detached);
  }
}

asio::awaitable<void>
StandInServer::Serve(Stream aStream)
{
  ++connections_;
  boost::beast::flat_buffer buffer;
  bool open = true;
  while (open) {
    open = co_await ServeRequest(aStream, buffer);
  }
  --connections_;
}

asio::awaitable<bool>
StandInServer::ServeRequest(Stream aStream, boost::beast::flat_buffer& aBuffer)
{
  http::request_parser<http::string_body> parser;
  parser.body_limit(transport::kMaxBodyBytes);
  boost::system::error_code error;
  co_await http::async_read(*aStream,
                            aBuffer,
                            parser,
                            asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return false;
  }
  const auto request = parser.release();
  const auto cancellation = std::make_shared<transport::Cancellation>();
  WatchForClose(aStream, cancellation);
  auto reply = co_await upstream_.Handle(request, cancellation);
  aStream->socket().cancel(error);
  if (cancellation->IsCancelled()) {
    co_return false;
  }
  if (request.method() == http::verb::head) {
    reply.response.content_length(reply.response.body().size());
    reply.response.body().clear();
  } else {
    reply.response.prepare_payload();
  }
  reply.response.keep_alive(request.keep_alive());
  co_return co_await Write(std::move(aStream), std::move(reply));
}

asio::awaitable<bool>
StandInServer::Write(Stream aStream, Reply aReply)
{
  boost::system::error_code error;
  if (aReply.fault == Fault::Reset) {
    co_return false;
  }
  if (aReply.fault == Fault::Silent) {
    co_await aStream->socket().async_wait(
      asio::socket_base::wait_error,
      asio::redirect_error(asio::use_awaitable, error));
    co_return false;
  }
  std::ostringstream text;
  text << aReply.response;
  auto bytes = text.str();
  if (aReply.fault == Fault::Partial) {
    bytes.resize(bytes.size() - aReply.response.body().size() / 2);
  }
  co_await asio::async_write(*aStream,
                             asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error && aReply.fault == Fault::None &&
    aReply.response.keep_alive();
}

} // namespace teaselhold::stand_ins
