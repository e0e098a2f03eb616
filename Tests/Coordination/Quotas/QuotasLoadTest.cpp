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
