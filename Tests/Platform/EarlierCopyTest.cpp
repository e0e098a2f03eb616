#include "Tests/Platform/RunningStore.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace std::chrono_literals;
using protocol::kConfigurationKey;
using protocol::StoreErrorCode;
using tests::RunningStore;

// Guards against versions that no node notices after the store came back from
// an earlier copy, because their revisions had been given out before.

namespace {

constexpr const char* kKey = "teaselhold/configuration";

/// A store with a copy from before the newest two values of the configuration,
/// and a client that knows the newest one.
struct RestoredStore
{
  explicit RestoredStore(std::uint64_t aEra)
  {
    store.SetEra(aEra);
    store.Put(kKey, "one");
    copy = store.Copy();
    store.Put(kKey, "two");
    store.Put(kKey, "three");
    known = *client->Watch(kConfigurationKey, 0, 1s);
    REQUIRE(known.value == "three");
  }

  RunningStore store;
  std::unique_ptr<platform::StoreClient> client = store.Client();
  stand_in::StoreState copy{ 0, 0 };
  protocol::StoreEntry known;
};

} // namespace

TEST_CASE("a watch after an earlier copy misses a revision that was given out "
          "again")
{
  RestoredStore restored(1);
  restored.store.Restore(restored.copy, kKey, { "three", "four" });
  const auto next =
    restored.client->Watch(kConfigurationKey, restored.known.revision, 300ms);
  REQUIRE(next);
  CHECK(next->value == "four");
  CHECK(next->revision > restored.known.revision);
}

TEST_CASE("a check after an earlier copy takes a revision that was given out "
          "again for the known one")
{
  RestoredStore restored(1);
  restored.store.Restore(restored.copy, kKey, { "three", "four" });
  const auto check = restored.client->GetIfChanged(
    kConfigurationKey, restored.known.revision, 1s);
  REQUIRE(check);
  REQUIRE(*check);
  CHECK((*check)->value == "four");
  CHECK((*check)->revision > restored.known.revision);
  const auto again =
    restored.client->GetIfChanged(kConfigurationKey, (*check)->revision, 1s);
  REQUIRE(again);
  CHECK_FALSE(*again);
}

TEST_CASE("a lower revision of an earlier copy is taken for an older value")
{
  RestoredStore restored(1);
  restored.store.Restore(restored.copy, kKey, { "four" });
  const auto check = restored.client->GetIfChanged(
    kConfigurationKey, restored.known.revision, 1s);
  REQUIRE(check);
  REQUIRE(*check);
  CHECK((*check)->value == "four");
  CHECK((*check)->revision > restored.known.revision);
}

TEST_CASE("a watch waits on after another call has shown an earlier copy")
{
  RestoredStore restored(1);
  auto waiting = std::async(std::launch::async, [&] {
    return restored.client->Watch(
      kConfigurationKey, restored.known.revision, 3s);
  });
  std::this_thread::sleep_for(200ms);
  // Nothing wakes the watch, as if its connection had gone silent.
  restored.store.Restore(restored.copy, kKey, { "three", "four" });
  REQUIRE(restored.client->List("a/", protocol::ReadConsistency::Stale, 1s));
  CHECK(waiting.wait_for(1s) == std::future_status::ready);
  waiting.wait();
  const auto next =
    restored.client->Watch(kConfigurationKey, restored.known.revision, 300ms);
  REQUIRE(next);
  CHECK(next->value == "four");
}

TEST_CASE("a late answer from before an earlier copy is taken for a new one")
{
  RestoredStore restored(2);
  restored.store.SetEra(1);
  const auto late = restored.client->Get(kConfigurationKey, 1s);
  REQUIRE_FALSE(late);
  CHECK(late.error().code == StoreErrorCode::Unknown);
  CHECK(restored.client->List("a/", protocol::ReadConsistency::Stale, 1s));
  CHECK_FALSE(
    restored.client->List("a/", protocol::ReadConsistency::Linearizable, 1s));
}

TEST_CASE("a store that names no era is served as before")
{
  RestoredStore restored(0);
  CHECK(restored.known.revision == 4);
  const auto check = restored.client->GetIfChanged(kConfigurationKey, 4, 1s);
  REQUIRE(check);
  CHECK_FALSE(*check);
  // The store no longer has the revision, so the key is read again.
  restored.store.Restore(restored.copy, kKey, { "four" });
  const auto next = restored.client->Watch(kConfigurationKey, 4, 300ms);
  REQUIRE(next);
  CHECK(next->value == "four");
  CHECK(next->revision == 3);
}

TEST_CASE("a revision of an era is a condition of writes")
{
  RestoredStore restored(3);
  const auto written = restored.client->CompareAndSwap(
    kConfigurationKey, restored.known.revision, "four", 0, 1s);
  REQUIRE(written);
  CHECK(written->swapped);
  CHECK(written->current.revision == restored.known.revision + 1);
  const auto refused = restored.client->CompareAndSwap(
    kConfigurationKey, restored.known.revision, "five", 0, 1s);
  REQUIRE(refused);
  CHECK_FALSE(refused->swapped);
  CHECK(refused->current.revision == written->current.revision);
}

TEST_CASE("a write replaces no value whose revision was given out again")
{
  RestoredStore restored(1);
  restored.store.Restore(restored.copy, kKey, { "three", "four" });
  // Another call has shown that the store came back.
  REQUIRE(restored.client->List("a/", protocol::ReadConsistency::Stale, 1s));
  const auto written = restored.client->CompareAndSwap(
    kConfigurationKey, restored.known.revision, "five", 0, 1s);
  REQUIRE(written);
  CHECK_FALSE(written->swapped);
  CHECK(written->current.value == "four");
}

TEST_CASE("a write that is the first call after an earlier copy has not won")
{
  // Guards against a write that counts as won because its condition held by
  // accident, so that nobody looks what it replaced.
  RestoredStore restored(1);
  restored.store.Restore(restored.copy, kKey, { "three", "four" });
  const auto written = restored.client->CompareAndSwap(
    kConfigurationKey, restored.known.revision, "five", 0, 1s);
  REQUIRE_FALSE(written);
  CHECK(written.error().code == StoreErrorCode::Unknown);
  const auto again = restored.client->CompareAndSwap(
    kConfigurationKey, restored.known.revision, "six", 0, 1s);
  REQUIRE(again);
  CHECK_FALSE(again->swapped);
  CHECK(again->current.value == "five");
}
