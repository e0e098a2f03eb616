#include "Services/teaselholdd/ReaderExchange.h"
#include "Tests/Support/AnswerServer.h"
#include "Tests/Support/FreePort.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace teaselhold;
using namespace teaselhold::daemon;
using coordination::ReaderRole;

namespace {

/// A node that is asked, and one that asks it.
struct Pair
{
  Pair()
  {
    auto listening = transport::HttpServer::Listen(
      context,
      address,
      transport::HttpServer::CancellableHandler(
        [this](const Request& aRequest,
               transport::CancellationPointer aCancellation) {
          const bool mayWait = aRequest.target().ends_with("-wait");
          return asked.Serve(aRequest, mayWait, std::move(aCancellation));
        }));
    REQUIRE(listening);
    server = std::move(*listening);
  }

  void Ask(bool aMayWait, const std::string& aAddress)
  {
    answer.reset();
    asking.Ask({ 7, aAddress, aMayWait });
    context.run_for(100ms);
  }

  boost::asio::io_context context;
  std::string address = tests::FreeAddress();
  std::optional<coordination::ReaderAnswered> answer;
  ReaderExchange asked{ context, [](coordination::ReaderAnswered) {} };
  ReaderExchange asking{ context, [this](coordination::ReaderAnswered aAnswer) {
                          answer = aAnswer;
                        } };
  std::unique_ptr<transport::HttpServer> server;
};

} // namespace

TEST_CASE("a node tells its part in reading at once")
{
  Pair pair;
  const auto role = GENERATE(
    ReaderRole::Reading, ReaderRole::Following, ReaderRole::Unavailable);
  pair.asked.SetRole(role);
  pair.Ask(false, pair.address);
  REQUIRE(pair.answer);
  CHECK(pair.answer->call == 7);
  CHECK(pair.answer->role == role);
}

TEST_CASE("a reader holds a question back until it stops reading")
{
  // Guards against a loss of the readers that their followers do not notice.
  Pair pair;
  pair.asked.SetRole(ReaderRole::Reading);
  pair.Ask(true, pair.address);
  CHECK_FALSE(pair.answer);
  SECTION("because it follows now")
  {
    pair.asked.SetRole(ReaderRole::Following);
    pair.context.run_for(100ms);
    REQUIRE(pair.answer);
    CHECK(pair.answer->role == ReaderRole::Following);
  }
  SECTION("because it ends")
  {
    // Guards against an end of the process that waits for held questions.
    pair.asked.Stop();
    pair.context.run_for(100ms);
    REQUIRE(pair.answer);
    CHECK(pair.answer->role == ReaderRole::Unavailable);
    pair.asked.SetRole(ReaderRole::Reading);
    pair.Ask(true, pair.address);
    REQUIRE(pair.answer);
    CHECK(pair.answer->role == ReaderRole::Unavailable);
  }
}

TEST_CASE("a node that does not answer is unavailable")
{
  Pair pair;
  pair.Ask(GENERATE(true, false), tests::FreeAddress());
  REQUIRE(pair.answer);
  CHECK(pair.answer->role == ReaderRole::Unavailable);
}

TEST_CASE("a question at a reader that went silent ends soon in a small fleet")
{
  // Guards against a wait of 10 s for a reader whose kernel acknowledges the
  // question and answers probes although its process never answers.
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
  const std::string role = "Teaselhold-Reader: reading\r\n";
  const tests::AnswerServer silent([&](const std::string& aHead) {
    const bool mayWait = aHead.starts_with("GET /.teaselhold/reader-wait");
    return tests::ScriptedAnswer{
      mayWait ? "" : head + role + "Teaselhold-Reader-Wait: 1000\r\n\r\n",
      tests::ConnectionEnd::Kept
    };
  });
  Pair pair;
  pair.Ask(false, silent.Address());
  REQUIRE(pair.answer);
  CHECK(pair.answer->role == ReaderRole::Reading);
  pair.Ask(true, silent.Address());
  CHECK_FALSE(pair.answer);
  pair.context.run_for(2500ms);
  REQUIRE(pair.answer);
  CHECK(pair.answer->role == ReaderRole::Unavailable);
}

TEST_CASE("a follower that is asked for its role checks its own reader")
{
  // Guards against a node that is to take over after the loss of all readers
  // and waits for 10 s on a silent connection to one of them.
  const tests::AnswerServer silent(
    { tests::ScriptedAnswer{ "", tests::ConnectionEnd::Kept } });
  Pair pair;
  std::optional<coordination::ReaderAnswered> checked;
  ReaderExchange follower(
    pair.context,
    [&](coordination::ReaderAnswered aAnswer) { checked = aAnswer; });
  follower.SetRole(ReaderRole::Following);
  follower.Ask({ 8, silent.Address(), true });
  pair.context.run_for(600ms);
  REQUIRE_FALSE(checked);
  SECTION("when another node searches for a reader")
  {
    boost::asio::co_spawn(
      pair.context, follower.Serve({}, false, nullptr), boost::asio::detached);
    pair.context.run_for(100ms);
    REQUIRE(checked);
    CHECK(checked->call == 8);
    CHECK(checked->role == ReaderRole::Unavailable);
  }
  SECTION("but not when another node would wait")
  {
    boost::asio::co_spawn(
      pair.context, follower.Serve({}, true, nullptr), boost::asio::detached);
    pair.context.run_for(100ms);
    CHECK_FALSE(checked);
  }
}

TEST_CASE("a reader asks to be asked again the sooner the fewer it holds back")
{
  Pair pair;
  pair.asked.SetRole(ReaderRole::Reading);
  pair.Ask(false, pair.address);
  REQUIRE(pair.answer);
  pair.Ask(true, pair.address);
  CHECK_FALSE(pair.answer);
  pair.context.run_for(1200ms);
  REQUIRE(pair.answer);
  CHECK(pair.answer->role == ReaderRole::Reading);
}
