#include "Coordination/ReaderSelection.h"
#include "Tests/Coordination/CoreHarness.h"

#include <set>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace teaselhold::tests;
using namespace std::chrono_literals;
using protocol::StoreError;
using protocol::StoreErrorCode;
using state::EndpointState;

namespace {

/// Returns a text that is large enough to be read in full by a few nodes only.
std::string
LargeText(unsigned aRoutes, const std::string& aTimeout)
{
  std::string text = "[service visits]\nentry = yes\n";
  for (unsigned i = 0; i < aRoutes; ++i) {
    const auto number = std::to_string(i);
    text += "[route r" + number + "]\nmatch = ANY /path/number/" + number +
            "/with/a/long/name\nservice = visits\nclass = lookup\n"
            "idempotent = yes\ntimeout = " +
            (i == 0 ? aTimeout : "900ms") + "\n";
  }
  return text;
}

constexpr unsigned kManyRoutes = 1600;

protocol::StoreEntry
MakeLargeVersion(std::uint64_t aGeneration,
                 std::uint64_t aRevision,
                 const std::string& aTimeout)
{
  wire::StoredConfiguration stored;
  stored.set_generation(aGeneration);
  stored.set_text(LargeText(kManyRoutes, aTimeout));
  return { stored.SerializeAsString(), aRevision };
}

/// Returns the records of four hosts with a high capacity, which are selected
/// as readers.
protocol::StoreListing
ListHighCapacityHosts()
{
  protocol::StoreListing listing{ {}, 9 };
  for (const auto* name : { "a", "b", "c", "d" }) {
    auto record = MakeRecord(name, EndpointState::Ready);
    record.dataCentre = "one";
    record.capacity = 50;
    record.dataAddress = std::string("10.0.0.9:") + name;
    listing.items.push_back(MakeItem(record, 8));
  }
  return listing;
}

state::Duration
FirstTimeout(const CoreHarness& aHarness)
{
  return aHarness.snapshot->configuration->Routes().front().timeout;
}

/// Makes the node a follower of a large configuration at generation 7.
void
MakeFollower(CoreHarness& aHarness)
{
  aHarness.Answer<StoreWatch>(MakeLargeVersion(7, 3, "900ms"));
  aHarness.Answer<StoreList>(ListHighCapacityHosts());
  aHarness.RunFor(4s);
}

} // namespace

TEST_CASE("a follower applies the change log without reading the full text")
{
  CoreHarness harness;
  MakeFollower(harness);
  REQUIRE(harness.Pending<StoreWatch>() != nullptr);
  CHECK(harness.Pending<StoreWatch>()->key == protocol::kChangesKey);
  ConfigurationChangeLog log;
  const ConfigurationVersion before{ LargeText(kManyRoutes, "900ms"), 7, 3 };
  const ConfigurationVersion middle{ LargeText(kManyRoutes, "800ms"), 9, 5 };
  const ConfigurationVersion newest{ LargeText(kManyRoutes, "700ms"), 12, 6 };
  log.Append(&before, middle);
  log.Append(&middle, newest);
  CHECK(log.Serialize().size() < 2000);
  harness.Answer<StoreWatch>(protocol::StoreEntry{ log.Serialize(), 7 });
  CHECK(harness.snapshot->configuration->GetGeneration() == 12);
  CHECK(FirstTimeout(harness) == 700ms);
  CHECK(harness.Pending<StoreGet>() == nullptr);
}

TEST_CASE("a follower asks a reader and another node for what it misses")
{
  // Guards against two questions to the same node, which may have ended.
  NodeOptions options;
  options.identity = { "me", 1, "visits", "one", "one", "10.0.0.1:80", "", 0 };
  options.randomSeed = GENERATE(range(1U, 20U));
  CoreHarness harness(options);
  MakeFollower(harness);
  REQUIRE(harness.askedReaders.size() == 4);
  const auto questions = harness.askedReaders;
  const auto reader = questions[2];
  for (const auto& question : questions) {
    const auto role = question.call == reader.call ? ReaderRole::Reading
                                                   : ReaderRole::Unavailable;
    harness.Handle(ReaderAnswered{ question.call, role });
  }
  harness.Handle(PeerVersionSeen{ 9 });
  harness.RunFor(700ms);
  REQUIRE(harness.asked.size() == 2);
  CHECK(harness.asked[0].address == reader.address);
  CHECK(harness.asked[1].address != reader.address);
}

TEST_CASE("a follower that cannot apply the changes reads the full text")
{
  CoreHarness harness;
  MakeFollower(harness);
  ConfigurationChangeLog log;
  const ConfigurationVersion other{ LargeText(kManyRoutes, "500ms"), 8, 4 };
  SECTION("because its own version is not in the change log")
  {
    const ConfigurationVersion newest{ LargeText(kManyRoutes, "700ms"), 12, 6 };
    log.Append(&other, newest);
  }
  SECTION("because the change has no base")
  {
    log.Append(nullptr, other);
  }
  SECTION("because the result has another digest")
  {
    const ConfigurationVersion wrong{ LargeText(2, "900ms"), 7, 3 };
    const ConfigurationVersion target{ LargeText(3, "900ms"), 8, 4 };
    log.Append(&wrong, target);
  }
  harness.Answer<StoreWatch>(protocol::StoreEntry{ log.Serialize(), 7 });
  CHECK(harness.snapshot->configuration->GetGeneration() == 7);
  if (harness.Pending<StoreGetIfChanged>() != nullptr) {
    // A poll in flight is answered first.
    harness.Answer<StoreGetIfChanged>(protocol::StoreEntry{ "", 3 });
  }
  REQUIRE(harness.Pending<StoreGet>() != nullptr);
  harness.Answer<StoreGet>(MakeLargeVersion(12, 6, "700ms"));
  CHECK(harness.snapshot->configuration->GetGeneration() == 12);
}

