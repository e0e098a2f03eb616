#include "Transport/HttpClientPool.h"
#include "Tests/Support/FreePort.h"
#include "Transport/SocketAddress.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace teaselhold;
using namespace teaselhold::transport;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Answers each connection with given bytes, whatever the client sends, and
/// counts the requests.
class ScriptedServer
{
public:
  /// @param aAnswers one for each request; "" closes without an answer.
  explicit ScriptedServer(std::vector<std::string> aAnswers)
    : thread_([this, answers = std::move(aAnswers)] { Run(answers); })
  {
  }
  ~ScriptedServer()
  {
    // Wakes the accept if fewer requests came than there are answers.
    done_ = true;
    boost::system::error_code error;
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(acceptor_.local_endpoint(), error);
    socket.close(error);
    thread_.join();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int Requests() const { return requests_; }

private:
  void Run(const std::vector<std::string>& aAnswers)
  {
    std::size_t next = 0;
    while (!done_ && next < aAnswers.size()) {
      auto socket = acceptor_.accept();
      boost::system::error_code error;
      while (next < aAnswers.size()) {
        std::string request;
        asio::read_until(
          socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        if (error) {
          break;
        }
        ++requests_;
        const auto& answer = aAnswers[next++];
        asio::write(socket, asio::buffer(answer), error);
        if (answer.find("Content-Length: 2") == std::string::npos) {
          break;
        }
      }
    }
  }

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_{
    context_,
    asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)
  };
  std::atomic<bool> done_ = false;
  std::atomic<int> requests_ = 0;
  std::thread thread_;
};

constexpr const char* kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

using Results = std::vector<tl::expected<HttpResponse, TransportError>>;

/// Sends the same request several times, one after the other.
Results
SendAll(const std::string& aAddress,
        int aCount,
        http::verb aMethod = http::verb::post)
{
  asio::io_context context(1);
  HttpClientPool pool(context, 4);
  Results results;
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> {
      for (int i = 0; i < aCount; ++i) {
        HttpRequest request(aMethod, "/", 11);
        request.prepare_payload();
        results.push_back(co_await pool.Send(aAddress,
                                             request,
                                             std::chrono::steady_clock::now() +
                                               std::chrono::seconds(30)));
      }
    },
    asio::detached);
  context.run();
  return results;
}

TransportErrorCode
ErrorOf(const std::string& aAnswer)
{
  const ScriptedServer server({ aAnswer });
  const auto results = SendAll(server.Address(), 1);
  REQUIRE_FALSE(results[0].has_value());
  return results[0].error().code;
}

} // namespace

TEST_CASE("A request on a reused connection that ends is not sent again")
{
  const ScriptedServer server({ kWhole, "", kWhole });
  const auto results = SendAll(server.Address(), 2);
  CHECK(results[0].has_value());
  REQUIRE_FALSE(results[1].has_value());
  CHECK(results[1].error().code == TransportErrorCode::ConnectionLost);
  CHECK(server.Requests() == 2);
}

TEST_CASE("An answer that ends early is never passed on as whole")
{
  CHECK(ErrorOf("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort") ==
        TransportErrorCode::PartialAnswer);
  CHECK(ErrorOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "5\r\nshort\r\n") == TransportErrorCode::PartialAnswer);
  CHECK(ErrorOf("HTTP/1.1 200 OK\r\nContent-Le") ==
        TransportErrorCode::PartialAnswer);
  CHECK(ErrorOf("HTTP/1.1 200 OK\r\n\r\nno length") ==
        TransportErrorCode::PartialAnswer);
}

TEST_CASE("Early bytes are never taken for the answer to the next request")
{
  const ScriptedServer server({ std::string(kWhole) + kWhole, kWhole });
  const auto results = SendAll(server.Address(), 2);
  CHECK(results[0].has_value());
  CHECK(results[1].has_value());
}

TEST_CASE("An interim answer is not taken for the final one")
{
  const ScriptedServer server(
    { "HTTP/1.1 103 Early Hints\r\n\r\n" + std::string(kWhole) });
  const auto results = SendAll(server.Address(), 1);
  REQUIRE(results[0].has_value());
  CHECK(results[0]->body() == "ok");
}

TEST_CASE("The length in an answer to HEAD is not awaited as a body")
{
  const ScriptedServer server(
    { "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" });
  const auto results = SendAll(server.Address(), 1, http::verb::head);
  REQUIRE(results[0].has_value());
  CHECK((*results[0])[http::field::content_length] == "2000");
}

TEST_CASE("A refused connection is reported as nothing sent")
{
  const auto results = SendAll(tests::FreeAddress(), 1);
  REQUIRE_FALSE(results[0].has_value());
  CHECK(results[0].error().code == TransportErrorCode::ConnectFailed);
}
