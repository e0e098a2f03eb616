#include "Tests/Coordination/Quotas/QuotaFleet.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace teaselhold;
using namespace teaselhold::test;
using namespace teaselhold::coordination::quotas;
using namespace std::chrono_literals;

namespace {

/// Until each position has a lender and its ledger has filled.
constexpr auto kStartTime = 10s;

state::AccountSpec
Account(const std::string& aName, double aRate, std::uint32_t aBurst)
{
  state::AccountSpec spec;
  spec.name = aName;
  spec.requestsPerSecond = aRate;
  spec.burst = aBurst;
  return spec;
}

/// Rates as unequal as those of a deployment with a few large accounts.
std::vector<state::AccountSpec>
ManyAccounts(std::size_t aCount)
{
  std::vector<state::AccountSpec> specs;
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto rate = 800.0 / std::pow(static_cast<double>(i + 1), 1.2);
    specs.push_back(Account(
      "account-" + std::to_string(i), rate, static_cast<std::uint32_t>(rate)));
  }
  return specs;
}

} // namespace

// Guards against an account that sends many times its limit: with limits that
// hold on each node alone, nine nodes would pass nine times the limit.
TEST_CASE("A hot account gets its limit and no more", "[quotas]")
{
  QuotaFleet fleet(9, 1);
  const auto spec = Account("hot", 100, 100);
  fleet.Configure({ spec });
  fleet.Run(kStartTime);
  fleet.SpreadLoad("hot", 750);
  fleet.Run(20s);
  const auto count = fleet.Take("hot");
  CHECK(fleet.Excess(spec) <= 0);
  // 20 s at the rate and the burst.
  CHECK(count.ran >= 2000);
  CHECK(count.ran + count.refused + 20 >= count.asked);
}

// Guards against fixed shares, which refuse requests at the nodes with clients
// while credit lies idle at those without.
TEST_CASE("A hot account with clients on three of nine nodes gets its limit",
          "[quotas]")
{
  QuotaFleet fleet(9, 2);
  const auto spec = Account("hot", 90, 90);
  fleet.Configure({ spec });
  fleet.Run(kStartTime);
  for (std::size_t node = 0; node < 3; ++node) {
    fleet.SetLoad(node, "hot", 150);
  }
  fleet.Run(20s);
  CHECK(fleet.Excess(spec) <= 0);
  CHECK(fleet.Take("hot").ran >= 1800);
}

// Guards against credit that lies unused where it was lent while requests of
// another node are refused within the limit.
TEST_CASE("Accounts at 0.9 of their limits are refused nothing", "[quotas]")
{
  const auto specs = ManyAccounts(30);
  QuotaFleet fleet(30, 3);
  fleet.Configure(specs);
  fleet.Run(kStartTime);
  for (const auto& spec : specs) {
    fleet.SpreadLoad(spec.name, spec.requestsPerSecond * 0.9);
  }
  fleet.Run(20s);
  for (const auto& spec : specs) {
    const auto count = fleet.Take(spec.name);
    const auto beyond = fleet.RefusedByOneBucket(spec, kStartTime);
    INFO(spec.name << " asked " << count.asked << " refused " << count.refused
                   << " beyond the limit " << beyond);
    CHECK(count.refused <= beyond + count.asked / 100);
    CHECK(fleet.Excess(spec) <= 0);
  }
}

// Guards against a message for each request: the requests of a deployment's
// accounts are spread evenly, so that a node sees few of each.
TEST_CASE("Accounts far below their limits cost few messages", "[quotas]")
{
  const auto specs = ManyAccounts(87);
  QuotaFleet fleet(89, 4);
  fleet.Configure(specs);
  fleet.Run(kStartTime);
  double perSecond = 0;
  for (const auto& spec : specs) {
    fleet.SpreadLoad(spec.name, spec.requestsPerSecond * 0.6);
    perSecond += spec.requestsPerSecond * 0.6;
  }
  fleet.Run(10s);
  const auto messages = fleet.Messages();
  const auto bytes = fleet.Bytes();
  std::uint64_t refused = 0;
  std::uint64_t asked = 0;
  for (const auto& spec : specs) {
    fleet.Take(spec.name);
  }
  fleet.Run(20s);
  for (const auto& spec : specs) {
    const auto count = fleet.Take(spec.name);
    refused += count.refused;
    asked += count.asked;
    CHECK(fleet.Excess(spec) <= 0);
  }
  const auto messagesPerSecond =
    static_cast<double>(fleet.Messages() - messages) / 20;
  INFO("requests a second " << perSecond << ", messages " << messagesPerSecond
                            << ", bytes " << (fleet.Bytes() - bytes) / 20
                            << ", waited " << fleet.Waited());
  CHECK(refused * 1000 <= asked);
  CHECK(messagesPerSecond <= 0.55 * perSecond);
}

// Guards against credit of the old limit that nodes still use: a limit far
// below what the account sends binds one window after all nodes know it.
TEST_CASE("A lowered limit binds after one window", "[quotas]")
{
  QuotaFleet fleet(9, 5);
  fleet.Configure({ Account("account", 300, 300) });
  fleet.Run(kStartTime);
  fleet.SpreadLoad("account", 250);
  fleet.Run(10s);
  const auto lower = Account("account", 20, 20);
  fleet.Configure({ lower }, 1s);
  fleet.Run(1s);
  const auto known = fleet.Now();
  fleet.Run(5s);
  fleet.Take("account");
  fleet.Run(10s);
  CHECK(fleet.Excess(lower, known + 5s) <= 0);
  // The lowered limit is served whole.
  CHECK(fleet.Take("account").ran >= 190);
}

