#include "Tests/Transport/Answers/Ask.h"

using namespace teaselhold::tests;

// Guards against passing on an answer whose head or trailer holds a line that
// is no field: the line might reach the caller, or hide where the body ends.

namespace {

struct BadLine
{
  const char* name;
  std::string line;
};

std::vector<BadLine>
BadLines()
{
  return {
    { "a blank in the name", "X Bad: a\r\n" },
    { "a blank before the colon", "X-Bad : a\r\n" },
    { "a blank before the name", " X-Bad: a\r\n" },
    { "a tab before the name", "\tX-Bad: a\r\n" },
    { "a tab in the name", "X\tBad: a\r\n" },
    { "a tab before the colon", "X-Bad\t: a\r\n" },
    { "a null byte in the name", std::string("X\0Bad: a\r\n", 10) },
    { "a control byte in the name",
      "X\x01"
      "Bad: a\r\n" },
    { "an escape in the name", "X\x1b[0m: a\r\n" },
    { "a delete in the name",
      "X\x7f"
      "Bad: a\r\n" },
    { "a byte above 127 in the name", "X\xc3\xa4: a\r\n" },
    { "a carriage return in the name", "X\rBad: a\r\n" },
    { "a line feed in the name", "X\nBad: a\r\n" },
    { "a comma in the name", "X,Bad: a\r\n" },
    { "a quote in the name", "X\"Bad: a\r\n" },
    { "an empty name", ": a\r\n" },
    { "no colon", "X-Bad\r\n" },
    { "a null byte in the value", std::string("X-Bad: a\0b\r\n", 12) },
    { "a control byte in the value",
      "X-Bad: a\x01"
      "b\r\n" },
    { "a delete in the value", "X-Bad: a\x7f\r\n" },
    { "a carriage return in the value", "X-Bad: a\rb\r\n" },
    { "a line feed in the value", "X-Bad: a\nX-More: b\r\n" },
    { "a folded value", "X-Bad: a\r\n b\r\n" },
    { "a folded empty value", "X-Bad:\r\n\ta\r\n" },
    { "a blank line that is not empty", "X-Bad: a\r\n \r\n" },
    { "a folded length", "X-Bad: a\r\n Content-Length: 3\r\n" },
    { "a folded coding", "X-Bad: a\r\n\tTransfer-Encoding: chunked\r\n" },
  };
}

} // namespace

TEST_CASE("A head with a line that is no field is not passed on")
{
  const auto bad = GENERATE(from_range(BadLines()));
  const auto framing = GENERATE(from_range(kFramings));
  const bool isFirst = GENERATE(true, false);
  CAPTURE(bad.name, framing.name, isFirst);
  const std::string good = "X-Good: a\r\n";
  const auto head = isFirst ? bad.line + good + framing.fields
                            : good + framing.fields + bad.line;
  CheckUnreadable(AskForBroken(
    { "HTTP/1.1 200 OK\r\n" + head + "\r\n" + framing.body, framing.end }));
}

TEST_CASE("A head with a line that is no field is not taken from a node")
{
  const auto bad = GENERATE(from_range(BadLines()));
  CAPTURE(bad.name);
  CheckUnreadable(
    AskForBroken({ "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Good: a\r\n" +
                     bad.line + "\r\nhello",
                   ConnectionEnd::Kept },
                 NodeRules()));
}

TEST_CASE("An interim answer with a line that is no field ends the exchange")
{
  const auto bad = GENERATE(from_range(BadLines()));
  CAPTURE(bad.name);
  CheckUnreadable(
    AskForBroken({ "HTTP/1.1 103 Hints\r\nX-Good: a\r\n" + bad.line +
                     "\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
                   ConnectionEnd::Kept }));
}

TEST_CASE("A trailer with a line that is no field makes an answer unreadable")
{
  const auto bad = GENERATE(from_range(BadLines()));
  const bool isFirst = GENERATE(true, false);
  CAPTURE(bad.name, isFirst);
  CheckUnreadable(AskForBroken(
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
      "0\r\n" +
        std::string(isFirst ? "" : "X-Good: a\r\n") + bad.line + "\r\n",
      ConnectionEnd::Kept }));
}

TEST_CASE("A field keeps the bytes that a value may hold")
{
  const std::string value = GENERATE("a b\tc", "\xc3\xa4", "a:b,c;d=\"e\"", "");
  CAPTURE(value);
  const AnswerServer server({ { "HTTP/1.1 200 OK\r\nX-Good: \t" + value +
                                  " \r\nX-!#$%&'*+-.^_`|~9: a\r\n"
                                  "Content-Length: 5\r\n\r\nhello",
                                ConnectionEnd::Kept } });
  const auto result = Ask(server.Address(), MakeGet(), PlatformRules());
  REQUIRE(result.has_value());
  CHECK((*result)["X-Good"] == value);
  CHECK((*result)["X-!#$%&'*+-.^_`|~9"] == "a");
  CHECK(result->body() == "hello");
}
