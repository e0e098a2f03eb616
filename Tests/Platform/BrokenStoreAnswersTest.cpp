#include "Tests/Support/AnswerServer.h"
#include "platform/StoreClient.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace teaselhold;
using namespace teaselhold::tests;
using namespace std::chrono_literals;
using protocol::StoreErrorCode;

// Guards against an answer of the store that is broken and looks whole: the
// node would take a key for absent, or a write for done.

namespace {

constexpr const char* kItem =
  R"({"key":"a/key","value":"b25l","revision":7,"atRev":9})";

std::string
MakeAnswer(const std::string& aStatusLine,
           const std::string& aFields,
           const std::string& aBody)
{
  return aStatusLine + "\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Time until bytes or the end of a connection come that no call waits for.
constexpr std::chrono::milliseconds kUntilLate{ 50 };

ScriptedAnswer
MakeWhole()
{
  return { MakeAnswer("HTTP/1.1 200 OK", "", kItem), ConnectionEnd::Kept };
}

/// Answers with the broken bytes first, and with the item from then on.
struct Fixture
{
  explicit Fixture(ScriptedAnswer aBroken)
    : server({ std::move(aBroken), MakeWhole() })
  {
  }

  /// Checks that the connection of the broken answer is not used again.
  void CheckNextRead()
  {
    const auto next = client.Get("a/key", 5s);
    REQUIRE(next.has_value());
    CHECK(next->value == "one");
    CHECK(next->revision == 7);
    CHECK(server.Connections() == 2);
  }

  AnswerServer server;
  platform::StoreClient client{ server.Address(),
                                platform::ConfigurationOwner::Product };
};

struct BrokenAnswer
{
  const char* name;
  ScriptedAnswer answer;
};

std::vector<BrokenAnswer>
BrokenAnswers()
{
  const std::string ok = "HTTP/1.1 200 OK";
  const auto whole = std::string(kItem);
  return {
    { "status 000",
      { MakeAnswer("HTTP/1.1 000 Text", "", kItem), ConnectionEnd::Kept } },
    { "status 101",
      { MakeAnswer("HTTP/1.1 101 Text", "", kItem), ConnectionEnd::Kept } },
    { "status 600",
      { MakeAnswer("HTTP/1.1 600 Text", "", kItem), ConnectionEnd::Kept } },
    { "blank in a name",
      { MakeAnswer(ok, "X Bad: a\r\n", kItem), ConnectionEnd::Kept } },
    { "folded line",
      { MakeAnswer(ok, "X-A: a\r\n b\r\n", kItem), ConnectionEnd::Kept } },
    { "folded length",
      { ok + "\r\nX-A: a\r\n Content-Length: 3\r\n\r\n" + whole,
        ConnectionEnd::Closed } },
    { "unknown coding",
      { ok + "\r\nTransfer-Encoding: gzip\r\n\r\n" + whole,
        ConnectionEnd::Closed } },
    { "unknown coding below chunks",
      { ok + "\r\nTransfer-Encoding: gzip, chunked\r\n\r\n35\r\n" + whole +
          "\r\n0\r\n\r\n",
        ConnectionEnd::Kept } },
    { "cut body",
      { MakeAnswer(ok, "", kItem).substr(0, 60), ConnectionEnd::Closed } },
    { "no length and a reset",
      { ok + "\r\n\r\n" + whole, ConnectionEnd::Reset } },
  };
}

} // namespace

TEST_CASE("a broken answer of the store is no answer to a read")
{
  for (const auto& broken : BrokenAnswers()) {
    CAPTURE(broken.name);
    Fixture fixture(broken.answer);
    const auto entry = fixture.client.Get("a/key", 5s);
    REQUIRE_FALSE(entry.has_value());
    CHECK(entry.error().code == StoreErrorCode::Unknown);
    fixture.CheckNextRead();
  }
}

TEST_CASE("a broken answer of the store leaves the outcome of a write unknown")
{
  for (const auto& broken : BrokenAnswers()) {
    CAPTURE(broken.name);
    Fixture fixture(broken.answer);
    const auto swapped =
      fixture.client.CompareAndSwap("a/key", 0, "one", 0, 5s);
    REQUIRE_FALSE(swapped.has_value());
    CHECK(swapped.error().code == StoreErrorCode::Unknown);
    CHECK(fixture.server.Requests() == 1);
  }
}

TEST_CASE("a broken answer of the store ends a watch and renews no lease")
{
  for (const auto& broken : BrokenAnswers()) {
    CAPTURE(broken.name);
    Fixture watched(broken.answer);
    CHECK_FALSE(watched.client.WatchPrefix("a/", 1, 10ms).has_value());
    Fixture kept(broken.answer);
    CHECK_FALSE(kept.client.KeepAlive(1, 5s).has_value());
  }
}

TEST_CASE("a conflict whose items cannot be read names no absent key")
{
  const std::string body = GENERATE("", "{\"items\":[", "text", "[]", "{}");
  const auto broken = MakeAnswer("HTTP/1.1 412 Precondition Failed", "", body);
  CAPTURE(body);
  Fixture swapped({ broken, ConnectionEnd::Kept });
  const auto swap = swapped.client.CompareAndSwap("a/key", 5, "two", 0, 5s);
  REQUIRE_FALSE(swap.has_value());
  CHECK(swap.error().code == StoreErrorCode::Unknown);
  Fixture polled({ broken, ConnectionEnd::Kept });
  const auto changed = polled.client.GetIfChanged("a/key", 5, 5s);
  REQUIRE_FALSE(changed.has_value());
  CHECK(changed.error().code == StoreErrorCode::Unknown);
}

TEST_CASE("bytes that no call waits for are no answer to the next call")
{
  const auto stale =
    MakeAnswer("HTTP/1.1 200 OK",
               "",
               R"({"key":"a/key","value":"b2xk","revision":3,"atRev":4})");
  const auto first = MakeAnswer("HTTP/1.1 200 OK", "", kItem);
  const auto answer = GENERATE_COPY(
    ScriptedAnswer{ first + stale, ConnectionEnd::Kept },
    ScriptedAnswer{ first + "!", ConnectionEnd::Kept },
    ScriptedAnswer{ first, ConnectionEnd::Kept, true, kUntilLate, stale });
  CAPTURE(answer.lateBytes.empty());
  Fixture fixture(answer);
  REQUIRE(fixture.client.Get("a/key", 5s).has_value());
  std::this_thread::sleep_for(2 * kUntilLate);
  fixture.CheckNextRead();
}

TEST_CASE("a call after the store ended an idle connection opens another one")
{
  const auto end = GENERATE(ConnectionEnd::Closed, ConnectionEnd::Reset);
  CAPTURE(static_cast<int>(end));
  Fixture fixture({ MakeAnswer("HTTP/1.1 200 OK", "", kItem), end });
  REQUIRE(fixture.client.Get("a/key", 5s).has_value());
  std::this_thread::sleep_for(kUntilLate);
  fixture.CheckNextRead();
  CHECK(fixture.server.Requests() == 2);
}

TEST_CASE("an answer of the store that stops in its body is given up soon")
{
  // Guards against a read of the configuration that waits for 5 s for the rest
  // of a body on a connection that went silent.
  auto answer = MakeWhole();
  answer.bytes.resize(answer.bytes.size() - 10);
  Fixture fixture(std::move(answer));
  const auto start = std::chrono::steady_clock::now();
  const auto entry = fixture.client.Get("a/key", 1s);
  CHECK_FALSE(entry.has_value());
  // The next read has to end before machines are judged, 3 s after the silence
  // began.
  CHECK(std::chrono::steady_clock::now() - start < 2s);
  fixture.CheckNextRead();
}

TEST_CASE("an answer of the store that arrives slowly is read whole")
{
  // Guards against a read that is given up although bytes arrive, as on a full
  // link.
  const auto whole = MakeWhole();
  const auto cut = whole.bytes.size() - 10;
  auto slow = whole;
  slow.bytes.resize(cut);
  slow.pause = 1s;
  slow.lateBytes = whole.bytes.substr(cut);
  const AnswerServer server({ slow });
  platform::StoreClient client{ server.Address(),
                                platform::ConfigurationOwner::Product };
  const auto entry = client.Get("a/key", 500ms);
  REQUIRE(entry.has_value());
  CHECK(entry->value == "one");
}
