#include "Transport/Answers/AnswerParser.h"

#include <catch2/catch.hpp>

using namespace teaselhold::transport;

// Guards against an answer that is read otherwise because of where its bytes
// were parted on the way.

namespace {

/// What the reader makes of an answer whose connection closes behind it.
struct Reading
{
  bool isWhole = false;
  std::string body;
  std::optional<AnswerFault> fault;

  bool operator==(const Reading&) const = default;
};

/// Gives the parser the bytes in parts of one size.
Reading
Read(const std::string& aBytes, std::size_t aPart)
{
  AnswerParser parser({ false, true, kMaxBodyBytes });
  std::string buffered;
  std::size_t sent = 0;
  while (!parser.IsDone() && sent < aBytes.size()) {
    const auto part = aBytes.substr(sent, aPart);
    buffered += part;
    sent += part.size();
    std::size_t used = 1;
    while (used > 0 && !parser.IsDone() && !buffered.empty()) {
      const auto taken = parser.Take(buffered);
      if (!taken) {
        return { false, "", taken.error() };
      }
      used = *taken;
      buffered.erase(0, used);
    }
  }
  if (!parser.IsDone()) {
    const auto ended = parser.TakeEnd();
    if (!ended) {
      return { false, "", ended.error() };
    }
  }
  return { true, parser.Release().body(), std::nullopt };
}

constexpr const char* kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("An answer is read the same in parts of any size")
{
  const std::string answer = GENERATE(
    as<std::string>(),
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\n\r\nhello",
    std::string(kChunkedHead) + "2\r\nhe\r\n3;a=\"b\"\r\nllo\r\n0\r\n\r\n",
    std::string(kChunkedHead) + "5\r\nhello\r\n0\r\nX-A: a\r\nX-B: b\r\n\r\n",
    "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nX-A: a\r\n Content-Length: 3\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nX-A:\r\n\ta\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello",
    "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello",
    std::string(kChunkedHead) + "5\r\nhello\r\n0\r\nX-A: a\r\n b\r\n\r\n",
    std::string(kChunkedHead) + "5\r\nhello\r\n0\r\n X-A: a\r\n\r\n",
    std::string(kChunkedHead) + "5\r\nhello!\r\n0\r\n\r\n",
    std::string(kChunkedHead) + "5\r\nhello\r\n0\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nX-A",
    "HTXX/1.1 200 OK\r\n\r\n",
    "hello");
  const auto whole = Read(answer, answer.size());
  for (std::size_t part = 1; part < answer.size(); ++part) {
    const auto parted = Read(answer, part);
    CAPTURE(answer, part);
    CHECK(parted.isWhole == whole.isWhole);
    CHECK(parted.body == whole.body);
    CHECK(parted.fault == whole.fault);
  }
}

TEST_CASE("Bytes that cannot become an answer fail at the first wrong one")
{
  const std::string bytes = GENERATE("h", "HTTP/2", "\r\n", "SSH-");
  CAPTURE(bytes);
  CHECK(Read(bytes, 1).fault == AnswerFault::Malformed);
  AnswerParser parser({});
  CHECK(parser.Take("HT").value_or(1) == 0);
  CHECK_FALSE(parser.Take("HTe").has_value());
}

TEST_CASE("A body over the bound is given up")
{
  const std::string answer =
    GENERATE(as<std::string>(),
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
             "HTTP/1.1 200 OK\r\n\r\nhello",
             std::string(kChunkedHead) + "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n");
  CAPTURE(answer);
  AnswerParser parser({ false, true, 4 });
  std::string rest = answer;
  std::optional<AnswerFault> fault;
  while (!fault && !parser.IsDone() && !rest.empty()) {
    const auto taken = parser.Take(rest);
    if (taken) {
      rest.erase(0, *taken);
    } else {
      fault = taken.error();
    }
  }
  CHECK(fault == AnswerFault::TooLarge);
}
