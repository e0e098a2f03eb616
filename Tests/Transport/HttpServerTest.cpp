#include "Transport/HttpServer.h"
#include "Tests/Support/FreePort.h"
#include "Transport/HttpClientPool.h"
#include "Transport/SocketAddress.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace teaselhold;
using namespace teaselhold::transport;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// A server with a thread of its own; the test talks to it with blocking
/// sockets.
class RunningServer
{
public:
  explicit RunningServer(HttpServer::CancellableHandler aHandler,
                         HttpServerOptions aOptions = {})
    : server_(
        *HttpServer::Listen(context_, address_, std::move(aHandler), aOptions))
    , thread_([this] { context_.run(); })
  {
  }
  ~RunningServer()
  {
    context_.stop();
    thread_.join();
  }

  asio::ip::tcp::socket Connect()
  {
    asio::ip::tcp::socket socket(clientContext_);
    const auto address = *ParseSocketAddress(address_);
    socket.connect({ asio::ip::make_address(address.host), address.port });
    return socket;
  }

  /// Sends bytes on a connection of its own and returns all that comes back
  /// until the server closes.
  std::string Exchange(const std::string& aBytes)
  {
    auto socket = Connect();
    boost::system::error_code error;
    asio::write(socket, asio::buffer(aBytes), error);
    return ReadToEnd(socket);
  }

  static std::string ReadToEnd(asio::ip::tcp::socket& aSocket)
  {
    std::string answer;
    boost::system::error_code error;
    asio::read(aSocket, asio::dynamic_buffer(answer), error);
    CHECK(error == asio::error::eof);
    return answer;
  }

  template<typename Function>
  auto OnServer(Function aFunction)
  {
    std::promise<decltype(aFunction(*server_))> result;
    asio::post(context_, [&] { result.set_value(aFunction(*server_)); });
    return result.get_future().get();
  }

  const std::string& Address() const { return address_; }

  asio::io_context context_{ 1 };

private:
  asio::io_context clientContext_;
  std::string address_ = tests::FreeAddress();
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

asio::awaitable<HttpResponse>
Echo(HttpRequest aRequest, CancellationPointer /*aCancellation*/)
{
  HttpResponse response;
  response.body() = "<" + aRequest.body() + ">";
  co_return response;
}

constexpr const char* kClose = "Connection: close\r\n";

} // namespace

