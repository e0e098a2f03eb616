#include "Tests/Coordination/CallFixtures.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <set>

using namespace teaselhold;
using namespace teaselhold::test;

namespace {

const Outcome kAnswer = Answered{ 200 };
const Outcome kRefusedConnection = NotRun{ NotRunReason::ConnectFailed };

Router
MakeRouter(std::uint64_t aSeed = 1)
{
  return Router({ "entry", "bud1", "bud", aSeed });
}

std::map<std::string, int>
CountPicks(Router& aRouter, int aCount, state::Instant aNow)
{
  std::map<std::string, int> counts;
  for (int i = 0; i < aCount; ++i) {
    const auto picked = aRouter.Pick("visits", {}, aNow);
    if (picked != nullptr) {
      ++counts[picked->node];
      aRouter.OnRequestFinished(*picked, kAnswer, aNow);
    }
  }
  return counts;
}

/// Ejects a node by failing a request to it.
void
FailRequestTo(Router& aRouter, const std::string& aNode, state::Instant aNow)
{
  const auto endpoint = aRouter.Find(aNode);
  aRouter.OnRequestStarted(endpoint, aNow);
  aRouter.OnRequestFinished(*endpoint, kRefusedConnection, aNow);
}

} // namespace

TEST_CASE("a request never goes to an upstream that is not announced ready")
{
  auto router = MakeRouter();
  std::vector<state::EndpointRecord> records;
  for (const auto& [state, name] : state::kEndpointStateNames) {
    records.push_back(MakeEndpoint(std::string(name)));
    records.back().state = state;
  }
  router.SetEndpoints(MakeTable(records), 0s);
  const auto counts = CountPicks(router, 100, 0s);
  CHECK(counts == std::map<std::string, int>{ { "ready", 100 } });
  FailRequestTo(router, "ready", 0s);
  // Panic mode ignores the ejection, but not the announced state.
  CHECK(CountPicks(router, 100, 0s) == counts);
}

TEST_CASE("requests go to a farther group only when this node has filled the "
          "nearer ones")
{
  auto router = MakeRouter();
  auto near = MakeEndpoint("near");
  near.slots = 2;
  router.SetEndpoints(
    MakeTable(
      { near, MakeEndpoint("region", "bud2"), MakeEndpoint("far", "dkr1") }),
    0s);
  std::vector<std::string> picked(15);
  for (auto& node : picked) {
    node = router.Pick("visits", {}, 0s)->node;
  }
  CHECK(std::ranges::count(picked, "near") == 2);
  CHECK(std::ranges::count(picked, "region") == 12);
  CHECK(picked.back() == "far");
}

TEST_CASE(
  "an upstream that refused a request because of load is avoided briefly")
{
  auto router = MakeRouter();
  router.SetEndpoints(
    MakeTable({ MakeEndpoint("a"), MakeEndpoint("b", "bud2") }), 0s);
  const auto first = router.Pick("visits", {}, 1s);
  REQUIRE(first->node == "a");
  router.OnRequestFinished(*first, NotRun{ NotRunReason::Full }, 1s);
  CHECK(CountPicks(router, 5, 1s).contains("b"));
  CHECK(CountPicks(router, 5, 2s).contains("a"));
}

TEST_CASE("a failed upstream is ejected at once and tried again by one request")
{
  auto router = MakeRouter();
  const auto table =
    MakeTable({ MakeEndpoint("a"), MakeEndpoint("b"), MakeEndpoint("c") });
  router.SetEndpoints(table, 0s);
  CountPicks(router, 1, 0s);
  FailRequestTo(router, "a", 0s);
  CHECK_FALSE(CountPicks(router, 200, 900ms).contains("a"));
  // Half-open state: one request in flight at a time.
  int trials = 0;
  for (int i = 0; i < 60; ++i) {
    trials += router.Pick("visits", {}, 2s)->node == "a" ? 1 : 0;
  }
  CHECK(trials == 1);
  router.OnRequestFinished(*router.Find("a"), kRefusedConnection, 2s);
  CHECK_FALSE(CountPicks(router, 200, 3900ms).contains("a"));
  CHECK(CountPicks(router, 200, 5s).contains("a"));
}

TEST_CASE("the growing ejection time never exceeds its limit")
{
  UpstreamHealth health(1, {}, 0s);
  state::Instant now{ 0 };
  state::Duration longest{ 0 };
  for (int i = 0; i < 20; ++i) {
    health.OnRequestStarted(now);
    health.OnRequestFinished(kRefusedConnection, 1.0, now);
    longest = std::max(longest, health.EjectedUntil() - now);
    now = health.EjectedUntil();
  }
  CHECK(longest == 40s);
}

