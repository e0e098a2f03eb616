#include "Tests/Transport/Answers/Ask.h"

using namespace teaselhold::tests;

// Guards against a head that is none, and against waiting for its end.

TEST_CASE("A head that is cut or not of HTTP/1 makes an answer unreadable")
{
  const std::string answer = GENERATE("HTTP/1.1 200 OK\r\nContent-Le",
                                      "HTTP/1.1 200 OK\r\nX-A: a\r\n",
                                      "HTTP/1.1 200",
                                      "HTTP/1.1 200 OK\n\nhello",
                                      "HTTP/1.1 200 OK\r\n\nhello",
                                      "HTTP/1.1 200 OK\r\rhello",
                                      "HTTP/1.1 200\r\n\r\nhello",
                                      "HTTP/1.1  200 OK\r\n\r\nhello",
                                      "HTTP/1.1\t200 OK\r\n\r\nhello",
                                      " HTTP/1.1 200 OK\r\n\r\nhello",
                                      "\r\nHTTP/1.1 200 OK\r\n\r\nhello",
                                      "HTTP/2.0 200 OK\r\n\r\nhello",
                                      "HTTP/0.9 200 OK\r\n\r\nhello",
                                      "http/1.1 200 OK\r\n\r\nhello",
                                      "HTTP/1.1 200 O\x01K\r\n\r\nhello",
                                      "HTTP/1.1 200 O\x7fK\r\n\r\nhello",
                                      "ICY 200 OK\r\n\r\nhello",
                                      "hello");
  CAPTURE(answer);
  CheckUnreadable(AskForBroken({ answer, ConnectionEnd::Closed }));
}

TEST_CASE("A head without end is given up before the deadline")
{
  // The server keeps the connection, so only the reader can end it.
  const std::string answer = GENERATE("hello", "HTTP/1.1 000 Text\r\n\r\n");
  CAPTURE(answer);
  const auto start = std::chrono::steady_clock::now();
  CheckUnreadable(AskForBroken({ answer, ConnectionEnd::Kept }));
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(10));
}