TEST_CASE("Requests beyond the bounds get the status that names the bound")
{
  HttpServerOptions options;
  options.maxBodyBytes = 1000;
  RunningServer server(Echo, options);
  const auto longHeader = std::string(20000, 'x');
  const auto longBody = std::string(2000, 'x');
  CHECK(server.Exchange("nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
  CHECK(server.Exchange("GET / HTTP/1.1\r\nA: " + longHeader + "\r\n\r\n")
          .starts_with("HTTP/1.1 431"));
  CHECK(
    server.Exchange("PUT / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" + longBody)
      .starts_with("HTTP/1.1 413"));
  CHECK(server
          .Exchange("PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "7d0\r\n" +
                    longBody + "\r\n0\r\n\r\n")
          .starts_with("HTTP/1.1 413"));
  CHECK(server.OnServer([](auto& aServer) { return aServer.InFlight(); }) == 0);
}

TEST_CASE("A request with both lengths is refused so that it cannot smuggle")
{
  RunningServer server(Echo);
  const auto answer =
    server.Exchange("PUT / HTTP/1.1\r\nContent-Length: 3\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 400"));
}

TEST_CASE("Bodies above the bound of the whole server are refused as not run")
{
  HttpServerOptions options;
  options.limits = std::make_shared<PeerLimits>(100000, 0);
  RunningServer server(Echo, options);
  CHECK(server
          .Exchange("PUT / HTTP/1.1\r\nContent-Length: 2000\r\n"
                    "Connection: close\r\n\r\n" +
                    std::string(2000, 'x'))
          .starts_with("HTTP/1.1 200"));
  const auto answer =
    server.Exchange("PUT / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" +
                    std::string(200000, 'x'));
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Teaselhold-Outcome: not-run") != std::string::npos);
}

TEST_CASE("A connection above the bound is answered and not reset")
{
  HttpServerOptions options;
  options.maxConnections = 1;
  RunningServer server(Echo, options);
  auto first = server.Connect();
  asio::write(first, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  std::string answer;
  asio::read_until(first, asio::dynamic_buffer(answer), ">");
  CHECK(server.Exchange("").starts_with("HTTP/1.1 503"));
}

TEST_CASE("Pipelined requests are answered in order and none is lost")
{
  RunningServer server(Echo);
  const auto answer = server.Exchange(
    "PUT / HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
    "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n"
    "PUT / HTTP/1.1\r\nContent-Length: 5\r\n" +
    std::string(kClose) + "\r\nthree");
  const auto one = answer.find("<one>");
  const auto two = answer.find("<two>");
  const auto three = answer.find("<three>");
  CHECK(one < two);
  CHECK(two < three);
  CHECK(three != std::string::npos);
}

TEST_CASE("A client that waits for 100 Continue is told to go on")
{
  RunningServer server(Echo);
  auto socket = server.Connect();
  asio::write(socket,
              asio::buffer("PUT / HTTP/1.1\r\nContent-Length: 3\r\n" +
                           std::string(kClose) +
                           "Expect: 100-continue\r\n\r\n"));
  std::string interim;
  asio::read_until(socket, asio::dynamic_buffer(interim), "\r\n\r\n");
  CHECK(interim.starts_with("HTTP/1.1 100"));
  asio::write(socket, asio::buffer(std::string("abc")));
  CHECK(RunningServer::ReadToEnd(socket).find("<abc>") != std::string::npos);
}

TEST_CASE("Answers without a body do not shift the next answer")
{
  RunningServer server(
    [](HttpRequest aRequest,
       CancellationPointer) -> asio::awaitable<HttpResponse> {
      HttpResponse response;
      if (aRequest.target() == "/none") {
        response.result(http::status::no_content);
      } else {
        response.body() = "body";
      }
      co_return response;
    });
  const auto answer = server.Exchange(
    "HEAD / HTTP/1.1\r\n\r\nGET /none HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n" +
    std::string(kClose) + "\r\n");
  const auto none = answer.find("HTTP/1.1 204");
  REQUIRE(none != std::string::npos);
  CHECK(answer.substr(0, none).find("Content-Length: 4") != std::string::npos);
  CHECK(answer.substr(0, none).find("body") == std::string::npos);
  CHECK(answer.substr(none).find("HTTP/1.1 200") != std::string::npos);
  CHECK(answer.ends_with("body"));
}

TEST_CASE("A handler that throws gives 500 and leaves the counters right")
{
  RunningServer server(
    [](HttpRequest, CancellationPointer) -> asio::awaitable<HttpResponse> {
      throw std::runtime_error("fault");
      co_return HttpResponse();
    });
  const auto answer = server.Exchange("GET / HTTP/1.1\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 500"));
  CHECK(answer.find("Teaselhold-Outcome: unknown") != std::string::npos);
  CHECK(server.OnServer([](auto& aServer) { return aServer.InFlight(); }) == 0);
}

TEST_CASE("A client that closes its connection cancels its request")
{
  std::promise<void> started;
  std::promise<void> cancelled;
  RunningServer server([&](HttpRequest, CancellationPointer aCancellation)
                         -> asio::awaitable<HttpResponse> {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::hours(1));
    const Cancellation::Scope scope(aCancellation, [&] { timer.cancel(); });
    started.set_value();
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    cancelled.set_value();
    co_return HttpResponse();
  });
  auto socket = server.Connect();
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  started.get_future().get();
  socket.close();
  CHECK(cancelled.get_future().wait_for(std::chrono::seconds(30)) ==
        std::future_status::ready);
}

TEST_CASE("A close is noticed while the server ends its connections")
{
  std::promise<void> started;
  std::promise<void> cancelled;
  RunningServer server([&](HttpRequest, CancellationPointer aCancellation)
                         -> asio::awaitable<HttpResponse> {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::hours(1));
    const Cancellation::Scope scope(aCancellation, [&] { timer.cancel(); });
    started.set_value();
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    cancelled.set_value();
    co_return HttpResponse();
  });
  server.OnServer([](auto& aServer) {
    aServer.CloseAfterAnswers();
    return true;
  });
  auto socket = server.Connect();
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  started.get_future().get();
  socket.close();
  CHECK(cancelled.get_future().wait_for(std::chrono::seconds(10)) ==
        std::future_status::ready);
}

