#include "Tests/Transport/Answers/Ask.h"

using namespace teaselhold::tests;

// Guards against bytes behind an answer without a body that are taken for the
// answer to another request.

TEST_CASE("A length where an answer has no body makes it unreadable")
{
  // Its bytes would be taken for the answer to the next request.
  const std::string status = GENERATE("204 No Content", "103 Early Hints");
  const std::string fields =
    GENERATE("Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n");
  CAPTURE(status, fields);
  CheckUnreadable(
    AskForBroken({ MakeAnswer(fields, "", "HTTP/1.1 " + status) +
                     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
                   ConnectionEnd::Kept }));
}

TEST_CASE("Answers without a body are read whole")
{
  const std::string answer =
    GENERATE(MakeAnswer("", "", "HTTP/1.1 204 No Content"),
             MakeAnswer("Content-Length: 0\r\n", "", "HTTP/1.1 204 No Content"),
             MakeAnswer("Content-Length: 9\r\n", "", "HTTP/1.1 304 Unchanged"),
             MakeAnswer("Content-Length: 0\r\n", ""));
  CAPTURE(answer);
  const AnswerServer server({ { answer, ConnectionEnd::Kept } });
  const auto results =
    AskAll(server.Address(), { MakeGet(), MakeGet() }, PlatformRules());
  REQUIRE(results[0].has_value());
  CHECK(results[0]->body().empty());
  CHECK(results[1].has_value());
  CHECK(server.Connections() == 1);
}
