#include "Services/teaselholdd/ReaderExchange.h"
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
          return asked.Serve(mayWait, std::move(aCancellation));
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
