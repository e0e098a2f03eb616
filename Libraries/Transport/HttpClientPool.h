#pragma once

#include "Transport/TransportError.h"
#include "Transport/detail/AsioHeaders.h"

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace teaselhold::transport {

using HttpRequest =
  boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
  boost::beast::http::response<boost::beast::http::string_body>;

/// Largest body of a request or answer that nodes carry.
inline constexpr std::uint64_t kMaxBodyBytes = 16ULL * 1024 * 1024;

/// Keeps idle HTTP/1.1 connections by address. A connection carries one request
/// at a time. Not thread-safe: used from one io_context with one thread.
class HttpClientPool
{
public:
  HttpClientPool(boost::asio::io_context& aContext,
                 std::size_t aMaxIdleConnections);

  /// Sends a request and reads the whole answer. ConnectFailed means that
  /// nothing was sent.
  boost::asio::awaitable<tl::expected<HttpResponse, TransportError>> Send(
    std::string aAddress,
    HttpRequest aRequest,
    std::chrono::steady_clock::time_point aDeadline);

private:
  using Stream = boost::beast::tcp_stream;

  boost::asio::awaitable<tl::expected<std::unique_ptr<Stream>, TransportError>>
  Connect(const std::string& aAddress,
          std::chrono::steady_clock::time_point aDeadline);

  boost::asio::io_context& context_;
  std::size_t maxIdleConnections_;
  std::map<std::string, std::deque<std::unique_ptr<Stream>>> idle_;
};

} // namespace teaselhold::transport
