#include "Tests/Transport/Answers/Ask.h"

using namespace teaselhold::tests;

// Guards against another request on a connection that its peer ends, or that
// holds bytes of no answer.

TEST_CASE("A connection that any field ends is not used again")
{
  const std::string fields =
    GENERATE("Connection: close\r\n",
             "Connection: x-a, close\r\n",
             "Connection: x-a\r\nConnection: close\r\n",
             "Connection: keep-alive\r\nConnection: close\r\n");
  CAPTURE(fields);
  const AnswerServer server(
    { { MakeAnswer(fields + "Content-Length: 5\r\n", "hello"),
        ConnectionEnd::Kept } });
  const auto results =
    AskAll(server.Address(), { MakeGet(), MakeGet() }, PlatformRules());
  CHECK(results[0].has_value());
  CHECK(results[1].has_value());
  CHECK(server.Connections() == 2);
}

TEST_CASE("A connection is not used again after bytes behind an answer")
{
  const std::string answer =
    GENERATE(MakeAnswer("Content-Length: 5\r\n", "hello!"),
             MakeChunked("5\r\nhello\r\n0\r\n\r\n!"),
             MakeAnswer("Content-Length: 0\r\n", "!"),
             MakeAnswer("", "!", "HTTP/1.1 204 No Content"));
  CAPTURE(answer);
  const AnswerServer server({ { answer, ConnectionEnd::Kept } });
  const auto results =
    AskAll(server.Address(), { MakeGet(), MakeGet() }, PlatformRules());
  CHECK(results[0].has_value());
  CHECK(results[1].has_value());
  CHECK(server.Connections() == 2);
}
