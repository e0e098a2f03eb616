#include "Tests/Transport/Answers/Ask.h"

using namespace teaselhold::tests;
using namespace std::chrono_literals;

// Guards against an idle connection that stays in use although its peer
// answered a probe with bytes that are no answer.

TEST_CASE("A broken answer to a probe ends an idle connection")
{
  const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  const std::string probed =
    GENERATE("HTTP/1.1 000 Text\r\nContent-Length: 2\r\n\r\nok",
             "HTTP/1.1 204 No Content\r\nX Bad: a\r\n\r\n",
             "HTTP/1.1 204 No Content\r\nX-A: a\r\n b\r\n\r\n",
             "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok");
  CAPTURE(probed);
  const AnswerServer server([&](const std::string& aHead) {
    return ScriptedAnswer{ aHead.starts_with("GET /probe") ? probed : whole,
                           ConnectionEnd::Kept };
  });
  teaselhold::transport::HttpClientOptions options;
  options.probePath = "/probe";
  boost::asio::io_context context(1);
  teaselhold::transport::HttpClientPool pool(context, options);
  unsigned answered = 0;
  const auto ask = [&]() -> boost::asio::awaitable<void> {
    const auto result = co_await pool.Send(
      server.Address(), MakeGet(), std::chrono::steady_clock::now() + 20s);
    answered += result.has_value() ? 1 : 0;
  };
  boost::asio::co_spawn(context, ask(), boost::asio::detached);
  for (int i = 0; i < 1000 && server.Requests() < 2; ++i) {
    context.run_for(10ms);
  }
  context.run_for(100ms);
  CHECK(pool.IdleConnections() == 0);
  boost::asio::co_spawn(context, ask(), boost::asio::detached);
  for (int i = 0; i < 1000 && answered < 2; ++i) {
    context.run_for(10ms);
  }
  CHECK(answered == 2);
  CHECK(server.Connections() == 2);
}
