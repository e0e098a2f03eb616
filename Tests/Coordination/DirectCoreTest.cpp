#include "Tests/Coordination/CoreHarness.h"

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace teaselhold::tests;
using namespace std::chrono_literals;
using state::EndpointState;

TEST_CASE("an older version from the store never replaces the one in force")
{
  CoreHarness harness;
  harness.Answer<StoreWatch>(MakeVersion(7, 3));
  CHECK(harness.snapshot->configuration->GetGeneration() == 7);
  harness.Answer<StoreWatch>(MakeVersion(6, 4));
  CHECK(harness.snapshot->configuration->GetGeneration() == 7);
  harness.RunFor(1s);
  harness.Answer<StoreWatch>(MakeVersion(12, 5));
  CHECK(harness.snapshot->configuration->GetGeneration() == 12);
}

TEST_CASE("unknown words in a configuration are logged once per version")
{
  const auto version = [](std::uint64_t aRevision) {
    wire::StoredConfiguration stored;
    stored.set_generation(7);
    stored.set_text(kSmallText);
    stored.add_notes("route r-1 has the unknown kind \"odd\"");
    return protocol::StoreEntry{ stored.SerializeAsString(), aRevision };
  };
  CoreHarness harness;
  harness.Answer<StoreWatch>(version(3));
  harness.RunFor(1s);
  harness.Answer<StoreWatch>(version(4));
  CHECK(std::ranges::count_if(harness.logs, [](const std::string& aLine) {
          return aLine.find("unknown kind") != std::string::npos;
        }) == 1);
}

TEST_CASE("polling finds a change that an open watch never reports")
{
  // Guards against a version that is never put in force because the store
  // dropped its history while the watch of the configuration was open.
  CoreHarness harness;
  harness.Answer<StoreWatch>(MakeVersion(7, 3));
  harness.Answer<StoreList>(protocol::StoreListing{ {}, 4 });
  harness.RunFor(5s);
  REQUIRE(harness.Pending<StoreWatch>() != nullptr);
  REQUIRE(harness.Pending<StoreGetIfChanged>() != nullptr);
  CHECK(harness.Pending<StoreGetIfChanged>()->knownRevision == 3);
  harness.Answer<StoreGetIfChanged>(MakeVersion(8, 6));
  CHECK(harness.snapshot->configuration->GetGeneration() == 8);
}

TEST_CASE("a record that is removed while its node runs is written again")
{
  CoreHarness harness;
  harness.Register();
  harness.RunFor(1s);
  // A stale listing that is older than the write does not mean that the record
  // was removed.
  harness.Answer<StoreList>(protocol::StoreListing{ {}, 10 });
  harness.RunFor(1s);
  CHECK(harness.Pending<StoreGrant>() == nullptr);
  harness.Answer<StoreList>(protocol::StoreListing{ {}, 20 });
  harness.RunFor(200ms);
  harness.Answer<StoreGrant>(protocol::LeaseId{ 100 });
  REQUIRE(harness.Pending<StoreSwap>() != nullptr);
  CHECK(harness.Pending<StoreSwap>()->expectedRevision == 0);
  CHECK(harness.Pending<StoreSwap>()->lease == 100);
}

TEST_CASE("a node requests a new lease after its lease expired in an outage")
{
  CoreHarness harness;
  harness.Register();
  harness.RunFor(3s);
  harness.Answer<StoreKeepAlive>(false);
  CHECK(harness.Pending<StoreGrant>() != nullptr);
}

TEST_CASE("a node whose record disappears is removed after a grace period")
{
  CoreHarness harness;
  const auto other = MakeRecord("other", EndpointState::Ready);
  harness.Answer<StoreList>(
    protocol::StoreListing{ { MakeItem(other, 8) }, 9 });
  const auto knows = [&] {
    return harness.snapshot->endpoints->Find("other") != nullptr;
  };
  REQUIRE(knows());
  harness.RunFor(1s);
  REQUIRE(harness.Pending<StoreList>()->consistency ==
          protocol::ReadConsistency::Stale);
  harness.Answer<StoreList>(protocol::StoreListing{ {}, 12 });
  harness.RunFor(2s);
  CHECK(knows());
  harness.RunFor(2s);
  CHECK_FALSE(knows());
}

TEST_CASE("an invalid record adds no node and does not affect other records")
{
  CoreHarness harness;
  auto foreign = MakeItem(MakeRecord("other", EndpointState::Ready), 8);
  foreign.key = std::string(protocol::kNodePrefix) + "third";
  harness.Answer<StoreList>(protocol::StoreListing{
    { { std::string(protocol::kNodePrefix) + "noise", "\xff\xff", 7 },
      foreign,
      MakeItem(MakeRecord("good", EndpointState::Ready), 9) },
    9 });
  CHECK(harness.snapshot->endpoints->Find("noise") == nullptr);
  CHECK(harness.snapshot->endpoints->Find("other") == nullptr);
  CHECK(harness.snapshot->endpoints->Find("good") != nullptr);
}

TEST_CASE("a request that crashed two upstreams is quarantined on other nodes")
{
  CoreHarness harness;
  auto one = MakeRecord("one", EndpointState::Ready);
  one.crashSuspects = { 1, 2, 3 };
  auto two = MakeRecord("two", EndpointState::Ready);
  two.crashSuspects = { 9, 2 };
  harness.Answer<StoreList>(
    protocol::StoreListing{ { MakeItem(one, 8), MakeItem(two, 9) }, 9 });
  CHECK(harness.snapshot->quarantined == std::set<std::uint64_t>{ 2 });
}

TEST_CASE("a stale listing that is older than the previous one is ignored")
{
  CoreHarness harness;
  const auto other = MakeRecord("other", EndpointState::Ready);
  harness.Answer<StoreList>(
    protocol::StoreListing{ { MakeItem(other, 8) }, 9 });
  harness.RunFor(1s);
  harness.Answer<StoreList>(protocol::StoreListing{ {}, 5 });
  harness.RunFor(5s);
  CHECK(harness.snapshot->endpoints->Find("other") != nullptr);
}

TEST_CASE("a version that only other nodes have is asked for in time")
{
  // Guards against a node that serves an old version because its own watch is
  // silent, although it hears from nodes that have the new one.
  CoreHarness harness;
  harness.Answer<StoreWatch>(MakeVersion(7, 3));
  harness.Answer<StoreList>(protocol::StoreListing{ {}, 4 });
  // The checks at random times after the start.
  harness.RunFor(4s);
  harness.Answer<StoreGetIfChanged>(protocol::StoreEntry{ "", 3 });
  harness.Answer<StoreGetIfChanged>(protocol::StoreEntry{ "", 3 });
  harness.Handle(PeerVersionSeen{ 8, std::nullopt, harness.now });
  harness.RunFor(200ms);
  CHECK(harness.Pending<StoreGetIfChanged>() == nullptr);
  // No check is due because of the time of the last one.
  for (int i = 0; i < 10; ++i) {
    harness.Handle(PeerVersionSeen{ 8, std::nullopt, harness.now });
    harness.RunFor(100ms);
  }
  REQUIRE(harness.Pending<StoreGetIfChanged>() != nullptr);
  harness.Answer<StoreGetIfChanged>(MakeVersion(8, 6));
  CHECK(harness.snapshot->configuration->GetGeneration() == 8);
  // The same word about a version in force asks for nothing.
  for (int i = 0; i < 10; ++i) {
    harness.Handle(PeerVersionSeen{ 8, std::nullopt, harness.now });
    harness.RunFor(100ms);
    CHECK(harness.Pending<StoreGetIfChanged>() == nullptr);
  }
}
