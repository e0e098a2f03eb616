#include "Services/teaselholdd/ChangesExchange.h"
#include "Protocol/Headers.h"
#include "Tests/Support/FreePort.h"
#include "Transport/HttpServer.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace teaselhold;
using namespace teaselhold::daemon;
using coordination::ConfigurationChangeLog;

namespace {

/// A node that is asked, and one that asks it.
struct Pair
{
  Pair()
  {
    auto listening = transport::HttpServer::Listen(
      context, address, [this](Request aRequest) -> Awaitable<Response> {
        co_return asked.Serve(aRequest);
      });
    REQUIRE(listening);
    server = std::move(*listening);
  }

  void Ask(const std::string& aAddress, state::Generation aAfter)
  {
    answer.reset();
    asking.Ask({ 7, aAddress, aAfter });
    context.run_for(100ms);
  }

  static VersionExchange MakeVersions(const Clock& aClock,
                                      VersionExchange::Sink aSink)
  {
    return { aClock, {}, std::move(aSink), {}, {} };
  }

  boost::asio::io_context context;
  Clock clock;
  std::string address = tests::FreeAddress();
  std::optional<coordination::ChangesAnswered> answer;
  std::optional<coordination::PeerVersionSeen> heardByAsked;
  std::optional<coordination::PeerVersionSeen> heard;
  VersionExchange versionsOfAsked =
    MakeVersions(clock, [this](const coordination::PeerVersionSeen& aSeen) {
      heardByAsked = aSeen;
    });
  VersionExchange versions =
    MakeVersions(clock, [this](const coordination::PeerVersionSeen& aSeen) {
      heard = aSeen;
    });
  ChangesExchange asked{ context,
                         clock,
                         versionsOfAsked,
                         [](coordination::ChangesAnswered) {} };
  ChangesExchange asking{ context,
                          clock,
                          versions,
                          [this](coordination::ChangesAnswered aAnswer) {
                            answer = std::move(aAnswer);
                          } };
  std::unique_ptr<transport::HttpServer> server;
};

std::shared_ptr<const ConfigurationChangeLog>
MakeChanges()
{
  auto log = std::make_shared<ConfigurationChangeLog>();
  const coordination::ConfigurationVersion three{ "[a]\n", 3, 10 };
  const coordination::ConfigurationVersion five{ "[b]\n", 5, 11 };
  log->Append(&three, five);
  log->Append(&five, { "[c]\n", 8, 12 });
  return log;
}

} // namespace

TEST_CASE("a node gives the changes after the generation that is asked for")
{
  Pair pair;
  pair.asked.Set(MakeChanges());
  const auto after = GENERATE(3U, 5U);
  pair.Ask(pair.address, after);
  REQUIRE(pair.answer);
  CHECK(pair.answer->call == 7);
  const auto log = ConfigurationChangeLog::Parse(pair.answer->log);
  REQUIRE(log);
  CHECK(log->Serialize() == MakeChanges()->After(after).Serialize());
  CHECK(log->NewestGeneration() == 8);
}

TEST_CASE("a node without newer changes answers with none")
{
  Pair pair;
  SECTION("because it has the same version")
  {
    pair.asked.Set(MakeChanges());
  }
  SECTION("because it has no version yet") {}
  pair.Ask(pair.address, 8);
  REQUIRE(pair.answer);
  CHECK(pair.answer->log.empty());
}

TEST_CASE("a node that does not answer a question for changes gives none")
{
  // Guards against a node that waits for the answer of one that ended.
  Pair pair;
  pair.Ask(tests::FreeAddress(), 3);
  REQUIRE(pair.answer);
  CHECK(pair.answer->log.empty());
}

TEST_CASE("a question for changes that names no generation gets none")
{
  Pair pair;
  pair.asked.Set(MakeChanges());
  Request question(
    boost::beast::http::verb::get, protocol::headers::kChangesPath, 11);
  const auto* after = GENERATE("", "-3", "x", "99999999999999999999999");
  question.set(protocol::headers::kAfter, after);
  CHECK(pair.asked.Serve(question).body().empty());
}

TEST_CASE("a question and its answer tell of versions and of the last check")
{
  // Guards against nodes that hear of neither because no requests reach them.
  Pair pair;
  // Clocks of nodes begin at their start.
  pair.context.run_for(20ms);
  const auto checked = pair.clock.Now();
  pair.versionsOfAsked.AddCheck(checked);
  pair.versionsOfAsked.SetOwn(9);
  pair.versions.SetOwn(11);
  pair.Ask(pair.address, 5);
  REQUIRE(pair.heard);
  CHECK(pair.heard->generation == 11);
  REQUIRE(pair.heard->checked);
  // It is never told as later than it was.
  CHECK(*pair.heard->checked <= checked);
  CHECK(*pair.heard->checked > state::Instant{ 0 });
  REQUIRE(pair.heardByAsked);
  CHECK(pair.heardByAsked->generation == 11);
}
