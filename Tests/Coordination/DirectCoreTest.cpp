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
class Bench
{
public:
  Bench()
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
      } else if (const auto* saved = std::get_if<LeavingSaved>(&command)) {
        savedNumber = saved->saveNumber;
      } else if (const auto* log = std::get_if<WriteLog>(&command)) {
        logs.push_back(log->message);
      }
    }
  }

  void Wait(state::Duration aTime)
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

  /// Answers the probe of the store, so that calls are released again after a
  /// failed one.
  void Return()
  {
    Wait(300ms);
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
  Bench bench;
  bench.Answer<StoreWatch>(MakeVersion(7, 3));
  CHECK(bench.snapshot->configuration->GetGeneration() == 7);
  bench.Answer<StoreWatch>(MakeVersion(6, 4));
  CHECK(bench.snapshot->configuration->GetGeneration() == 7);
  bench.Wait(1s);
  bench.Answer<StoreWatch>(MakeVersion(12, 5));
  CHECK(bench.snapshot->configuration->GetGeneration() == 12);
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
  Bench bench;
  bench.Answer<StoreWatch>(version(3));
  bench.Wait(1s);
  bench.Answer<StoreWatch>(version(4));
  CHECK(std::ranges::count_if(bench.logs, [](const std::string& aLine) {
          return aLine.find("unknown kind") != std::string::npos;
        }) == 1);
}

TEST_CASE("polling finds a change that an open watch never reports")
{
  // Guards against a version that is never put in force because the store
  // dropped its history while the watch of the configuration was open.
  Bench bench;
  bench.Answer<StoreWatch>(MakeVersion(7, 3));
  bench.Answer<StoreList>(protocol::StoreListing{ {}, 4 });
  bench.Wait(5s);
  REQUIRE(bench.Pending<StoreWatch>() != nullptr);
  REQUIRE(bench.Pending<StoreGetIfChanged>() != nullptr);
  CHECK(bench.Pending<StoreGetIfChanged>()->knownRevision == 3);
  bench.Answer<StoreGetIfChanged>(MakeVersion(8, 6));
  CHECK(bench.snapshot->configuration->GetGeneration() == 8);
}

TEST_CASE("a drain is reported as saved only once the store holds it")
{
  Bench bench;
  bench.Register();
  bench.Handle(UpstreamChanged{
    EndpointState::Draining, state::UpstreamIdentity{ "i-me", 7, 2, 12 }, 41 });
  CHECK(bench.savedNumber == 0);
  bench.Answer<StoreSwap>(StoreError{ StoreErrorCode::Unknown, "" });
  CHECK(bench.savedNumber == 0);
  bench.Return();
  // The first write took effect although its answer was lost.
  const auto value = bench.Pending<StoreSwap>()->value;
  bench.Answer<StoreSwap>(protocol::SwapResult{ false, { value, 15 } });
  CHECK(bench.savedNumber == 41);
}

TEST_CASE("a restarted node learns from the store that its upstream is leaving")
{
  Bench bench;
  CHECK_FALSE(bench.restored);
  bench.Answer<StoreList>(protocol::StoreListing{
    { MakeItem(MakeRecord("me", EndpointState::Draining), 8) }, 9 });
  REQUIRE(bench.restored);
  REQUIRE(bench.restored->leaving);
  CHECK(bench.restored->leaving->id == "i-me");
}

TEST_CASE("a node gives up restoring its state while the store is unavailable")
{
  Bench bench;
  bench.Answer<StoreList>(StoreError{ StoreErrorCode::Unavailable, "" });
  bench.Wait(2s);
  CHECK_FALSE(bench.restored);
  bench.Wait(2s);
  REQUIRE(bench.restored);
  CHECK_FALSE(bench.restored->leaving);
}

TEST_CASE("a record that is removed while its node runs is written again")
{
  Bench bench;
  bench.Register();
  bench.Wait(1s);
  // A stale listing that is older than the write does not mean that the record
  // was removed.
  bench.Answer<StoreList>(protocol::StoreListing{ {}, 10 });
  bench.Wait(1s);
  CHECK(bench.Pending<StoreGrant>() == nullptr);
  bench.Answer<StoreList>(protocol::StoreListing{ {}, 20 });
  bench.Wait(200ms);
  bench.Answer<StoreGrant>(protocol::LeaseId{ 100 });
  REQUIRE(bench.Pending<StoreSwap>() != nullptr);
  CHECK(bench.Pending<StoreSwap>()->expectedRevision == 0);
  CHECK(bench.Pending<StoreSwap>()->lease == 100);
}

