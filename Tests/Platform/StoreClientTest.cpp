#include "platform/StoreClient.h"
#include "Protocol/RolloutText.h"
#include "Tests/Platform/RunningStore.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace std::chrono_literals;
using protocol::StoreErrorCode;
using tests::RunningStore;

TEST_CASE("a failed compare-and-swap returns the current value")
{
  RunningStore store;
  const auto client = store.Client();
  const auto first = client->CompareAndSwap("a/key", 0, "one", 0, 1s);
  REQUIRE(first);
  CHECK(first->swapped);
  const auto second = client->CompareAndSwap("a/key", 0, "two", 0, 1s);
  REQUIRE(second);
  CHECK_FALSE(second->swapped);
  CHECK(second->current.value == "one");
  CHECK(second->current.revision == first->current.revision);
  CHECK(client->Get("a/key", 1s)->value == "one");
  CHECK(client->Get("a/none", 1s)->revision == 0);
}

TEST_CASE("an ended lease removes its key and rejects later writes")
{
  RunningStore store;
  const auto client = store.Client();
  const auto lease = client->GrantLease(5s, 1s);
  REQUIRE(lease);
  REQUIRE(client->CompareAndSwap("a/key", 0, "one", *lease, 1s)->swapped);
  CHECK(*client->KeepAlive(*lease, 1s));
  CHECK(*client->EndLease(*lease, 1s));
  CHECK(client->Get("a/key", 1s)->revision == 0);
  CHECK_FALSE(*client->KeepAlive(*lease, 1s));
  const auto late = client->CompareAndSwap("a/key", 0, "two", *lease, 1s);
  REQUIRE_FALSE(late);
  CHECK(late.error().code == StoreErrorCode::LeaseLapsed);
}

TEST_CASE("a prefix watch returns puts and deletes after a revision")
{
  RunningStore store;
  const auto client = store.Client();
  const auto listing =
    client->List("a/", protocol::ReadConsistency::Linearizable, 1s);
  REQUIRE(listing);
  CHECK(listing->items.empty());
  const auto one = client->CompareAndSwap("a/1", 0, "one", 0, 1s);
  client->CompareAndSwap("b/1", 0, "other", 0, 1s);
  const auto changes = client->WatchPrefix("a/", listing->revision, 5s);
  REQUIRE(changes);
  REQUIRE(changes->changes.size() == 1);
  CHECK(changes->changes[0].value == "one");
  CHECK(changes->changes[0].revision == one->current.revision);
  store.OnStore([](stand_in::StoreState& aState) { aState.Revoke("a/"); });
  const auto removal = client->WatchPrefix("a/", changes->revision, 5s);
  REQUIRE(removal);
  REQUIRE(removal->changes.size() == 1);
  CHECK_FALSE(removal->changes[0].value);
}

TEST_CASE("a listing reads all pages")
{
  constexpr int kKeys = 1203;
  RunningStore store;
  store.OnStore([](stand_in::StoreState& aState) {
    for (int i = 0; i < kKeys; ++i) {
      aState.Apply({ {}, { { "a/" + std::to_string(i), "value", 0 } }, {} });
    }
  });
  const auto listing =
    store.Client()->List("a/", protocol::ReadConsistency::Stale, 5s);
  REQUIRE(listing);
  CHECK(listing->items.size() == kKeys);
}

TEST_CASE("lost history, rate limits and outages give distinct errors")
{
  RunningStore store;
  const auto client = store.Client();
  client->CompareAndSwap("a/1", 0, "one", 0, 1s);
  store.OnStore([](stand_in::StoreState& aState) { aState.Compact(); });
  const auto watch = client->WatchPrefix("a/", 1, 1s);
  REQUIRE_FALSE(watch);
  CHECK(watch.error().code == StoreErrorCode::HistoryLost);
  std::optional<StoreErrorCode> refused;
  for (int i = 0; i < 40 && !refused; ++i) {
    const auto lease = client->GrantLease(1s, 1s);
    refused = lease ? std::nullopt : std::optional(lease.error().code);
  }
  CHECK(refused == StoreErrorCode::RateLimited);
  platform::StoreClient nobody(tests::FreeAddress(),
                               platform::ConfigurationOwner::Product);
  CHECK(nobody.Get("a/1", 1s).error().code == StoreErrorCode::Unavailable);
}

TEST_CASE("a watched key is read again after its history was compacted")
{
  RunningStore store;
  const auto client = store.Client();
  const auto first = client->CompareAndSwap("a/key", 0, "one", 0, 1s);
  const auto known = client->Watch("a/key", 0, 1s);
  REQUIRE(known);
  CHECK(known->value == "one");
  store.OnStore([&](stand_in::StoreState& aState) {
    aState.Apply({ { { "a/key", first->current.revision } },
                   { { "a/key", "two", 0 } },
                   {} });
    aState.Compact();
  });
  const auto changed = client->Watch("a/key", known->revision, 1s);
  REQUIRE(changed);
  CHECK(changed->value == "two");
}

