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
  /// @param aLease nullptr if the connection is refused.
  HttpServerConnection(boost::asio::ip::tcp::socket aSocket,
                       const boost::asio::ip::address& aPeer,
                       DescriptorBudget::LeasePointer aLease,
                       std::shared_ptr<HttpServer::Shared> aShared);

  /// Serves requests until the connection ends.
  boost::asio::awaitable<void> Run();

  /// Answers that the server has too many connections, without reading.
  boost::asio::awaitable<void> Refuse();

  /// Ends the connection if it served requests and none is in progress.
  void EndIfIdle();

  /// Ends the connection if the client took too long.
  /// @param aIsTight little memory is left, so that slow clients end sooner.
  void EndIfOverdue(std::chrono::steady_clock::time_point aNow, bool aIsTight);

  /// Closes the connection for another one if it is idle in this way.
  /// @return false if it is not.
  bool MakeWay(IdleKind aKind);

private:
  using TimePoint = std::chrono::steady_clock::time_point;
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;
  template<typename Value>
  using Awaitable = boost::asio::awaitable<Value>;

  /// A request that was read and not answered yet.
  struct Exchange;
  using ExchangePointer = std::shared_ptr<Exchange>;

  Awaitable<bool> WaitForRequest();
  Awaitable<ExchangePointer> ReadExchange();
  /// Reads a head, and takes the memory of its request.
  Awaitable<bool> ReadHead(Parser& aParser, Exchange& aExchange);
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
  /// Answers a request that no limit has room for.
  Awaitable<void> Turn(PeerRefusal aRefusal);
  /// Closes the connection at once; its requests are cancelled.
  void Break();
  Awaitable<void> LingeringClose();
  bool IsClosedByClient();
  /// True if bytes of a further request have arrived.
  bool HasMoreToRead() const;
  void SetReadLimit(std::chrono::milliseconds aTime);
  void SetWriteLimit(std::chrono::milliseconds aTime);

  boost::asio::ip::tcp::socket socket_;
  DescriptorBudget::LeasePointer lease_;
  boost::beast::flat_buffer buffer_;
  std::shared_ptr<HttpServer::Shared> shared_;
  /// Oldest first.
  std::deque<ExchangePointer> exchanges_;
  /// Wakes the reader while it waits for answers to leave.
  boost::asio::steady_timer wake_;
  /// A wait for the client. Reads and writes go on at the same time, so that
  /// each has limits of its own.
  struct Limit
  {
    TimePoint since;
    TimePoint until = TimePoint::max();
  };
  Limit reading_;
  Limit writing_;
  MemoryBudget::HolderPointer memory_;
  /// What an open connection takes without a request.
  MemoryShare ownMemory_;
  bool isWriting_ = false;
  /// The last answer told the client that the connection ends.
  bool isClosing_ = false;
  bool isBroken_ = false;
  bool idle_ = false;
  /// From the first byte of a request until its handler has it.
  bool isReading_ = false;
  bool hasServed_ = false;
  /// The client has its last answer; the rest that it sends is dropped.
  bool isLingering_ = false;
};

struct HttpServer::Shared
{
  using Connections =
    boost::intrusive::list<HttpServerConnection,
                           boost::intrusive::constant_time_size<false>>;

  CancellableHandler handler;
  HttpServerOptions options;
  /// Closes the connection that has been idle for the longest time.
  bool CloseIdle(IdleKind aKind);

  Connections connections;
  std::size_t open = 0;
  std::size_t refusing = 0;
  std::size_t inFlight = 0;
  bool closeAfterAnswers = false;
  bool draining = false;
};

} // namespace teaselhold::transport
