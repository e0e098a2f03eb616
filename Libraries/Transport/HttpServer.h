#pragma once

#include "Transport/Cancellation.h"
#include "Transport/HttpMessages.h"
#include "Transport/Limits/PeerLimits.h"
#include "Transport/TransportError.h"

#include <chrono>
#include <functional>
#include <optional>
#include <tl/expected.hpp>

namespace teaselhold::transport {

class HttpServerConnection;

/// The decision on a body that a client offers with Expect: 100-continue.
struct BodyAdmission
{
  /// Sent in place of the invitation; the client keeps the body.
  std::optional<HttpResponse> refusal;
  /// Held until the body has arrived.
  std::shared_ptr<void> permit;
  /// Called with the number of bytes of each part that arrives; may be empty.
  std::function<void(std::uint64_t)> onReceived;
};

using BodyAdmitter =
  std::function<boost::asio::awaitable<BodyAdmission>(const HttpRequest&)>;

/// Waits until a part of an answer's body may be written.
/// @return the size of the part, at least 1.
using NextPiece = std::function<boost::asio::awaitable<std::size_t>()>;

/// How answers share the outgoing link.
struct AnswerPacing
{
  /// Bodies from this size on are written in pieces.
  std::size_t largeBytes = 0;
  /// Registers a large body of the given size. The function that it returns is
  /// called for each piece until all bytes are written, and destroyed when the
  /// answer ends.
  std::function<NextPiece(std::size_t)> begin;
  /// Called with the size of each smaller answer.
  std::function<void(std::size_t)> onSmallAnswer;
};

/// Bounds on what clients may occupy.
struct HttpServerOptions
{
  /// Nothing writes each answer at once.
  std::optional<AnswerPacing> pacing;
  /// Asked before a body is invited; empty invites at once.
  BodyAdmitter admitBody;
  std::size_t maxConnections = 4096;
  /// False for calls of the host, which need no descriptor of their own.
  bool countsRequests = true;
  std::uint32_t maxHeaderBytes = kMaxHeaderBytes;
  std::uint64_t maxBodyBytes = kMaxBodyBytes;
  /// Shared with all other connections; nullptr takes those of the process.
  std::shared_ptr<PeerLimits> limits;
  /// From the first byte of a request to the end of its head.
  std::chrono::milliseconds headerTimeout{ 5000 };
  /// From the end of the head to the end of the body, and 1 s more for each
  /// MiB that has arrived.
  std::chrono::milliseconds bodyTimeout{ 20000 };
  /// Longer than the client pool keeps idle connections, so that the client
  /// closes them and no request crosses with the close.
  std::chrono::milliseconds idleTimeout{ 60000 };
  /// For an answer, or for each piece of a paced one. The pieces together have
  /// 1 s more for each 64 KiB.
  std::chrono::milliseconds writeTimeout{ 20000 };
};

/// Serves HTTP/1.1. Runs on the io_context it is given.
class HttpServer
{
public:
  using Handler =
    std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;
  /// The cancellation fires when the client closes its connection before it
  /// has the answer.
  using CancellableHandler =
    std::function<boost::asio::awaitable<HttpResponse>(HttpRequest,
                                                       CancellationPointer)>;

  static tl::expected<std::unique_ptr<HttpServer>, TransportError> Listen(
    boost::asio::io_context& aContext,
    const std::string& aAddress,
    CancellableHandler aHandler,
    HttpServerOptions aOptions = {});

  static tl::expected<std::unique_ptr<HttpServer>, TransportError> Listen(
    boost::asio::io_context& aContext,
    const std::string& aAddress,
    Handler aHandler,
    HttpServerOptions aOptions = {});

  /// Bounds what clients may send from now on.
  void SetLimits(std::uint32_t aMaxHeaderBytes,
                 std::uint64_t aMaxBodyBytes,
                 std::chrono::milliseconds aHeaderTimeout,
                 std::chrono::milliseconds aIdleTimeout);

  /// Ends each connection after its next answer; still accepts new ones.
  void CloseAfterAnswers();

  /// Stops accepting; each connection ends after its next answer. Connections
  /// that wait to be accepted are still served.
  void Drain();

  /// Ends idle connections that served a request before. One in whose socket
  /// the bytes of a request wait goes on, and so does a new one.
  void EndIdle();

  /// Requests that are being received, handled or answered.
  std::size_t InFlight() const;

  /// Open connections, idle ones included.
  std::size_t Connections() const;

private:
  friend class HttpServerConnection;
  /// Shared with the connections, which may outlive the server.
  struct Shared;

  HttpServer(boost::asio::io_context& aContext,
             CancellableHandler aHandler,
             const HttpServerOptions& aOptions);
  boost::asio::awaitable<void> Accept();
  /// Ends connections whose clients take too long.
  static boost::asio::awaitable<void> Sweep(std::weak_ptr<Shared> aShared);
  void Serve(boost::asio::ip::tcp::socket aSocket);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<Shared> shared_;
};

} // namespace teaselhold::transport