TEST_CASE("A raised limit and a removed one take effect at once", "[quotas]")
{
  QuotaFleet fleet(9, 6);
  fleet.Configure({ Account("account", 20, 20) });
  fleet.Run(kStartTime);
  fleet.SpreadLoad("account", 200);
  fleet.Run(10s);
  CHECK(fleet.Take("account").refused > 1000);
  fleet.Configure({ Account("account", 400, 400) }, 1s);
  fleet.Run(3s);
  fleet.Take("account");
  fleet.Run(10s);
  CHECK(fleet.Take("account").refused == 0);
  auto free = Account("account", 0, 0);
  fleet.Configure({ free }, 1s);
  fleet.SpreadLoad("account", 1000);
  fleet.Run(1s);
  fleet.Take("account");
  fleet.Run(5s);
  CHECK(fleet.Take("account").refused == 0);
}

// Guards against a gap in which an account within its limit is refused while
// lenders change: with one lender for an account, its end stopped the account
// until another lent.
TEST_CASE("The end of a lender refuses nothing within the limit", "[quotas]")
{
  const auto spec = Account("account", 100, 100);
  for (const bool isInOrder : { false, true }) {
    QuotaFleet fleet(9, 7);
    fleet.Configure({ spec });
    fleet.Run(kStartTime);
    fleet.SpreadLoad("account", 60);
    fleet.Run(5s);
    fleet.Take("account");
    const auto lender = fleet.Lender("account", 0);
    REQUIRE(lender);
    // Its own requests end with it.
    fleet.SetLoad(*lender, "account", 0);
    if (isInOrder) {
      fleet.Leave(*lender);
    } else {
      fleet.Kill(*lender);
    }
    fleet.Run(1s);
    fleet.List(500ms);
    fleet.Run(10s);
    const auto count = fleet.Take("account");
    INFO("in order " << isInOrder << " asked " << count.asked << " refused "
                     << count.refused);
    CHECK(count.refused * 100 <= count.asked);
    CHECK(fleet.Excess(spec) <= 0);
    const auto next = fleet.Lender("account", 0);
    REQUIRE(next);
    CHECK(*next != *lender);
  }
}

// Guards against a lender that was suspended and goes on lending credit that
// its successor lends too.
TEST_CASE("A paused lender does not lend when it goes on", "[quotas]")
{
  const auto spec = Account("account", 100, 100);
  QuotaFleet fleet(9, 8);
  fleet.Configure({ spec });
  fleet.Run(kStartTime);
  const auto lender = fleet.Lender("account", 1);
  REQUIRE(lender);
  fleet.Pause(*lender);
  fleet.SpreadLoad("account", 750);
  fleet.Run(6s);
  const auto next = fleet.Lender("account", 1);
  fleet.Resume(*lender);
  CHECK(fleet.DoubleLent() == 0);
  fleet.Run(10s);
  REQUIRE(next);
  CHECK(fleet.DoubleLent() == 0);
  CHECK(fleet.Excess(spec) <= 0);
}

// Guards against nodes that serve an account on both sides of a cut.
TEST_CASE("A cut does not raise the limit", "[quotas]")
{
  const auto spec = Account("account", 100, 100);
  QuotaFleet fleet(9, 9);
  fleet.Configure({ spec });
  fleet.Run(kStartTime);
  fleet.SpreadLoad("account", 750);
  fleet.Run(3s);
  for (std::size_t node = 0; node < 4; ++node) {
    fleet.SetGroup(node, 1);
  }
  fleet.Run(10s);
  CHECK(fleet.Excess(spec) <= 0);
  for (std::size_t node = 0; node < 4; ++node) {
    fleet.SetGroup(node, 0);
  }
  fleet.Take("account");
  fleet.Run(10s);
  CHECK(fleet.Excess(spec) <= 0);
  CHECK(fleet.Take("account").ran >= 950);
}

// Guards against a fleet that refuses accounts within their limits for long
// after all of its nodes were restarted.
TEST_CASE("Credit is lent again within seconds of a restart of all nodes",
          "[quotas]")
{
  const auto specs = ManyAccounts(30);
  QuotaFleet fleet(30, 10);
  fleet.Configure(specs);
  fleet.Run(kStartTime);
  for (const auto& spec : specs) {
    fleet.SpreadLoad(spec.name, spec.requestsPerSecond * 0.6);
  }
  fleet.Run(5s);
  for (std::size_t node = 0; node < 30; ++node) {
    fleet.Kill(node);
  }
  fleet.Run(1s);
  for (std::size_t node = 0; node < 30; ++node) {
    fleet.Start(node);
  }
  fleet.List(300ms);
  fleet.Run(4s);
  for (const auto& spec : specs) {
    fleet.Take(spec.name);
  }
  fleet.Run(5s);
  std::uint64_t asked = 0;
  std::uint64_t refused = 0;
  for (const auto& spec : specs) {
    const auto count = fleet.Take(spec.name);
    asked += count.asked;
    refused += count.refused;
    CHECK(fleet.Excess(spec) <= 0);
  }
  INFO("asked " << asked << " refused " << refused);
  CHECK(refused * 50 <= asked);
}

// Guards against credit that is used up by requests that never ran.
TEST_CASE("Requests that did not run give their credit back", "[quotas]")
{
  const auto spec = Account("account", 50, 50);
  QuotaFleet fleet(9, 11);
  fleet.Configure({ spec });
  fleet.SetNotRunShare(0.6);
  fleet.Run(kStartTime);
  fleet.SpreadLoad("account", 110);
  fleet.Run(20s);
  const auto count = fleet.Take("account");
  INFO("asked " << count.asked << " refused " << count.refused);
  // 44 of the 110 run each second.
  CHECK(count.refused * 100 <= count.asked);
  CHECK(fleet.Excess(spec) <= 0);
}
