#include "Tests/Services/PlatformMesh.h"

#include <catch2/catch.hpp>

using namespace teaselhold::tests;
using namespace std::chrono_literals;

// Guards against broken answers of an upstream that reach callers as answers,
// with the settings and the adapter of the platform.

namespace {

struct BrokenAnswer
{
  const char* name;
  std::string bytes;
  ConnectionEnd end = ConnectionEnd::Kept;
};

constexpr std::size_t kUploadBytes = std::size_t{ 12 } * 1024 * 1024;

/// Time in which the node fills the sockets and waits to write more.
constexpr std::chrono::milliseconds kUntilFull{ 100 };

std::string
MakeHead(const std::string& aHead, const std::string& aStatus = "200 OK")
{
  return "HTTP/1.1 " + aStatus + "\r\n@id@" + aHead + "\r\n";
}

const std::vector<BrokenAnswer>&
BrokenAnswers()
{
  static const std::vector<BrokenAnswer> kAnswers{
    { "status 000, length",
      MakeHead("Content-Length: 5\r\n", "000 Broken") + "hello" },
    { "status 000, chunks",
      MakeHead("Transfer-Encoding: chunked\r\n", "000 Broken") +
        "5\r\nhello\r\n0\r\n\r\n" },
    { "status 000, no length",
      MakeHead("", "000 Broken") + "hello",
      ConnectionEnd::Closed },
    { "status 000 behind an interim answer",
      "HTTP/1.1 100 Continue\r\n\r\n" +
        MakeHead("Content-Length: 5\r\n", "000 Broken") + "hello" },
    { "status 101", MakeHead("", "101 Switching") },
    { "status 600", MakeHead("Content-Length: 5\r\n", "600 Odd") + "hello" },
    { "blank in a name",
      MakeHead("X Bad: a\r\nContent-Length: 5\r\n") + "hello" },
    { "control byte in a name",
      MakeHead("X\x01"
               "Bad: a\r\nContent-Length: 5\r\n") +
        "hello" },
    { "blank before a name",
      MakeHead("X-A: a\r\n Content-Length: 3\r\n") + "hello",
      ConnectionEnd::Closed },
    { "unknown coding",
      MakeHead("Transfer-Encoding: gzip\r\n") + "hello",
      ConnectionEnd::Closed },
    { "coding below chunks",
      MakeHead("Transfer-Encoding: gzip, chunked\r\n") +
        "5\r\nhello\r\n0\r\n\r\n" },
    { "cut chunks",
      MakeHead("Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n",
      ConnectionEnd::Closed },
    { "no length, reset",
      MakeHead("") + std::string(700, 'a'),
      ConnectionEnd::Reset },
  };
  return kAnswers;
}

ScriptedAnswer
WithId(const BrokenAnswer& aAnswer, const std::string& aHead, bool aReadsBody)
{
  auto bytes = aAnswer.bytes;
  const auto place = bytes.find("@id@");
  bytes.replace(
    place, 4, "X-Request-Id: " + FieldOf(aHead, "X-Request-Id") + "\r\n");
  return { bytes, aAnswer.end, aReadsBody, aReadsBody ? 0ms : kUntilFull };
}

/// The same for an answer of a node.
ScriptedAnswer
WithNodeId(const BrokenAnswer& aAnswer, const std::string& aHead)
{
  const std::string name = "Teaselhold-Request-Id";
  auto bytes = aAnswer.bytes;
  const auto place = bytes.find("@id@");
  bytes.replace(place,
                4,
                name + ": " + FieldOf(aHead, name) +
                  "\r\nTeaselhold-Outcome: answered\r\n");
  return { bytes, aAnswer.end };
}

/// Checks that the caller got a failure that promises nothing.
void
CheckFailed(const CallResult& aResult)
{
  REQUIRE(aResult.answer);
  CHECK(aResult.Status() == 502);
  CHECK(aResult.Outcome() == "unknown");
  CHECK(aResult.Reason() == "partial-answer");
}

} // namespace

TEST_CASE("Broken answers of an upstream never reach a caller of the platform")
{
  std::atomic<const BrokenAnswer*> broken = nullptr;
  PlatformMesh mesh(
    [&](const std::string& aHead) { return WithId(*broken, aHead, true); });
  for (const auto& answer : BrokenAnswers()) {
    broken = &answer;
    for (const bool isFar : { false, true }) {
      CAPTURE(answer.name, isFar);
      const auto before = mesh.Upstream().Requests();
      CheckFailed(mesh.Send(isFar, "GET", "/safe/"));
      CheckFailed(mesh.Send(isFar, "POST", "/upload/", "short"));
      CHECK(mesh.Upstream().Requests() >= before + 2);
      // The upstream is still used, on another connection.
      CHECK(mesh.Send(isFar, "GET", "/ready/").Body() == "ready");
    }
  }
}

TEST_CASE("An upload that is answered early and reset fails for its caller")
{
  std::atomic<const BrokenAnswer*> broken = nullptr;
  PlatformMesh mesh(
    [&](const std::string& aHead) { return WithId(*broken, aHead, false); });
  const std::string upload(kUploadBytes, 'u');
  for (const char* status : { "200 OK", "500 Failed" }) {
    for (const std::size_t bytes : { 700, 90000 }) {
      const BrokenAnswer answer{ status,
                                 MakeHead("", status) + std::string(bytes, 'a'),
                                 ConnectionEnd::Reset };
      broken = &answer;
      for (const bool isFar : { false, true }) {
        CAPTURE(status, bytes, isFar);
        CheckFailed(mesh.Send(isFar, "POST", "/upload/", upload));
      }
    }
  }
}

TEST_CASE("An upload that is answered early and whole is served")
{
  const BrokenAnswer answer{ "early",
                             MakeHead("Content-Length: 5\r\n") + "hello" };
  PlatformMesh mesh(
    [&](const std::string& aHead) { return WithId(answer, aHead, false); });
  const std::string upload(kUploadBytes, 'u');
  for (const bool isFar : { false, true }) {
    CAPTURE(isFar);
    const auto result = mesh.Send(isFar, "POST", "/upload/", upload);
    CHECK(result.Status() == 200);
    CHECK(result.Body() == "hello");
  }
}

TEST_CASE("Broken answers of another node never reach a caller")
{
  const BrokenAnswer answer = GENERATE(
    BrokenAnswer{ "status 000",
                  MakeHead("Content-Length: 5\r\n", "000 Broken") + "hello" },
    BrokenAnswer{ "folded field",
                  MakeHead("X-A: a\r\n b\r\nContent-Length: 5\r\n") + "hello" },
    BrokenAnswer{ "unknown coding",
                  MakeHead("Transfer-Encoding: gzip\r\nContent-Length: 5\r\n") +
                    "hello" },
    BrokenAnswer{ "cut body",
                  MakeHead("Content-Length: 9\r\n") + "hello",
                  ConnectionEnd::Closed });
  const std::string method = GENERATE("GET", "POST");
  CAPTURE(answer.name, method);
  PlatformMesh mesh([](const auto&) { return ScriptedAnswer{}; });
  const auto node = mesh.TakeNearNode(
    [&](const std::string& aHead) { return WithNodeId(answer, aHead); });
  const bool isGet = method == "GET";
  CheckFailed(mesh.Send(
    true, method, isGet ? "/safe/" : "/upload/", isGet ? "" : "short"));
  CHECK(node->Requests() > 0);
}
