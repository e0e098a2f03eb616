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

  boost::asio::io_context context;
  std::string address = tests::FreeAddress();
  std::optional<coordination::ChangesAnswered> answer;
  ChangesExchange asked{ context, [](coordination::ChangesAnswered) {} };
  ChangesExchange asking{ context,
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
