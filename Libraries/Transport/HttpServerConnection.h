#pragma once

#include "Transport/HttpServer.h"

#include <boost/intrusive/list.hpp>
#include <optional>

namespace teaselhold::transport {

/// One accepted connection of an HttpServer.
class HttpServerConnection
  : public std::enable_shared_from_this<HttpServerConnection>
  , public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  HttpServerConnection(boost::asio::ip::tcp::socket aSocket,
                       std::shared_ptr<HttpServer::Shared> aShared);

  /// Serves requests until the connection ends.
  boost::asio::awaitable<void> Run();

  /// Answers that the server has too many connections, without reading.
  boost::asio::awaitable<void> Refuse();

  /// Ends the connection if no request is in progress.
  void EndIfIdle();

private:
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;
  template<typename Value>
  using Awaitable = boost::asio::awaitable<Value>;

  /// Counts one request and its body against the server's bounds.
  class Reservation;

  Awaitable<bool> WaitForRequest();
  Awaitable<bool> ServeRequest();
  Awaitable<std::optional<HttpRequest>> ReadRequest(Reservation& aReservation);
  Awaitable<bool> ReadBody(Parser& aParser, Reservation& aReservation);
  Awaitable<HttpResponse> Handle(HttpRequest aRequest,
                                 CancellationPointer aCancellation);
  Awaitable<bool> Write(HttpResponse& aResponse);
  Awaitable<void> WriteError(boost::beast::http::status aStatus,
                             const char* aReason);
  Awaitable<void> Reject(const boost::system::error_code& aError);
  Awaitable<void> LingeringClose();
  bool IsClosedByClient();
  void WatchForClose(CancellationPointer aCancellation);

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::shared_ptr<HttpServer::Shared> shared_;
  bool idle_ = false;
};

struct HttpServer::Shared
{
  using Connections =
    boost::intrusive::list<HttpServerConnection,
                           boost::intrusive::constant_time_size<false>>;

  CancellableHandler handler;
  HttpServerOptions options;
  Connections connections;
  std::size_t open = 0;
  std::size_t inFlight = 0;
  std::uint64_t bufferedBytes = 0;
  bool closeAfterAnswers = false;
  bool draining = false;
};

} // namespace teaselhold::transport
