#include "Coordination/Accounts/KeyCheck.h"
#include "State/KeyDigest.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using coordination::CheckKey;
using coordination::KeyFacts;
using coordination::NotRunReason;

namespace {

constexpr const char* kKey = "y5rcpihhacruddedev3n";

/// One account with one key, a route that needs a key and a public one.
state::ConfigurationPointer
MakeConfiguration(bool aHasAccount = true)
{
  state::ConfigurationBuilder builder;
  builder.SetGeneration(7);
  builder.AddService({ "desk", {}, true });
  state::RouteSpec route;
  route.name = "lodge";
  route.method = state::kAnyMethod;
  route.pathPrefix = "/lodge/";
  route.service = "desk";
  builder.AddRoute(route);
  route.name = "open";
  route.pathPrefix = "/open/";
  route.isPublic = true;
  builder.AddRoute(route);
  if (aHasAccount) {
    state::AccountSpec account;
    account.name = "hule";
    account.keyDigests = { state::DigestOfKey(kKey) };
    account.priority = 1;
    builder.AddAccount(account);
  }
  auto built = builder.Build();
  REQUIRE(built);
  return *built;
}

const state::RouteSpec&
Route(const state::ConfigurationPointer& aConfiguration, const char* aPath)
{
  const auto* route = aConfiguration->FindRoute("GET", aPath);
  REQUIRE(route != nullptr);
  return *route;
}

} // namespace

TEST_CASE("A key opens the routes of its account's requests", "[accounts]")
{
  const auto configuration = MakeConfiguration();
  const auto result =
    CheckKey(*configuration, Route(configuration, "/lodge/1"), { kKey, 1 });
  REQUIRE(result);
  REQUIRE(*result != nullptr);
  CHECK((*result)->name == "hule");
}

TEST_CASE("A long key opens the routes of its account's requests", "[accounts]")
{
  // Guards against 401 for a key that the configuration holds.
  const std::string key(5000, 'k');
  state::ConfigurationBuilder builder;
  builder.AddService({ "desk", {}, true });
  state::RouteSpec route;
  route.method = state::kAnyMethod;
  route.pathPrefix = "/lodge/";
  route.service = "desk";
  builder.AddRoute(route);
  state::AccountSpec account;
  account.name = "hule";
  account.keyDigests = { state::DigestOfKey(key) };
  builder.AddAccount(account);
  const auto configuration = builder.Build();
  REQUIRE(configuration);
  const auto result =
    CheckKey(**configuration, Route(*configuration, "/lodge/1"), { key, 1 });
  REQUIRE(result);
  CHECK((*result)->name == "hule");
}

TEST_CASE("Unknown and malformed keys are refused", "[accounts]")
{
  // Guards against requests that run though no configuration held their key.
  const auto configuration = MakeConfiguration();
  const auto& route = Route(configuration, "/lodge/1");
  const std::string longKey(5000, 'a');
  for (const auto& facts : { KeyFacts{ "another", 1 },
                             // The header stands twice.
                             KeyFacts{ kKey, 2 },
                             KeyFacts{ "", 1 },
                             KeyFacts{ longKey, 1 } }) {
    const auto result = CheckKey(*configuration, route, facts);
    REQUIRE_FALSE(result);
    CHECK(result.error() == NotRunReason::AccountKeyUnknown);
  }
}

TEST_CASE("A digest does not open what its key opens", "[accounts]")
{
  // Guards against a reader of the configuration text, which holds digests,
  // that sends one of them as a key.
  const auto configuration = MakeConfiguration();
  const auto digest = state::FormatDigest(state::DigestOfKey(kKey));
  const auto result =
    CheckKey(*configuration, Route(configuration, "/lodge/1"), { digest, 1 });
  REQUIRE_FALSE(result);
  CHECK(result.error() == NotRunReason::AccountKeyUnknown);
}

TEST_CASE("Only calls of running requests need no key", "[accounts]")
{
  // Guards against callers without a key, and against refused calls of
  // requests that run.
  const auto configuration = MakeConfiguration();
  const auto& route = Route(configuration, "/lodge/1");
  const auto refused = CheckKey(*configuration, route, { "", 0, false });
  REQUIRE_FALSE(refused);
  CHECK(refused.error() == NotRunReason::AccountKeyMissing);
  const auto nested = CheckKey(*configuration, route, { "", 0, true });
  REQUIRE(nested);
  CHECK(*nested == nullptr);
}

TEST_CASE("A wrong key is no call of a running request", "[accounts]")
{
  const auto configuration = MakeConfiguration();
  const auto result = CheckKey(
    *configuration, Route(configuration, "/lodge/1"), { "another", 1, true });
  CHECK_FALSE(result);
}

TEST_CASE("Public routes take any request", "[accounts]")
{
  const auto configuration = MakeConfiguration();
  const auto& route = Route(configuration, "/open/1");
  const auto without = CheckKey(*configuration, route, {});
  REQUIRE(without);
  CHECK(*without == nullptr);
  const auto unknown = CheckKey(*configuration, route, { "another", 1 });
  REQUIRE(unknown);
  CHECK(*unknown == nullptr);
  // The upstream may be told only of an account that holds the key.
  const auto known = CheckKey(*configuration, route, { kKey, 1 });
  REQUIRE(known);
  CHECK(*known != nullptr);
  const auto unverified =
    CheckKey(*configuration, route, { kKey, 1, false, false });
  REQUIRE(unverified);
  CHECK(*unverified == nullptr);
}

TEST_CASE("Unverified keys open nothing and are not called unknown",
          "[accounts]")
{
  // Guards against withdrawn keys on a node that cannot hear of it, and
  // against a 401 for a key that a newer version holds.
  const auto configuration = MakeConfiguration();
  const auto& route = Route(configuration, "/lodge/1");
  for (const auto* key : { kKey, "another" }) {
    const auto result =
      CheckKey(*configuration, route, { key, 1, true, false });
    REQUIRE_FALSE(result);
    CHECK(result.error() == NotRunReason::AccountsUnverified);
  }
  // Calls of running requests go on: they use no key.
  CHECK(CheckKey(*configuration, route, { "", 0, true, false }));
}

TEST_CASE("Without accounts no key is read", "[accounts]")
{
  const auto configuration = MakeConfiguration(false);
  const auto result = CheckKey(*configuration,
                               Route(configuration, "/lodge/1"),
                               { "any", 2, false, false });
  REQUIRE(result);
  CHECK(*result == nullptr);
}