TEST_CASE("Draining finishes a half-sent request instead of resetting it")
{
  RunningServer server(Echo);
  auto socket = server.Connect();
  asio::write(socket,
              asio::buffer(
                std::string("PUT / HTTP/1.1\r\nContent-Length: 6\r\n\r\nabc")));
  while (server.OnServer([](auto& aServer) { return aServer.InFlight(); }) ==
         0) {
    std::this_thread::yield();
  }
  server.OnServer([](auto& aServer) {
    aServer.Drain();
    return true;
  });
  asio::write(socket, asio::buffer(std::string("def")));
  const auto answer = RunningServer::ReadToEnd(socket);
  CHECK(answer.find("<abcdef>") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
}

TEST_CASE("Draining answers a request that arrives at the same moment")
{
  // Guards against an idle connection that is closed while the bytes of a
  // request wait in its socket.
  RunningServer server(Echo);
  const std::string request = "GET / HTTP/1.1\r\n\r\n";
  auto fresh = server.Connect();
  auto kept = server.Connect();
  asio::write(kept, asio::buffer(request));
  std::string first;
  asio::read_until(kept, asio::dynamic_buffer(first), "\r\n\r\n<>");
  while (server.OnServer([](auto& aServer) {
    return aServer.Connections() < 2 || aServer.InFlight() > 0;
  })) {
    std::this_thread::yield();
  }
  server.OnServer([&](auto& aServer) {
    // The server's thread is here, so it has not seen the bytes.
    asio::write(fresh, asio::buffer(request));
    asio::write(kept, asio::buffer(request));
    aServer.Drain();
    aServer.EndIdle();
    return true;
  });
  for (auto* socket : { &fresh, &kept }) {
    const auto answer = RunningServer::ReadToEnd(*socket);
    CHECK(answer.find("<>") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
  }
}

TEST_CASE("A request that follows its connection into a drain is answered")
{
  // Guards against a connection that is closed between its acceptance and the
  // arrival of its first request, or just before a client uses it again.
  RunningServer server(Echo);
  const std::string request = "GET / HTTP/1.1\r\n\r\n";
  auto fresh = server.Connect();
  auto kept = server.Connect();
  asio::write(kept, asio::buffer(request));
  std::string first;
  asio::read_until(kept, asio::dynamic_buffer(first), "\r\n\r\n<>");
  while (server.OnServer([](auto& aServer) {
    return aServer.Connections() < 2 || aServer.InFlight() > 0;
  })) {
    std::this_thread::yield();
  }
  server.OnServer([](auto& aServer) {
    aServer.Drain();
    return true;
  });
  for (auto* socket : { &fresh, &kept }) {
    asio::write(*socket, asio::buffer(request));
    const auto answer = RunningServer::ReadToEnd(*socket);
    CHECK(answer.find("<>") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
  }
}

TEST_CASE("The last answer of a draining connection leaves no request unread")
{
  // Guards against an answer that ends the connection while a request that was
  // sent behind it is in the socket.
  std::promise<void> started;
  std::promise<void> sent;
  bool isFirst = true;
  RunningServer server(
    [&](HttpRequest, CancellationPointer) -> asio::awaitable<HttpResponse> {
      if (std::exchange(isFirst, false)) {
        started.set_value();
        sent.get_future().get();
      }
      co_return HttpResponse();
    });
  server.OnServer([](auto& aServer) {
    aServer.CloseAfterAnswers();
    return true;
  });
  auto socket = server.Connect();
  const std::string request = "GET / HTTP/1.1\r\n\r\n";
  asio::write(socket, asio::buffer(request));
  started.get_future().get();
  asio::write(socket, asio::buffer(request));
  sent.set_value();
  const auto answers = RunningServer::ReadToEnd(socket);
  const auto first = answers.find("HTTP/1.1 200");
  REQUIRE(first != std::string::npos);
  CHECK(answers.find("HTTP/1.1 200", first + 1) != std::string::npos);
}

namespace {

constexpr std::chrono::seconds kLongTime{ 10 };

/// Sends one request with an offered body through a client pool.
tl::expected<HttpResponse, TransportError>
TrySendOffered(HttpClientPool& aPool,
               asio::io_context& aContext,
               const std::string& aAddress,
               const std::string& aBody,
               std::chrono::milliseconds aTime)
{
  HttpRequest request(http::verb::post, "/photo", 11);
  request.set(http::field::host, "test");
  request.set(http::field::expect, "100-continue");
  request.body() = aBody;
  request.prepare_payload();
  std::optional<tl::expected<HttpResponse, TransportError>> result;
  asio::co_spawn(
    aContext,
    [&]() -> asio::awaitable<void> {
      const auto deadline = std::chrono::steady_clock::now() + aTime;
      result = co_await aPool.Send(aAddress, request, deadline);
    },
    asio::detached);
  aContext.restart();
  aContext.run();
  return std::move(*result);
}

HttpResponse
SendOffered(HttpClientPool& aPool,
            asio::io_context& aContext,
            const std::string& aAddress,
            const std::string& aBody)
{
  auto result = TrySendOffered(aPool, aContext, aAddress, aBody, kLongTime);
  REQUIRE(result);
  return std::move(*result);
}

} // namespace

TEST_CASE("a body that is refused is not sent and its connection serves on")
{
  // Guards against refusals that cost the bytes of the body on a slow link.
  std::atomic<int> offers = 0;
  std::atomic<std::size_t> received = 0;
  HttpServerOptions options;
  options.admitBody =
    [&](const HttpRequest&) -> asio::awaitable<BodyAdmission> {
    BodyAdmission admission;
    if (++offers == 1) {
      admission.refusal = HttpResponse(http::status::service_unavailable, 11);
    }
    co_return admission;
  };
  RunningServer server(
    [&](HttpRequest aRequest,
        CancellationPointer) -> asio::awaitable<HttpResponse> {
      received += aRequest.body().size();
      co_return HttpResponse(http::status::ok, 11);
    },
    options);
  asio::io_context context;
  HttpClientPool pool(context, 4);
  const std::string body(100000, 'x');
  const auto refused = SendOffered(pool, context, server.Address(), body);
  CHECK(refused.result() == http::status::service_unavailable);
  CHECK(received == 0);
  CHECK(pool.IdleConnections() == 1);
  const auto taken = SendOffered(pool, context, server.Address(), body);
  CHECK(taken.result() == http::status::ok);
  CHECK(received == body.size());
  CHECK(offers == 2);
}

TEST_CASE("a permit for a body is held until the body has arrived")
{
  std::atomic<bool> isHeld = false;
  std::atomic<bool> wasHeldAtOffer = false;
  std::atomic<std::uint64_t> parts = 0;
  HttpServerOptions options;
  options.admitBody =
    [&](const HttpRequest&) -> asio::awaitable<BodyAdmission> {
    wasHeldAtOffer = isHeld.exchange(true);
    co_return BodyAdmission{ std::nullopt,
                             std::shared_ptr<void>(
                               nullptr, [&](void*) { isHeld = false; }),
                             [&](std::uint64_t aBytes) { parts += aBytes; } };
  };
  RunningServer server(
    [&](HttpRequest, CancellationPointer) -> asio::awaitable<HttpResponse> {
      CHECK_FALSE(isHeld);
      co_return HttpResponse(http::status::ok, 11);
    },
    options);
  asio::io_context context;
  HttpClientPool pool(context, 4);
  const std::string body(100000, 'x');
  for (int i = 0; i < 2; ++i) {
    SendOffered(pool, context, server.Address(), body);
    CHECK_FALSE(wasHeldAtOffer);
  }
  CHECK(parts == 2 * body.size());
}

TEST_CASE("a body that is not invited in time certainly did not run")
{
  // Guards against a question to the peer after the deadline, which would hold
  // the caller longer.
  std::atomic<int> handled = 0;
  HttpServerOptions options;
  options.admitBody = [](const HttpRequest&) -> asio::awaitable<BodyAdmission> {
    asio::steady_timer timer(co_await asio::this_coro::executor, kLongTime);
    co_await timer.async_wait(asio::use_awaitable);
    co_return BodyAdmission{};
  };
  RunningServer server(
    [&](HttpRequest, CancellationPointer) -> asio::awaitable<HttpResponse> {
      ++handled;
      co_return HttpResponse(http::status::ok, 11);
    },
    options);
  asio::io_context context;
  HttpClientPool pool(context, 4);
  const auto result = TrySendOffered(pool,
                                     context,
                                     server.Address(),
                                     std::string(100000, 'x'),
                                     std::chrono::milliseconds(200));
  REQUIRE_FALSE(result);
  CHECK(result.error().code == TransportErrorCode::NotInvited);
  CHECK(handled == 0);
}

namespace {

/// Grants pieces of 1000 bytes and counts what it is told.
struct PieceCounter
{
  std::atomic<int> begun = 0;
  std::atomic<int> pieces = 0;
  std::atomic<int> ended = 0;
  std::atomic<std::size_t> smallBytes = 0;

  /// A coroutine that is a lambda would lose its captures.
  static asio::awaitable<std::size_t> NextPiece(PieceCounter& aCounter)
  {
    constexpr std::size_t kPieceBytes = 1000;
    ++aCounter.pieces;
    co_return kPieceBytes;
  }

  AnswerPacing Pacing()
  {
    AnswerPacing pacing;
    pacing.largeBytes = 2000;
    pacing.begin = [this](std::size_t) {
      ++begun;
      const std::shared_ptr<void> end(nullptr, [this](void*) { ++ended; });
      return transport::NextPiece([this, end] { return NextPiece(*this); });
    };
    pacing.onSmallAnswer = [this](std::size_t aBytes) { smallBytes += aBytes; };
    return pacing;
  }
};

std::string
Post(const std::string& aBody, const char* aHeaders)
{
  return std::string("POST / HTTP/1.1\r\nHost: a\r\n") + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

TEST_CASE("a paced answer arrives whole and in order with others")
{
  // Guards against answers in pieces that lose bytes, or that another answer
  // of the same connection is written into.
  PieceCounter counter;
  HttpServerOptions options;
  options.pacing = counter.Pacing();
  RunningServer server(Echo, options);
  const std::string large(4500, 'x');
  const auto answers = server.Exchange(Post(large, "") + Post("small", kClose));
  const auto body = answers.find("<" + large + ">");
  REQUIRE(body != std::string::npos);
  CHECK(answers.find("Content-Length: 4502") < body);
  CHECK(answers.find("<small>") > body);
  CHECK(counter.pieces == 5);
  CHECK(counter.begun == 1);
  CHECK(counter.ended == 1);
  CHECK(counter.smallBytes == 7);
}

TEST_CASE("a paced answer ends when its client closes or stops reading")
{
  // Guards against connections and link shares that are held for good by a
  // client that left or that reads a byte a second.
  PieceCounter counter;
  HttpServerOptions options;
  options.pacing = counter.Pacing();
  options.writeTimeout = std::chrono::milliseconds(200);
  RunningServer server(
    [](HttpRequest, CancellationPointer) -> asio::awaitable<HttpResponse> {
      constexpr std::size_t kMoreThanBuffersTake = 12UL * 1024 * 1024;
      HttpResponse response;
      response.body().assign(kMoreThanBuffersTake, 'x');
      co_return response;
    },
    options);
  auto socket = server.Connect();
  asio::write(socket, asio::buffer(Post("", "")));
  const bool isStalled = GENERATE(true, false);
  if (!isStalled) {
    socket.close();
  }
  // Generous, for a busy machine; the bound is the time of one piece.
  const auto deadline =
    std::chrono::steady_clock::now() + std::chrono::seconds(20);
  const auto inFlight = [&] {
    return server.OnServer(
      [](const HttpServer& aServer) { return aServer.InFlight(); });
  };
  while ((counter.begun == 0 || inFlight() > 0) &&
         std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CHECK(inFlight() == 0);
  CHECK(counter.ended == counter.begun);
}
