#include "Tests/Transport/Answers/Ask.h"

using namespace teaselhold::tests;

// Guards against a body that is not the one that the server meant.

TEST_CASE("A length that cannot be read makes an answer unreadable")
{
  const std::string fields =
    GENERATE("Content-Length: 5\r\nContent-Length: 6\r\n",
             "Content-Length: 5, 6\r\n",
             "Content-Length:\r\n",
             "Content-Length: -5\r\n",
             "Content-Length: +5\r\n",
             "Content-Length: 5x\r\n",
             "Content-Length: 0x5\r\n",
             "Content-Length: 5 5\r\n",
             "Content-Length: 5;a\r\n",
             "Content-Length: 5.0\r\n",
             "Content-Length: 18446744073709551621\r\n",
             "Content-Length: 5,\r\n",
             "Content-Length: ,5\r\n",
             "Content-Length: \"5\"\r\n");
  const auto end = GENERATE(ConnectionEnd::Kept, ConnectionEnd::Closed);
  CAPTURE(fields, static_cast<int>(end));
  CheckUnreadable(AskForBroken({ MakeAnswer(fields, "hello"), end }));
}

TEST_CASE("A coding other than chunks makes an answer unreadable")
{
  const std::string coding = GENERATE("gzip",
                                      "identity",
                                      "gzip, chunked",
                                      "chunked, gzip",
                                      "chunked, chunked",
                                      "chunked, identity",
                                      "xchunked",
                                      "chunked;a=b",
                                      "\"chunked\"",
                                      ", chunked",
                                      "chunked,",
                                      "");
  const std::string before = GENERATE("", "Content-Length: 5\r\n");
  const std::string after = GENERATE("", "Content-Length: 5\r\n");
  const std::string body = GENERATE("hello", "5\r\nhello\r\n0\r\n\r\n");
  CAPTURE(coding, before, after, body);
  CheckUnreadable(AskForBroken(
    { MakeAnswer(before + "Transfer-Encoding: " + coding + "\r\n" + after,
                 body),
      ConnectionEnd::Closed }));
}

TEST_CASE("Two fields of codings make an answer unreadable")
{
  const std::string first = GENERATE("gzip", "identity", "chunked");
  const std::string second = GENERATE("gzip", "identity", "chunked");
  CAPTURE(first, second);
  CheckUnreadable(
    AskForBroken({ MakeAnswer("Transfer-Encoding: " + first +
                                "\r\nTransfer-Encoding: " + second + "\r\n",
                              "5\r\nhello\r\n0\r\n\r\n"),
                   ConnectionEnd::Closed }));
}

TEST_CASE("Chunks beside a length make an answer unreadable")
{
  const std::string fields =
    GENERATE("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
             "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n");
  CAPTURE(fields);
  CheckUnreadable(AskForBroken(
    { MakeAnswer(fields, "5\r\nhello\r\n0\r\n\r\n"), ConnectionEnd::Kept }));
}

TEST_CASE("Chunks in an answer of HTTP/1.0 make it unreadable")
{
  CheckUnreadable(AskForBroken({ MakeAnswer("Transfer-Encoding: chunked\r\n",
                                            "5\r\nhello\r\n0\r\n\r\n",
                                            "HTTP/1.0 200 OK"),
                                 ConnectionEnd::Closed }));
}

TEST_CASE("Chunks that cannot be read make an answer unreadable")
{
  const std::string chunks =
    GENERATE("5 \r\nhello\r\n0\r\n\r\n",
             " 5\r\nhello\r\n0\r\n\r\n",
             "-5\r\nhello\r\n0\r\n\r\n",
             "+5\r\nhello\r\n0\r\n\r\n",
             "0x5\r\nhello\r\n0\r\n\r\n",
             "x\r\nhello\r\n0\r\n\r\n",
             "\r\nhello\r\n0\r\n\r\n",
             "5;\r\nhello\r\n0\r\n\r\n",
             "5;=a\r\nhello\r\n0\r\n\r\n",
             "5;a=\"b\r\nhello\r\n0\r\n\r\n",
             "5\nhello\r\n0\r\n\r\n",
             "5\rhello\r\n0\r\n\r\n",
             "5\r\nhello0\r\n\r\n",
             "5\r\nhell\r\n0\r\n\r\n",
             "5\r\nhello!\r\n0\r\n\r\n",
             "5\r\nhello\n0\r\n\r\n",
             "10000000000000005\r\nhello\r\n0\r\n\r\n",
             "5\r\nhello\r\n0 \r\n\r\n",
             "5\r\nhello\r\n0\r\nX-Bad\r\n\r\n",
             "5\r\nhello\r\n0\r\nContent-Length: 5\r\n\r\n",
             "5\r\nhello\r\n"
             "0\r\nTransfer-Encoding: chunked\r\n\r\n",
             "5\r\nhello\r\nHTTP/1.1 200 OK\r\n\r\n");
  CAPTURE(chunks);
  CheckUnreadable(AskForBroken({ MakeChunked(chunks), ConnectionEnd::Closed }));
}

TEST_CASE("Answers in every framing are read whole")
{
  const std::string answer = GENERATE(
    MakeAnswer("Content-Length: 5\r\n", "hello"),
    MakeAnswer("Content-Length: 5, 5\r\n", "hello"),
    MakeAnswer("Content-Length: 005\r\n", "hello"),
    MakeAnswer("Content-Length: 5\r\n", "hello", "HTTP/1.0 200 OK"),
    MakeAnswer("", "hello"),
    MakeAnswer("", "hello", "HTTP/1.0 200 OK"),
    MakeAnswer("transfer-encoding: Chunked\r\n", "5\r\nhello\r\n0\r\n\r\n"),
    MakeChunked("2\r\nhe\r\n3;a=b;c=\"d\"\r\nllo\r\n00\r\n\r\n"),
    MakeChunked("5\r\nhello\r\n0\r\nX-Trailer: a\r\n\r\n"));
  CAPTURE(answer);
  const AnswerServer server({ { answer, ConnectionEnd::Closed } });
  const auto result = Ask(server.Address(), MakeGet(), PlatformRules());
  REQUIRE(result.has_value());
  CHECK(result->body() == "hello");
}