TEST_CASE("closing the client ends a pending watch")
{
  RunningStore store;
  const auto client = store.Client();
  auto waiting = std::async(std::launch::async, [&] {
    return client->WatchPrefix("a/", 1, 20s).has_value();
  });
  std::this_thread::sleep_for(100ms);
  client->Close();
  CHECK(waiting.wait_for(10s) == std::future_status::ready);
}

TEST_CASE("nodes do not write the configuration that an operator owns")
{
  RunningStore store;
  const auto client = store.Client(platform::ConfigurationOwner::Operator);
  const auto written =
    client->CompareAndSwap(protocol::kConfigurationKey, 0, "text", 0, 1s);
  REQUIRE_FALSE(written);
  CHECK(written.error().code == StoreErrorCode::Unavailable);
}

TEST_CASE("an unchanged value is not sent again")
{
  RunningStore store;
  const auto client = store.Client();
  const auto written = client->CompareAndSwap("a/key", 0, "one", 0, 1s);
  const auto same =
    client->GetIfChanged("a/key", written->current.revision, 1s);
  REQUIRE(same);
  CHECK_FALSE(*same);
  const auto changed = client->GetIfChanged("a/key", 1, 1s);
  REQUIRE(changed);
  REQUIRE(*changed);
  CHECK((*changed)->value == "one");
  CHECK((*changed)->revision == written->current.revision);
}

TEST_CASE("an interrupted watch reads the key again on its next call")
{
  // Guards against a change between two watches that is never reported.
  RunningStore store;
  const auto client = store.Client();
  const auto first = client->CompareAndSwap("a/key", 0, "one", 0, 1s);
  const auto known = client->Watch("a/key", 0, 1s);
  REQUIRE(known);
  auto waiting = std::async(std::launch::async, [&] {
    return client->Watch("a/key", known->revision, 20s);
  });
  std::this_thread::sleep_for(100ms);
  client->EndWatch();
  REQUIRE(waiting.wait_for(5s) == std::future_status::ready);
  const auto ended = waiting.get();
  REQUIRE_FALSE(ended);
  CHECK(ended.error().code == StoreErrorCode::Cancelled);
  REQUIRE(
    client->CompareAndSwap("a/key", first->current.revision, "two", 0, 1s));
  const auto next = client->Watch("a/key", known->revision, 20s);
  REQUIRE(next);
  CHECK(next->value == "two");
}

TEST_CASE("the watch of the configuration also shows orders of roll-outs")
{
  // Guards against a second waiting call of every node, and against an order
  // that nobody sees.
  RunningStore store;
  const auto client = store.Client(platform::ConfigurationOwner::Operator);
  const auto put = [&](const std::string& aKey, const std::string& aValue) {
    store.OnStore([&](stand_in::StoreState& aState) {
      aState.Apply({ {}, { { aKey, aValue, 0 } }, {} });
    });
  };
  put("op/config", "{}");
  const auto first = client->Watch(protocol::kConfigurationKey, 0, 1s);
  REQUIRE(first);
  put("op/rollout/walls", R"({"targetVersion":"v2","duration":"12s"})");
  const auto seen =
    client->Watch(protocol::kConfigurationKey, first->revision, 20s);
  REQUIRE(seen);
  CHECK(seen->revision == first->revision);
  CHECK(seen->ordersRevision > first->ordersRevision);
  const auto orders = client->List(
    protocol::kRolloutOrderPrefix, protocol::ReadConsistency::Linearizable, 1s);
  REQUIRE(orders);
  REQUIRE(orders->items.size() == 1);
  CHECK(orders->items[0].key ==
        std::string(protocol::kRolloutOrderPrefix) + "walls");
  CHECK(orders->items[0].value == "v2 12000");
  // The configuration is still seen, and a change of it is no order.
  put("op/config", "{ }");
  const auto changed =
    client->Watch(protocol::kConfigurationKey, seen->revision, 20s);
  REQUIRE(changed);
  CHECK(changed->revision > seen->revision);
  CHECK(changed->ordersRevision == seen->ordersRevision);
}

TEST_CASE("the state of a roll-out is written where the operator reads it")
{
  RunningStore store;
  const auto client = store.Client(platform::ConfigurationOwner::Operator);
  const auto key = std::string(protocol::kRolloutStatePrefix) + "walls";
  const auto written = client->CompareAndSwap(key, 0, "completed v2 83", 0, 1s);
  REQUIRE(written);
  CHECK(written->swapped);
  const auto raw = store.Client()->Get("status/rollout/walls", 1s);
  REQUIRE(raw);
  CHECK(raw->value.find("\"completed\"") != std::string::npos);
  const auto refused =
    client->CompareAndSwap(key, 0, "rolled_back v2 83", 0, 1s);
  REQUIRE(refused);
  CHECK_FALSE(refused->swapped);
  CHECK(refused->current.value == "completed v2 83");
}
