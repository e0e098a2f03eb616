#include "Transport/HttpServer.h"

#include "Transport/SocketAddress.h"

namespace teaselhold::transport {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::chrono::seconds kIdleTimeout{ 60 };
constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;

} // namespace

HttpServer::HttpServer(asio::io_context& aContext, Handler aHandler)
  : context_(aContext)
  , acceptor_(aContext)
  , shared_(std::make_shared<Shared>())
{
  shared_->handler = std::move(aHandler);
}

tl::expected<std::unique_ptr<HttpServer>, TransportError>
HttpServer::Listen(asio::io_context& aContext,
                   const std::string& aAddress,
                   Handler aHandler)
{
  const auto address = ParseSocketAddress(aAddress);
  if (!address) {
    return tl::make_unexpected(address.error());
  }
  std::unique_ptr<HttpServer> server(
    new HttpServer(aContext, std::move(aHandler)));
  const asio::ip::tcp::endpoint local(asio::ip::make_address(address->host),
                                      address->port);
  boost::system::error_code error;
  auto& acceptor = server->acceptor_;
  acceptor.open(local.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(local, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::make_unexpected(TransportError{ TransportErrorCode::BindFailed,
                                               "cannot listen on " + aAddress +
                                                 ": " + error.message() });
  }
  asio::co_spawn(aContext, server->Accept(), asio::detached);
  return server;
}

void
HttpServer::Drain()
{
  shared_->draining = true;
  boost::system::error_code error;
  acceptor_.close(error);
}

asio::awaitable<void>
HttpServer::Accept()
{
  while (acceptor_.is_open()) {
    boost::system::error_code error;
    auto socket = co_await acceptor_.async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (!error) {
      asio::co_spawn(
        context_, Serve(std::move(socket), shared_), asio::detached);
    }
  }
}

asio::awaitable<void>
HttpServer::Serve(asio::ip::tcp::socket aSocket,
                  std::shared_ptr<Shared> aShared)
{
  boost::beast::tcp_stream stream(std::move(aSocket));
  boost::system::error_code error;
  stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  boost::beast::flat_buffer buffer;
  while (true) {
    stream.expires_after(kIdleTimeout);
    http::request_parser<http::string_body> parser;
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(kMaxBodyBytes);
    co_await http::async_read(
      stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    const bool keepAlive = parser.get().keep_alive();
    ++aShared->inFlight;
    auto response = co_await aShared->handler(parser.release());
    response.keep_alive(keepAlive && !aShared->draining);
    response.prepare_payload();
    stream.expires_after(kIdleTimeout);
    co_await http::async_write(
      stream, response, asio::redirect_error(asio::use_awaitable, error));
    --aShared->inFlight;
    if (error || !response.keep_alive()) {
      stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
      co_return;
    }
  }
}

} // namespace teaselhold::transport
