#pragma once

#include "Transport/HttpClientConnection.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace teaselhold::transport {

struct HttpClientOptions
{
  /// For each address.
  std::size_t maxIdleConnections = 64;
  /// An idle connection is closed this long after its last request. Less than
  /// the idle time of servers, so that no request crosses with their close.
  std::chrono::milliseconds maxIdleTime{ 20000 };
  /// Path that probes of idle connections ask for; empty sends no probes.
  std::string probePath;
  /// Not 0: a peer that went silent without a reset ends the connection after
  /// a few seconds.
  std::chrono::milliseconds silenceLimit{ 0 };
  AnswerRules rules;
  /// Shared with all other connections; nullptr takes those of the process.
  std::shared_ptr<PeerLimits> limits;
  /// Connections that were opened, counted for the metrics; may be nullptr.
  std::shared_ptr<std::atomic<std::uint64_t>> opened;
};

enum class ConnectionChoice : std::uint8_t
{
  Pooled,
  /// Opens a connection, because open ones may have gone silent.
  Fresh,
};

/// Keeps idle HTTP/1.1 connections by address. A connection carries one request
/// at a time. Not thread-safe: used from one io_context with one thread.
class HttpClientPool
{
public:
  /// Closes idle connections by age and probes them if the options say so,
  /// with a coroutine that runs until the pool is destroyed.
  HttpClientPool(boost::asio::io_context& aContext, HttpClientOptions aOptions);

  /// Closes idle connections only when they are chosen again.
  HttpClientPool(boost::asio::io_context& aContext,
                 std::size_t aMaxIdleConnections);

  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  /// Sends a request and reads the whole answer. ConnectFailed means that
  /// nothing was sent. A request is never sent twice. The request must outlive
  /// the call; a cancellation closes the request's connection.
  boost::asio::awaitable<tl::expected<HttpResponse, TransportError>> Send(
    std::string aAddress,
    const HttpRequest& aRequest,
    std::chrono::steady_clock::time_point aDeadline,
    CancellationPointer aCancellation = nullptr,
    ConnectionChoice aChoice = ConnectionChoice::Pooled);

  /// Closes the idle connections to an address, such as one whose peer is gone.
  void CloseIdle(const std::string& aAddress);

  std::size_t IdleConnections() const;

private:
  struct Shared;

  std::shared_ptr<Shared> shared_;
};

} // namespace teaselhold::transport
