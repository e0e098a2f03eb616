#include "Tests/Coordination/CoreHarness.h"

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace teaselhold::tests;
using namespace std::chrono_literals;
using protocol::StoreError;
using protocol::StoreErrorCode;

namespace {

/// Makes version 7 the one in force, and two other nodes known.
void
Start(CoreHarness& aHarness)
{
  aHarness.Answer<StoreWatch>(MakeVersion(7, 3));
  protocol::StoreListing listing{ {}, 9 };
  for (const auto* name : { "a", "b" }) {
    listing.items.push_back(
      MakeItem(MakeRecord(name, EndpointState::Ready), 8));
  }
  aHarness.Answer<StoreList>(listing);
  aHarness.RunFor(1s);
  REQUIRE(aHarness.snapshot->configuration->GetGeneration() == 7);
}

/// Also lets the node hear of version 9 and ask the two other nodes.
void
StartBehind(CoreHarness& aHarness)
{
  Start(aHarness);
  aHarness.Handle(PeerVersionSeen{ 9 });
  aHarness.RunFor(500ms);
  REQUIRE(aHarness.asked.size() == 2);
}

/// @return the changes from version 7 to another one with the same text.
std::string
ChangesTo(state::Generation aGeneration)
{
  ConfigurationChangeLog log;
  const ConfigurationVersion base{ kSmallText, 7, 3 };
  log.Append(&base, { kSmallText, aGeneration, 5 });
  return log.Serialize();
}

state::Generation
Active(const CoreHarness& aHarness)
{
  return aHarness.snapshot->configuration->GetGeneration();
}

} // namespace

TEST_CASE("a node takes the changes that it misses from another node")
{
  CoreHarness harness;
  Start(harness);
  harness.Handle(PeerVersionSeen{ 9 });
  CHECK(harness.asked.empty());
  harness.RunFor(500ms);
  REQUIRE(harness.asked.size() == 2);
  CHECK(harness.asked[0].after == 7);
  CHECK(harness.asked[0].call != harness.asked[1].call);
  harness.Handle(ChangesAnswered{ harness.asked[0].call, ChangesTo(9) });
  CHECK(Active(harness) == 9);
  SECTION("and gives them to others")
  {
    REQUIRE(harness.recentChanges != nullptr);
    CHECK(harness.recentChanges->After(7).NewestGeneration() == 9);
  }
  SECTION("and not the older ones of a later answer")
  {
    harness.Handle(ChangesAnswered{ harness.asked[1].call, ChangesTo(8) });
    CHECK(Active(harness) == 9);
  }
}

TEST_CASE("a node does not wait for a store that it takes for lost")
{
  // Guards against a node with a full link, whose calls of the store time out.
  CoreHarness harness;
  Start(harness);
  harness.Answer<StoreList>(StoreError{ StoreErrorCode::Unknown, "" });
  harness.Handle(PeerVersionSeen{ 9 });
  harness.RunFor(300ms);
  REQUIRE(harness.asked.size() == 2);
  harness.Handle(ChangesAnswered{ harness.asked[1].call, ChangesTo(9) });
  CHECK(Active(harness) == 9);
}

TEST_CASE("a node asks the store when no other node has what it misses")
{
  // Guards against a version that is never asked for again.
  CoreHarness harness;
  StartBehind(harness);
  harness.Handle(ChangesAnswered{ harness.asked[0].call, "" });
  CHECK(harness.Pending<StoreGetIfChanged>() == nullptr);
  const auto useless = GENERATE(std::string(), std::string("\xff not a log"));
  harness.Handle(ChangesAnswered{ harness.asked[1].call, useless });
  CHECK(harness.Pending<StoreGetIfChanged>() != nullptr);
  CHECK(Active(harness) == 7);
}

TEST_CASE("a node asks the store when the nodes that it asks do not answer")
{
  // Guards against a wait for nodes that lost power and are still known.
  CoreHarness harness;
  StartBehind(harness);
  SECTION("one of the two")
  {
    harness.Handle(ChangesAnswered{ harness.asked[0].call, "" });
  }
  SECTION("both") {}
  harness.RunFor(500ms);
  CHECK(harness.Pending<StoreGetIfChanged>() != nullptr);
}

TEST_CASE("a node that does not answer keeps no later version away")
{
  // Guards against a question that waits for its timeout while versions come.
  CoreHarness harness;
  StartBehind(harness);
  harness.Handle(ChangesAnswered{ harness.asked[0].call, ChangesTo(9) });
  REQUIRE(Active(harness) == 9);
  harness.Handle(PeerVersionSeen{ 11 });
  harness.RunFor(1s);
  REQUIRE(harness.asked.size() == 4);
  CHECK(harness.asked[2].after == 9);
  // The answer to the earlier question comes late.
  harness.Handle(ChangesAnswered{ harness.asked[1].call, ChangesTo(10) });
  CHECK(Active(harness) == 9);
}

TEST_CASE("a node that knows no other one asks the store")
{
  CoreHarness harness;
  harness.Answer<StoreWatch>(MakeVersion(7, 3));
  harness.Answer<StoreList>(protocol::StoreListing{ {}, 9 });
  harness.Handle(PeerVersionSeen{ 9 });
  harness.RunFor(1s);
  CHECK(harness.asked.empty());
  CHECK(harness.Pending<StoreGetIfChanged>() != nullptr);
}

TEST_CASE("changes that do not fit make a node read the whole configuration")
{
  CoreHarness harness;
  StartBehind(harness);
  wire::ConfigurationChanges changes;
  changes.add_changes()->set_generation(9);
  harness.Handle(
    ChangesAnswered{ harness.asked[0].call, changes.SerializeAsString() });
  harness.RunFor(100ms);
  CHECK(Active(harness) == 7);
  CHECK(harness.Pending<StoreGet>() != nullptr);
}

TEST_CASE("changes that do not fit are not given to others later")
{
  // Guards against a node that has nothing for others until its version has
  // reached that of a change which it could not apply.
  CoreHarness harness;
  StartBehind(harness);
  wire::ConfigurationChanges changes;
  changes.add_changes()->set_generation(1000);
  harness.Handle(
    ChangesAnswered{ harness.asked[0].call, changes.SerializeAsString() });
  harness.RunFor(100ms);
  harness.Answer<StoreGet>(MakeVersion(9, 5));
  REQUIRE(Active(harness) == 9);
  REQUIRE(harness.recentChanges != nullptr);
  CHECK(harness.recentChanges->After(7).NewestGeneration() == 9);
}

TEST_CASE("an answer that nobody waits for changes nothing")
{
  CoreHarness harness;
  Start(harness);
  harness.Handle(ChangesAnswered{ 1, ChangesTo(9) });
  CHECK(Active(harness) == 7);
}