TEST_CASE("a node requests a new lease after its lease expired in an outage")
{
  Bench bench;
  bench.Register();
  bench.Wait(3s);
  bench.Answer<StoreKeepAlive>(false);
  CHECK(bench.Pending<StoreGrant>() != nullptr);
}

TEST_CASE("a node whose record disappears is removed after a grace period")
{
  Bench bench;
  const auto other = MakeRecord("other", EndpointState::Ready);
  bench.Answer<StoreList>(protocol::StoreListing{ { MakeItem(other, 8) }, 9 });
  const auto knows = [&] {
    return bench.snapshot->endpoints->Find("other") != nullptr;
  };
  REQUIRE(knows());
  bench.Wait(1s);
  REQUIRE(bench.Pending<StoreList>()->consistency ==
          protocol::ReadConsistency::Stale);
  bench.Answer<StoreList>(protocol::StoreListing{ {}, 12 });
  bench.Wait(2s);
  CHECK(knows());
  bench.Wait(2s);
  CHECK_FALSE(knows());
}

TEST_CASE("an invalid record adds no node and does not affect other records")
{
  Bench bench;
  auto foreign = MakeItem(MakeRecord("other", EndpointState::Ready), 8);
  foreign.key = std::string(protocol::kNodePrefix) + "third";
  bench.Answer<StoreList>(protocol::StoreListing{
    { { std::string(protocol::kNodePrefix) + "noise", "\xff\xff", 7 },
      foreign,
      MakeItem(MakeRecord("good", EndpointState::Ready), 9) },
    9 });
  CHECK(bench.snapshot->endpoints->Find("noise") == nullptr);
  CHECK(bench.snapshot->endpoints->Find("other") == nullptr);
  CHECK(bench.snapshot->endpoints->Find("good") != nullptr);
}

TEST_CASE("a request that crashed two upstreams is quarantined on other nodes")
{
  Bench bench;
  auto one = MakeRecord("one", EndpointState::Ready);
  one.crashSuspects = { 1, 2, 3 };
  auto two = MakeRecord("two", EndpointState::Ready);
  two.crashSuspects = { 9, 2 };
  bench.Answer<StoreList>(
    protocol::StoreListing{ { MakeItem(one, 8), MakeItem(two, 9) }, 9 });
  CHECK(bench.snapshot->quarantined == std::set<std::uint64_t>{ 2 });
}

TEST_CASE("a stale listing that is older than the previous one is ignored")
{
  Bench bench;
  const auto other = MakeRecord("other", EndpointState::Ready);
  bench.Answer<StoreList>(protocol::StoreListing{ { MakeItem(other, 8) }, 9 });
  bench.Wait(1s);
  bench.Answer<StoreList>(protocol::StoreListing{ {}, 5 });
  bench.Wait(5s);
  CHECK(bench.snapshot->endpoints->Find("other") != nullptr);
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
StrongHosts()
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
FirstTimeout(const Bench& aBench)
{
  return aBench.snapshot->configuration->Routes().front().timeout;
}

/// Makes the node a follower of a large configuration at generation 7.
void
Follow(Bench& aBench)
{
  aBench.Answer<StoreWatch>(MakeLargeVersion(7, 3, "900ms"));
  aBench.Answer<StoreList>(StrongHosts());
  aBench.Wait(4s);
}

} // namespace

TEST_CASE("a follower applies logged changes without reading the full text")
{
  Bench bench;
  Follow(bench);
  REQUIRE(bench.Pending<StoreWatch>() != nullptr);
  CHECK(bench.Pending<StoreWatch>()->key == protocol::kChangesKey);
  ConfigurationChangeLog log;
  const ConfigurationVersion before{ LargeText(kManyRoutes, "900ms"), 7, 3 };
  const ConfigurationVersion middle{ LargeText(kManyRoutes, "800ms"), 9, 5 };
  const ConfigurationVersion newest{ LargeText(kManyRoutes, "700ms"), 12, 6 };
  log.Append(&before, middle);
  log.Append(&middle, newest);
  CHECK(log.Serialize().size() < 2000);
  bench.Answer<StoreWatch>(protocol::StoreEntry{ log.Serialize(), 7 });
  CHECK(bench.snapshot->configuration->GetGeneration() == 12);
  CHECK(FirstTimeout(bench) == 700ms);
  CHECK(bench.Pending<StoreGet>() == nullptr);
}

