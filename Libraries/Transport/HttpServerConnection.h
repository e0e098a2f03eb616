#pragma once

#include "Transport/HttpServer.h"

#include <boost/intrusive/list.hpp>
#include <deque>
#include <optional>

namespace teaselhold::transport {

/// One accepted connection of an HttpServer. Requests that a client sends
/// before it has the answer to the first one are handled at the same time and
/// answered in the order in which they came. The connection is read all the
/// while, so that the client's close is noticed at once.
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

  /// Ends the connection if it served requests and none is in progress.
  void EndIfIdle();

  /// Ends the connection if the client took too long.
  void EndIfOverdue(std::chrono::steady_clock::time_point aNow);

private:
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;
  template<typename Value>
  using Awaitable = boost::asio::awaitable<Value>;

  /// Counts one request and its body against the server's bounds.
  class Reservation;
  /// A request that was read and not answered yet.
  struct Exchange;
  using ExchangePointer = std::shared_ptr<Exchange>;

  Awaitable<bool> WaitForRequest();
  Awaitable<ExchangePointer> ReadExchange();
  /// Invites a body that the client offers, unless the server refuses it.
  Awaitable<BodyAdmission> InviteBody(const HttpRequest& aHead);
  Awaitable<bool> ReadBody(Parser& aParser,
                           Exchange& aExchange,
                           const BodyAdmission& aAdmission);
  Awaitable<void> Handle(ExchangePointer aExchange);
  Awaitable<void> WriteAnswers();
  bool PrepareNextAnswer(Exchange& aExchange);
  bool MayReadMore() const;
  Awaitable<void> WaitForRoom();
  Awaitable<void> WaitForAnswers();
  void WakeReader();
  /// Notices the client's close while the connection is not read.
  void WatchForClose();
  void CancelExchanges();
  Awaitable<bool> Write(HttpResponse& aResponse);
  /// Writes a large answer in pieces.
  Awaitable<bool> WritePaced(HttpResponse& aResponse);
  Awaitable<void> WriteError(boost::beast::http::status aStatus,
                             const char* aReason);
  Awaitable<void> Reject(const boost::system::error_code& aError);
  Awaitable<void> LingeringClose();
  bool IsClosedByClient();
  /// True if bytes of a further request have arrived.
  bool HasMoreToRead() const;
  void SetDeadline(std::chrono::milliseconds aTime);

  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::shared_ptr<HttpServer::Shared> shared_;
  /// Oldest first.
  std::deque<ExchangePointer> exchanges_;
  /// Wakes the reader while it waits for answers to leave.
  boost::asio::steady_timer wake_;
  /// When the current wait for the client ends.
  std::chrono::steady_clock::time_point deadline_ =
    std::chrono::steady_clock::time_point::max();
  bool isWriting_ = false;
  /// The last answer told the client that the connection ends.
  bool isClosing_ = false;
  bool isBroken_ = false;
  bool idle_ = false;
  /// From the first byte of a request until its handler has it.
  bool isReading_ = false;
  bool hasServed_ = false;
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
