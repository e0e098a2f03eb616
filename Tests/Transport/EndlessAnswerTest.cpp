#include "Transport/HttpClientPool.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace teaselhold;
using namespace teaselhold::transport;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using Steady = std::chrono::steady_clock;

namespace {

constexpr const char* kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr const char* kChunked =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Answers requests for /whole, and every other one with bytes that come until
/// the client closes.
class EndlessServer
{
public:
  EndlessServer(std::string aStart, const std::string& aPiece)
    : start_(std::move(aStart))
  {
    constexpr std::size_t kBlockBytes = 16384;
    while (block_.size() < kBlockBytes) {
      block_ += aPiece;
    }
    asio::co_spawn(context_, Accept(), asio::detached);
    thread_ = std::thread([this] { context_.run(); });
  }
  ~EndlessServer()
  {
    context_.stop();
    thread_.join();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  std::size_t BytesWritten() const { return written_; }
  int Open() const { return open_; }

private:
  asio::awaitable<void> Accept()
  {
    while (true) {
      auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
      asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(asio::ip::tcp::socket aSocket)
  {
    ++open_;
    boost::system::error_code error;
    boost::beast::flat_buffer buffer;
    while (!error) {
      HttpRequest request;
      co_await http::async_read(
        aSocket,
        buffer,
        request,
        asio::redirect_error(asio::use_awaitable, error));
      if (!error && request.target() == "/whole") {
        co_await asio::async_write(
          aSocket,
          asio::buffer(kWhole, std::char_traits<char>::length(kWhole)),
          asio::redirect_error(asio::use_awaitable, error));
      } else if (!error) {
        error = co_await WriteWithoutEnd(aSocket);
      }
    }
    --open_;
  }

  asio::awaitable<boost::system::error_code> WriteWithoutEnd(
    asio::ip::tcp::socket& aSocket)
  {
    // Bounds what a client without limits can take in.
    constexpr std::size_t kMostBytes = std::size_t{ 512 } * 1024 * 1024;
    boost::system::error_code error;
    co_await asio::async_write(
      aSocket,
      asio::buffer(start_),
      asio::redirect_error(asio::use_awaitable, error));
    while (!error && written_ < kMostBytes) {
      written_ += co_await asio::async_write(
        aSocket,
        asio::buffer(block_),
        asio::redirect_error(asio::use_awaitable, error));
    }
    co_return error ? error : asio::error::eof;
  }

  std::string start_;
  std::string block_;
  asio::io_context context_{ 1 };
  asio::ip::tcp::acceptor acceptor_{
    context_,
    asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)
  };
  std::atomic<std::size_t> written_ = 0;
  std::atomic<int> open_ = 0;
  std::thread thread_;
};

HttpClientOptions
MakeOptions()
{
  HttpClientOptions options;
  options.rules.acceptsUnframed = true;
  return options;
}

using Result = tl::expected<HttpResponse, TransportError>;

asio::awaitable<void>
Get(HttpClientPool& aPool,
    std::string aAddress,
    std::string aTarget,
    std::optional<Result>& aResult)
{
  HttpRequest request(http::verb::get, aTarget, 11);
  request.set(http::field::host, "upstream");
  aResult = co_await aPool.Send(aAddress, request, Steady::now() + 20s);
}

/// Runs until a call has ended. The pool's own coroutine goes on.
void
RunUntil(asio::io_context& aContext, const std::optional<Result>& aResult)
{
  while (!aResult) {
    REQUIRE(aContext.run_one_for(30s) > 0);
  }
}

struct Endless
{
  const char* what;
  std::string start;
  std::string piece;
  std::size_t mostBytes;
};

constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;
/// What the sockets of both ends hold besides what the client reads.
constexpr std::size_t kSocketBytes = 8 * kMegabyte;

} // namespace

TEST_CASE("An answer without end is given up at a bound, not at the deadline")
{
  const auto endless = GENERATE(
    Endless{ "status line", "HTTP/1.1 200 ", "a", kMegabyte },
    Endless{ "header", "HTTP/1.1 200 OK\r\nX-Long: ", "a", kMegabyte },
    Endless{ "headers", "HTTP/1.1 200 OK\r\n", "X-More: a\r\n", kMegabyte },
    Endless{ "no answer", "", "\x01\x02", kMegabyte },
    Endless{ "empty lines", "", "\r\n", kMegabyte },
    Endless{
      "interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", kMegabyte },
    Endless{
      "chunk extension", std::string(kChunked) + "5;a=", "a", kMegabyte },
    Endless{
      "trailer", std::string(kChunked) + "0\r\n", "X-More: a\r\n", kMegabyte },
    Endless{ "chunks", kChunked, "4\r\nbyte\r\n", 64 * kMegabyte },
    Endless{ "body without a length",
             "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
             "byte",
             32 * kMegabyte },
    Endless{ "body of the largest length",
             "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n",
             "byte",
             kMegabyte });
  CAPTURE(endless.what);
  const EndlessServer server(endless.start, endless.piece);
  asio::io_context context(1);
  HttpClientPool pool(context, MakeOptions());
  std::optional<Result> result;
  const auto start = Steady::now();
  asio::co_spawn(
    context, Get(pool, server.Address(), "/endless", result), asio::detached);
  RunUntil(context, result);
  CHECK(Steady::now() - start < 10s);
  REQUIRE_FALSE(result->has_value());
  CHECK(result->error().code == TransportErrorCode::PartialAnswer);
  CHECK(server.BytesWritten() < endless.mostBytes + kSocketBytes);
  CHECK(pool.IdleConnections() == 0);
  for (int i = 0; i < 100 && server.Open() > 0; ++i) {
    std::this_thread::sleep_for(10ms);
  }
  CHECK(server.Open() == 0);
}

TEST_CASE("Answers without end together take no more memory than one bound")
{
  const EndlessServer server(kChunked,
                             "1000\r\n" + std::string(4096, 'a') + "\r\n");
  asio::io_context context(1);
  HttpClientPool pool(context, 16);
  constexpr std::size_t kRequests = 16;
  std::vector<std::optional<Result>> results(kRequests);
  std::optional<Result> whole;
  for (auto& result : results) {
    asio::co_spawn(
      context, Get(pool, server.Address(), "/endless", result), asio::detached);
  }
  asio::co_spawn(
    context, Get(pool, server.Address(), "/whole", whole), asio::detached);
  context.run();
  for (const auto& result : results) {
    REQUIRE(result.has_value());
    REQUIRE_FALSE(result->has_value());
    CHECK(result->error().code == TransportErrorCode::PartialAnswer);
  }
  REQUIRE(whole.has_value());
  REQUIRE(whole->has_value());
  CHECK((*whole)->body() == "ok");
  CHECK(server.BytesWritten() < 48 * kMegabyte + kRequests * kSocketBytes);
}
