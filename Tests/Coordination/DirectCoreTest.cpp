#include "Coordination/DirectCore.h"
#include "Coordination/EndpointCodec.h"
#include "Coordination/ReaderSelection.h"
#include "admin.pb.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;
using protocol::StoreError;
using protocol::StoreErrorCode;
using state::EndpointState;

namespace {

constexpr const char* kText = "[service visits]\nentry = yes\n";

protocol::StoreEntry
MakeVersion(std::uint64_t aGeneration, std::uint64_t aRevision)
{
  wire::StoredConfiguration stored;
  stored.set_generation(aGeneration);
  stored.set_text(kText);
  return { stored.SerializeAsString(), aRevision };
}

state::EndpointRecord
MakeRecord(const std::string& aNode, EndpointState aState)
{
  state::EndpointRecord record;
  record.node = aNode;
  record.incarnation = 5;
  record.service = "visits";
  record.dataAddress = "10.0.0.9:80";
  record.state = aState;
  record.slots = 12;
  record.upstream = { "i-" + aNode, 77, 9, 12 };
  return record;
}

protocol::StoreItem
MakeItem(const state::EndpointRecord& aRecord, std::uint64_t aRevision)
{
  return { protocol::kNodePrefix + aRecord.node,
           ToWire(aRecord).SerializeAsString(),
           aRevision };
}

/// Drives one DirectCore; the test supplies the results of its store calls.
class CoreHarness
{
public:
  CoreHarness()
    : core_(MakeOptions())
  {
    Handle(Started{});
  }

  void Handle(const Event& aEvent)
  {
    for (auto& command : core_.Handle(aEvent, now)) {
      if (const auto* call = std::get_if<CallStore>(&command)) {
        calls.push_back(*call);
      } else if (const auto* publish = std::get_if<PublishSnapshot>(&command)) {
        snapshot = publish->snapshot;
      } else if (const auto* restore = std::get_if<RestoreUpstream>(&command)) {
        restored = *restore;
      } else if (const auto* saved =
                   std::get_if<UpstreamStateSaved>(&command)) {
        savedNumber = saved->saveNumber;
      } else if (const auto* log = std::get_if<WriteLog>(&command)) {
        logs.push_back(log->message);
      }
    }
  }

  void RunFor(state::Duration aTime)
  {
    for (const auto end = now + aTime; now < end;) {
      now += 100ms;
      Handle(Tick{});
    }
  }

  template<typename Request>
  const Request* Pending() const
  {
    for (const auto& call : calls) {
      if (const auto* request = std::get_if<Request>(&call.request)) {
        return request;
      }
    }
    return nullptr;
  }

  template<typename Request>
  void Answer(StoreResult aResult)
  {
    const auto found = std::ranges::find_if(calls, [](const CallStore& aCall) {
      return std::holds_alternative<Request>(aCall.request);
    });
    REQUIRE(found != calls.end());
    const auto number = found->call;
    calls.erase(found);
    Handle(StoreAnswered{ number, std::move(aResult) });
  }

  /// Answers the probe of the store, after which the core sends the calls that
  /// it held back because one had failed.
  void AnswerProbe()
  {
    RunFor(300ms);
    const auto found = std::ranges::find_if(calls, [](const CallStore& aCall) {
      const auto* list = std::get_if<StoreList>(&aCall.request);
      return list != nullptr && list->prefix != protocol::kNodePrefix;
    });
    REQUIRE(found != calls.end());
    const auto number = found->call;
    calls.erase(found);
    Handle(StoreAnswered{ number, protocol::StoreListing{} });
  }

  /// Answers the calls that register the node.
  void Register()
  {
    Answer<StoreList>(protocol::StoreListing{ {}, 10 });
    Handle(UpstreamChanged{ EndpointState::Ready,
                            state::UpstreamIdentity{ "i-me", 7, 1, 12 } });
    Answer<StoreGrant>(protocol::LeaseId{ 99 });
    const auto value = Pending<StoreSwap>()->value;
    Answer<StoreSwap>(protocol::SwapResult{ true, { value, 11 } });
  }

  state::Instant now{ 1s };
  std::vector<CallStore> calls;
  RoutingSnapshotPointer snapshot;
  std::optional<RestoreUpstream> restored;
  std::uint64_t savedNumber = 0;
  std::vector<std::string> logs;

private:
  static NodeOptions MakeOptions()
  {
    NodeOptions options;
    options.identity = {
      "me", 1, "visits", "one", "one", "10.0.0.1:80", "", 0
    };
    return options;
  }

  DirectCore core_;
};

} // namespace

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
    stored.set_text(kText);
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

TEST_CASE("a drain is reported as saved only once the store holds it")
{
  CoreHarness harness;
  harness.Register();
  harness.Handle(UpstreamChanged{
    EndpointState::Draining, state::UpstreamIdentity{ "i-me", 7, 2, 12 }, 41 });
  CHECK(harness.savedNumber == 0);
  harness.Answer<StoreSwap>(StoreError{ StoreErrorCode::Unknown, "" });
  CHECK(harness.savedNumber == 0);
  harness.AnswerProbe();
  // The first write took effect although its answer was lost.
  const auto value = harness.Pending<StoreSwap>()->value;
  harness.Answer<StoreSwap>(protocol::SwapResult{ false, { value, 15 } });
  CHECK(harness.savedNumber == 41);
}

TEST_CASE("a restarted node learns from the store that its upstream is leaving")
{
  CoreHarness harness;
  CHECK_FALSE(harness.restored);
  harness.Answer<StoreList>(protocol::StoreListing{
    { MakeItem(MakeRecord("me", EndpointState::Draining), 8) }, 9 });
  REQUIRE(harness.restored);
  REQUIRE(harness.restored->leavingUpstream);
  CHECK(harness.restored->leavingUpstream->id == "i-me");
}

TEST_CASE("a node gives up restoring its state while the store is unavailable")
{
  CoreHarness harness;
  harness.Answer<StoreList>(StoreError{ StoreErrorCode::Unavailable, "" });
  harness.RunFor(2s);
  CHECK_FALSE(harness.restored);
  harness.RunFor(2s);
  REQUIRE(harness.restored);
  CHECK_FALSE(harness.restored->leavingUpstream);
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
  harness.Handle(PeerVersionSeen{ 8 });
  harness.RunFor(200ms);
  CHECK(harness.Pending<StoreGetIfChanged>() == nullptr);
  harness.RunFor(1s);
  REQUIRE(harness.Pending<StoreGetIfChanged>() != nullptr);
  harness.Answer<StoreGetIfChanged>(MakeVersion(8, 6));
  CHECK(harness.snapshot->configuration->GetGeneration() == 8);
  // The same word about a version in force asks for nothing.
  harness.Handle(PeerVersionSeen{ 8 });
  harness.RunFor(1s);
  CHECK(harness.Pending<StoreGetIfChanged>() == nullptr);
}
