#include "Tests/Transport/Answers/Ask.h"

#include <future>
#include <thread>

using namespace teaselhold;
using namespace teaselhold::tests;
using namespace std::chrono_literals;

// Guards against a part of an answer that is passed on as a whole one.

namespace {

/// More than the sockets of both ends hold, so that it is still being written
/// when the answer comes.
constexpr std::size_t kLongBody = std::size_t{ 12 } * 1024 * 1024;

/// Time in which the client fills the sockets and waits to write more: whether
/// its reader or its writer is told of a reset depends on that.
constexpr std::chrono::milliseconds kUntilFull{ 100 };

std::string
MakeUnframed(const std::string& aStatus, std::size_t aBytes)
{
  return "HTTP/1.1 " + aStatus + " Text\r\nX-Backend: b\r\n\r\n" +
         std::string(aBytes, 'a');
}

ScriptedAnswer
MakeWhole()
{
  return { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
           ConnectionEnd::Kept };
}

transport::HttpRequest
MakeOffer(std::size_t aBodyBytes)
{
  auto request = MakePost(aBodyBytes);
  request.set(boost::beast::http::field::expect, "100-continue");
  return request;
}

/// Connects, waits until the peer has ended the connection, and only then
/// sends a request.
/// @param aConnected set once the connection is known to be open; a reset
/// before that would fail the connecting.
AskResult
AskLate(const std::string& aAddress,
        const transport::HttpRequest& aRequest,
        std::promise<void>& aConnected)
{
  constexpr std::chrono::milliseconds kUntilEnd{ 200 };
  boost::asio::io_context context(1);
  const transport::AnswerRules rules = PlatformRules();
  AskResult result;
  const auto ask = [&]() -> boost::asio::awaitable<void> {
    transport::HttpClientConnection connection(context);
    const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
    const auto connected = co_await connection.Connect(
      aAddress, deadline, nullptr, std::chrono::milliseconds(0));
    aConnected.set_value();
    REQUIRE(connected.has_value());
    std::this_thread::sleep_for(kUntilEnd);
    result = co_await connection.Exchange(aRequest, deadline, nullptr, rules);
    CHECK_FALSE(connection.IsReusable());
  };
  boost::asio::co_spawn(context, ask(), boost::asio::detached);
  context.run();
  return result;
}

} // namespace

TEST_CASE(
  "An answer without a length that is reset during an upload is partial")
{
  const std::string status = GENERATE("200", "500");
  const std::size_t bytes = GENERATE(1, 700, 90000);
  const auto pause = GENERATE(0ms, kUntilFull);
  CAPTURE(status, bytes, pause.count());
  CheckUnreadable(AskForBroken(
    { MakeUnframed(status, bytes), ConnectionEnd::Reset, false, pause },
    PlatformRules(),
    MakePost(kLongBody)));
}

TEST_CASE("A reset during an upload on a kept connection is heard")
{
  const std::size_t bytes = GENERATE(700, 90000);
  const auto pause = GENERATE(0ms, kUntilFull);
  CAPTURE(bytes, pause.count());
  const AnswerServer server(
    { MakeWhole(),
      { MakeUnframed("200", bytes), ConnectionEnd::Reset, false, pause },
      MakeWhole() });
  const auto results = AskAll(server.Address(),
                              { MakeGet(), MakePost(kLongBody), MakeGet() },
                              PlatformRules());
  CHECK(results[0].has_value());
  CheckUnreadable(results[1]);
  CHECK(results[2].has_value());
  CHECK(server.Connections() == 2);
}

TEST_CASE("A reset during an upload that was invited is heard")
{
  const auto pause = GENERATE(0ms, kUntilFull);
  CAPTURE(pause.count());
  const auto answer =
    "HTTP/1.1 100 Continue\r\n\r\n" + MakeUnframed("200", 700);
  CheckUnreadable(AskForBroken({ answer, ConnectionEnd::Reset, false, pause },
                               PlatformRules(),
                               MakeOffer(kLongBody)));
}

TEST_CASE("A reset before a short request is written is heard")
{
  // The server answers at once, so the write finds the connection reset.
  boost::asio::io_context context(1);
  boost::asio::ip::tcp::acceptor acceptor(
    context,
    boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const auto address =
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  std::promise<void> connected;
  std::thread server([&] {
    auto socket = acceptor.accept();
    connected.get_future().wait();
    boost::asio::write(socket, boost::asio::buffer(MakeUnframed("200", 700)));
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
  });
  const auto result = AskLate(address, MakePost(100), connected);
  server.join();
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().code == transport::TransportErrorCode::PartialAnswer);
}

TEST_CASE("A reset after a short request makes an answer partial")
{
  const std::size_t bytes = GENERATE(0, 700, 90000);
  const auto answer = MakeUnframed("200", bytes);
  CheckUnreadable(AskForBroken({ answer, ConnectionEnd::Reset }));
}

TEST_CASE("A framed answer that is cut is partial by a close and by a reset")
{
  const std::string answer = GENERATE(
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
    "chunked\r\n\r\n5\r\nshort\r\n0\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"
    "0\r\nX-Trailer: a\r\n");
  const auto end = GENERATE(ConnectionEnd::Closed, ConnectionEnd::Reset);
  const std::size_t uploaded = GENERATE(std::size_t{ 0 }, kLongBody);
  CAPTURE(answer, static_cast<int>(end), uploaded);
  CheckUnreadable(AskForBroken(
    { answer, end, uploaded == 0 }, PlatformRules(), MakePost(uploaded)));
}

TEST_CASE("An answer without a length that ends with a close is whole")
{
  const std::size_t bytes = GENERATE(0, 700, 90000);
  const std::size_t uploaded = GENERATE(std::size_t{ 0 }, kLongBody);
  CAPTURE(bytes, uploaded);
  const AnswerServer server(
    { { MakeUnframed("200", bytes), ConnectionEnd::Closed, uploaded == 0 },
      MakeWhole() });
  const auto results = AskAll(
    server.Address(), { MakePost(uploaded), MakeGet() }, PlatformRules());
  REQUIRE(results[0].has_value());
  CHECK(results[0]->body() == std::string(bytes, 'a'));
  CHECK(results[1].has_value());
  CHECK(server.Connections() == 2);
}

TEST_CASE("An answer of known length that came before a reset is whole")
{
  const std::string answer =
    GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "5\r\nhello\r\n0\r\n\r\n");
  CAPTURE(answer);
  const AnswerServer server(
    { { answer, ConnectionEnd::Reset, false }, MakeWhole() });
  const auto results = AskAll(
    server.Address(), { MakePost(kLongBody), MakeGet() }, PlatformRules());
  REQUIRE(results[0].has_value());
  CHECK(results[0]->body() == "hello");
  CHECK(results[1].has_value());
  CHECK(server.Connections() == 2);
}