TEST_CASE("ejections caused by a fault of this node do not stop a service")
{
  auto router = MakeRouter();
  router.SetEndpoints(
    MakeTable({ MakeEndpoint("a"), MakeEndpoint("b"), MakeEndpoint("c") }), 0s);
  CountPicks(router, 1, 0s);
  FailRequestTo(router, "a", 0s);
  CHECK(CountPicks(router, 300, 0s).size() == 2);
  FailRequestTo(router, "b", 0s);
  // The requests are not finished, because a success would end the ejection.
  std::set<std::string> picked;
  for (int i = 0; i < 30; ++i) {
    picked.insert(router.Pick("visits", {}, 0s)->node);
  }
  CHECK(picked.size() == 3);
}

TEST_CASE("a new incarnation starts without failures and gets a growing share")
{
  auto router = MakeRouter();
  router.SetEndpoints(MakeTable({ MakeEndpoint("a"), MakeEndpoint("b") }), 0s);
  const auto old = router.Pick("visits", { router.Find("b") }, 0s);
  REQUIRE(old->node == "a");
  FailRequestTo(router, "a", 0s);
  router.SetEndpoints(
    MakeTable({ MakeEndpoint("a", "bud1", 2), MakeEndpoint("b") }), 1s);
  // A late failure of the old incarnation does not count against the new one.
  const auto fresh = router.Pick("visits", { router.Find("b") }, 1s);
  REQUIRE(fresh->incarnation == 2);
  router.OnRequestFinished(*old, kRefusedConnection, 1s);
  router.OnRequestFinished(*fresh, kAnswer, 1s);
  const auto inFlight = [&](state::Instant aNow) {
    std::map<std::string, int> counts;
    std::vector<EndpointPointer> picked;
    for (int i = 0; i < 12; ++i) {
      picked.push_back(router.Pick("visits", {}, aNow));
      ++counts[picked.back()->node];
    }
    for (const auto& endpoint : picked) {
      router.OnRequestFinished(*endpoint, kAnswer, aNow);
    }
    return counts["a"];
  };
  const auto cold = inFlight(1s);
  const auto warm = inFlight(20s);
  CHECK(cold >= 1);
  CHECK(cold <= 2);
  CHECK(warm == 6);
}

TEST_CASE("the recorded health of removed nodes does not accumulate")
{
  auto router = MakeRouter();
  for (int i = 0; i < 100; ++i) {
    router.SetEndpoints(MakeTable({ MakeEndpoint("n" + std::to_string(i)) }),
                        0s);
    CountPicks(router, 1, 0s);
  }
  CHECK(router.TrackedNodeCount() == 1);
}

TEST_CASE("one timeout does not eject an upstream, two without a success do")
{
  UpstreamHealth health(1, {}, 0s);
  for (const bool ejected : { false, true }) {
    health.OnRequestStarted(0s);
    health.OnRequestFinished(Unknown{ UnknownReason::Timeout }, 0.5, 0s);
    CHECK(health.IsEjected(0s) == ejected);
  }
}

TEST_CASE("nodes of one region choose the same executor for a key")
{
  auto left = MakeRouter(1);
  Router right({ "other", "bud2", "bud", 99 });
  const auto table = MakeTable({ MakeEndpoint("a"),
                                 MakeEndpoint("b", "bud2"),
                                 MakeEndpoint("c", "bud2"),
                                 MakeEndpoint("d", "dkr1") });
  left.SetEndpoints(table, 0s);
  right.SetEndpoints(table, 0s);
  std::map<std::string, int> counts;
  for (std::uint64_t key = 0; key < 300; ++key) {
    const auto hash = state::DigestOfText(std::to_string(key));
    const auto one = left.PickExecutor("visits", hash, {}, 0s);
    const auto two = right.PickExecutor("visits", hash, {}, 0s);
    CHECK(one->node == two->node);
    ++counts[one->node];
  }
  CHECK(counts.size() == 3);
  for (const auto& [node, count] : counts) {
    CHECK(count > 60);
  }
}

TEST_CASE("the time of a pick with many services and endpoints is printed")
{
  auto router = MakeRouter();
  state::EndpointTable table;
  for (int i = 0; i < 6500; ++i) {
    auto record =
      MakeEndpoint("node-" + std::to_string(i), "dc" + std::to_string(i % 10));
    record.service = "service-" + std::to_string(i % 350);
    table.Merge(record);
    record.node = "hot-" + std::to_string(i);
    record.service = "hot";
    if (i < 300) {
      table.Merge(record);
    }
  }
  router.SetEndpoints(std::make_shared<state::EndpointTable>(table), 0s);
  constexpr int kPicks = 200000;
  for (const std::string service : { "hot", "service-7" }) {
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < kPicks; ++i) {
      const auto picked = router.Pick(service, {}, 1s);
      router.OnRequestFinished(*picked, kAnswer, 1s);
    }
    const std::chrono::duration<double, std::nano> time =
      std::chrono::steady_clock::now() - begin;
    std::cout << "router: " << time.count() / kPicks << " ns per pick of "
              << service << "\n";
  }
}