TEST_CASE("a full read that fails is retried soon")
{
  // Guards against a follower that stays on an old version until its next poll,
  // which is rare in a large fleet.
  CoreHarness harness;
  MakeFollower(harness);
  ConfigurationChangeLog log;
  const ConfigurationVersion newest{ LargeText(kManyRoutes, "700ms"), 12, 6 };
  log.Append(nullptr, newest);
  harness.Answer<StoreWatch>(protocol::StoreEntry{ log.Serialize(), 7 });
  if (harness.Pending<StoreGetIfChanged>() != nullptr) {
    harness.Answer<StoreGetIfChanged>(protocol::StoreEntry{ "", 3 });
  }
  harness.Answer<StoreGet>(StoreError{ StoreErrorCode::Unknown, "" });
  CHECK(harness.Pending<StoreGet>() == nullptr);
  harness.AnswerProbe();
  REQUIRE(harness.Pending<StoreGet>() != nullptr);
  harness.Answer<StoreGet>(MakeLargeVersion(12, 6, "700ms"));
  CHECK(harness.snapshot->configuration->GetGeneration() == 12);
}

TEST_CASE("a reader of a large configuration writes its changes to the store")
{
  CoreHarness harness;
  harness.Answer<StoreWatch>(MakeLargeVersion(7, 3, "900ms"));
  // No host with more capacity is known, so this node becomes a reader.
  harness.Answer<StoreList>(protocol::StoreListing{ {}, 9 });
  harness.RunFor(4s);
  harness.Answer<StoreWatch>(protocol::StoreEntry{});
  harness.RunFor(1s);
  REQUIRE(harness.Pending<StoreWatch>()->key == protocol::kConfigurationKey);
  harness.Answer<StoreWatch>(MakeLargeVersion(12, 6, "700ms"));
  const auto* swap = harness.Pending<StoreSwap>();
  REQUIRE(swap != nullptr);
  CHECK(swap->key == protocol::kChangesKey);
  const auto log = ConfigurationChangeLog::Parse(swap->value);
  REQUIRE(log);
  const auto newest = log->Advance(LargeText(kManyRoutes, "900ms"), 7);
  REQUIRE(newest);
  CHECK(newest->text == LargeText(kManyRoutes, "700ms"));
  SECTION("but not again if another reader wrote the same changes first")
  {
    harness.Answer<StoreSwap>(
      protocol::SwapResult{ false, { log->Serialize(), 20 } });
    harness.RunFor(1s);
    CHECK(harness.Pending<StoreSwap>() == nullptr);
  }
  SECTION("after the versions that another reader has written")
  {
    ConfigurationChangeLog other;
    const ConfigurationVersion before{ LargeText(kManyRoutes, "900ms"), 7, 3 };
    const ConfigurationVersion middle{ LargeText(kManyRoutes, "800ms"), 9, 5 };
    other.Append(&before, middle);
    harness.Answer<StoreSwap>(
      protocol::SwapResult{ false, { other.Serialize(), 20 } });
    REQUIRE(harness.Pending<StoreSwap>() != nullptr);
    CHECK(harness.Pending<StoreSwap>()->expectedRevision == 20);
    const auto joined =
      ConfigurationChangeLog::Parse(harness.Pending<StoreSwap>()->value);
    const auto fromMiddle = joined->Advance(middle.text, 9);
    REQUIRE(fromMiddle);
    CHECK(fromMiddle->generation == 12);
  }
}

TEST_CASE("a reader writes the change that makes a configuration small again")
{
  // Guards against followers that learn of such a version only from their
  // polls.
  CoreHarness harness;
  harness.Answer<StoreWatch>(MakeLargeVersion(7, 3, "900ms"));
  harness.Answer<StoreList>(protocol::StoreListing{ {}, 9 });
  harness.RunFor(4s);
  harness.Answer<StoreWatch>(protocol::StoreEntry{});
  harness.RunFor(1s);
  REQUIRE(harness.Pending<StoreWatch>()->key == protocol::kConfigurationKey);
  harness.Answer<StoreWatch>(MakeVersion(12, 6));
  const auto* swap = harness.PendingSwap(protocol::kChangesKey);
  REQUIRE(swap != nullptr);
  const auto log = ConfigurationChangeLog::Parse(swap->value);
  REQUIRE(log);
  CHECK(log->NewestGeneration() == 12);
  // Versions that stay small are read by each node.
  harness.AnswerSwap(protocol::kChangesKey,
                     protocol::SwapResult{ true, { swap->value, 20 } });
  harness.RunFor(1s);
  harness.Answer<StoreWatch>(MakeVersion(14, 8));
  CHECK(harness.PendingSwap(protocol::kChangesKey) == nullptr);
}

TEST_CASE("hosts with the most capacity in several data centres become readers")
{
  state::EndpointTable table;
  for (int i = 0; i < 40; ++i) {
    auto record =
      MakeRecord("n" + std::to_string(10 + i), EndpointState::Ready);
    record.dataCentre = "dc" + std::to_string(i % 4);
    record.capacity = i < 20 ? 50 : 1;
    table.Merge(record);
  }
  std::set<std::string> dataCentres;
  int readers = 0;
  for (const auto* record : table.All()) {
    if (IsSelectedReader(table, record->node)) {
      ++readers;
      dataCentres.insert(record->dataCentre);
      CHECK(record->capacity == 50);
    }
  }
  CHECK(readers == 4);
  CHECK(dataCentres.size() == 4);
  CHECK(IsSelectedReader(state::EndpointTable(), "alone"));
}