TEST_CASE("a follower that cannot apply the changes reads the full text")
{
  Bench bench;
  Follow(bench);
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
  bench.Answer<StoreWatch>(protocol::StoreEntry{ log.Serialize(), 7 });
  CHECK(bench.snapshot->configuration->GetGeneration() == 7);
  if (bench.Pending<StoreGetIfChanged>() != nullptr) {
    // A poll in flight is answered first.
    bench.Answer<StoreGetIfChanged>(protocol::StoreEntry{ "", 3 });
  }
  REQUIRE(bench.Pending<StoreGet>() != nullptr);
  bench.Answer<StoreGet>(MakeLargeVersion(12, 6, "700ms"));
  CHECK(bench.snapshot->configuration->GetGeneration() == 12);
}

TEST_CASE("a full read that fails is retried soon")
{
  // Guards against a follower that stays on an old version until its next poll,
  // which is rare in a large fleet.
  Bench bench;
  Follow(bench);
  ConfigurationChangeLog log;
  const ConfigurationVersion newest{ LargeText(kManyRoutes, "700ms"), 12, 6 };
  log.Append(nullptr, newest);
  bench.Answer<StoreWatch>(protocol::StoreEntry{ log.Serialize(), 7 });
  if (bench.Pending<StoreGetIfChanged>() != nullptr) {
    bench.Answer<StoreGetIfChanged>(protocol::StoreEntry{ "", 3 });
  }
  bench.Answer<StoreGet>(StoreError{ StoreErrorCode::Unknown, "" });
  CHECK(bench.Pending<StoreGet>() == nullptr);
  bench.Return();
  REQUIRE(bench.Pending<StoreGet>() != nullptr);
  bench.Answer<StoreGet>(MakeLargeVersion(12, 6, "700ms"));
  CHECK(bench.snapshot->configuration->GetGeneration() == 12);
}

TEST_CASE("a reader of a large configuration writes its changes to the store")
{
  Bench bench;
  bench.Answer<StoreWatch>(MakeLargeVersion(7, 3, "900ms"));
  // No host with more capacity is known, so this node becomes a reader.
  bench.Answer<StoreList>(protocol::StoreListing{ {}, 9 });
  bench.Wait(4s);
  bench.Answer<StoreWatch>(protocol::StoreEntry{});
  bench.Wait(1s);
  REQUIRE(bench.Pending<StoreWatch>()->key == protocol::kConfigurationKey);
  bench.Answer<StoreWatch>(MakeLargeVersion(12, 6, "700ms"));
  const auto* swap = bench.Pending<StoreSwap>();
  REQUIRE(swap != nullptr);
  CHECK(swap->key == protocol::kChangesKey);
  const auto log = ConfigurationChangeLog::Parse(swap->value);
  REQUIRE(log);
  const auto newest = log->Advance(LargeText(kManyRoutes, "900ms"), 7);
  REQUIRE(newest);
  CHECK(newest->text == LargeText(kManyRoutes, "700ms"));
  SECTION("no second time, if another reader wrote the same changes first")
  {
    bench.Answer<StoreSwap>(
      protocol::SwapResult{ false, { log->Serialize(), 20 } });
    bench.Wait(1s);
    CHECK(bench.Pending<StoreSwap>() == nullptr);
  }
  SECTION("after the versions that another reader has written")
  {
    ConfigurationChangeLog other;
    const ConfigurationVersion before{ LargeText(kManyRoutes, "900ms"), 7, 3 };
    const ConfigurationVersion middle{ LargeText(kManyRoutes, "800ms"), 9, 5 };
    other.Append(&before, middle);
    bench.Answer<StoreSwap>(
      protocol::SwapResult{ false, { other.Serialize(), 20 } });
    REQUIRE(bench.Pending<StoreSwap>() != nullptr);
    CHECK(bench.Pending<StoreSwap>()->expectedRevision == 20);
    const auto joined =
      ConfigurationChangeLog::Parse(bench.Pending<StoreSwap>()->value);
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
