#pragma once

#include "Transport/HttpClientPool.h"

#include <functional>

namespace teaselhold::transport {

/// Serves HTTP/1.1. Each connection carries one request at a time, so that
/// answers cannot cross on it. Runs on the io_context it is given.
class HttpServer
{
public:
  using Handler =
    std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

  static tl::expected<std::unique_ptr<HttpServer>, TransportError> Listen(
    boost::asio::io_context& aContext,
    const std::string& aAddress,
    Handler aHandler);

  /// Stops accepting; open connections end after their current request.
  void Drain();

  /// Requests that are being handled.
  std::size_t InFlight() const { return shared_->inFlight; }

private:
  /// Shared with the connections, which may outlive the server.
  struct Shared
  {
    Handler handler;
    std::size_t inFlight = 0;
    bool draining = false;
  };

  HttpServer(boost::asio::io_context& aContext, Handler aHandler);
  boost::asio::awaitable<void> Accept();
  static boost::asio::awaitable<void> Serve(
    boost::asio::ip::tcp::socket aSocket,
    std::shared_ptr<Shared> aShared);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<Shared> shared_;
};

} // namespace teaselhold::transport
