#include "Coordination/DirectCore.h"
#include "Coordination/DepartureLog.h"
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
      } else if (const auto* saved = std::get_if<DepartureSaved>(&command)) {
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

  /// Answers the pending swap of a key.
  void AnswerSwap(const std::string& aKey, StoreResult aResult)
  {
    const auto found = std::ranges::find_if(calls, [&](const CallStore& aCall) {
      const auto* swap = std::get_if<StoreSwap>(&aCall.request);
      return swap != nullptr && swap->key == aKey;
    });
    REQUIRE(found != calls.end());
    const auto number = found->call;
    calls.erase(found);
    Handle(StoreAnswered{ number, std::move(aResult) });
  }

  /// @return the pending swap of a key, or nullptr.
  const StoreSwap* PendingSwap(const std::string& aKey) const
  {
    for (const auto& call : calls) {
      const auto* swap = std::get_if<StoreSwap>(&call.request);
      if (swap != nullptr && swap->key == aKey) {
        return swap;
      }
    }
    return nullptr;
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

namespace {

const std::string kOwnDepartures = DeparturesKey("me");
const state::UpstreamIdentity kOwnUpstream{ "i-me", 7, 2, 12 };

protocol::StoreItem
MakeDepartures(const std::string& aNode,
               const state::UpstreamIdentity& aRun,
               std::uint64_t aRevision)
{
  state::DepartureSet departures;
  departures.Add(aRun);
  return { DeparturesKey(aNode), SerializeDepartures(departures), aRevision };
}

/// Tells the core that the upstream beside it leaves, and answers the lease.
void
Depart(CoreHarness& aHarness)
{
  aHarness.Register();
  aHarness.Handle(UpstreamDeparted{ "me", kOwnUpstream, 41 });
  aHarness.Answer<StoreGrant>(protocol::LeaseId{ 100 });
}

} // namespace

TEST_CASE("a drain is reported as saved only once the store holds it")
{
  CoreHarness harness;
  Depart(harness);
  CHECK(harness.savedNumber == 0);
  harness.AnswerSwap(kOwnDepartures, StoreError{ StoreErrorCode::Unknown, "" });
  CHECK(harness.savedNumber == 0);
  harness.AnswerProbe();
  // The first write took effect although its answer was lost.
  REQUIRE(harness.PendingSwap(kOwnDepartures) != nullptr);
  const auto value = harness.PendingSwap(kOwnDepartures)->value;
  harness.AnswerSwap(kOwnDepartures,
                     protocol::SwapResult{ false, { value, 15 } });
  CHECK(harness.savedNumber == 41);
}

TEST_CASE("a departure is merged with those that another process wrote")
{
  // Guards against a node that replaces a departure that it has not seen.
  CoreHarness harness;
  Depart(harness);
  const auto earlier = MakeDepartures("me", { "i-earlier", 3, 0, 0 }, 12);
  harness.AnswerSwap(kOwnDepartures,
                     protocol::SwapResult{ false, { earlier.value, 12 } });
  CHECK(harness.savedNumber == 0);
  const auto* swap = harness.PendingSwap(kOwnDepartures);
  REQUIRE(swap != nullptr);
  CHECK(swap->expectedRevision == 12);
  const auto written = ParseDepartures(swap->value);
  CHECK(written.Contains({ "i-earlier", 3, 0, 0 }));
  CHECK(written.Contains(kOwnUpstream));
}

TEST_CASE("a departure that is removed from the store is written again")
{
  // Guards against keys that are revoked while the departure still counts.
  CoreHarness harness;
  Depart(harness);
  const auto value = harness.PendingSwap(kOwnDepartures)->value;
  harness.AnswerSwap(kOwnDepartures,
                     protocol::SwapResult{ true, { value, 15 } });
  CHECK(harness.savedNumber == 41);
  harness.RunFor(1s);
  // A stale listing that is older than the write shows nothing.
  harness.Answer<StoreList>(protocol::StoreListing{ {}, 14 });
  harness.RunFor(1s);
  CHECK(harness.PendingSwap(kOwnDepartures) == nullptr);
  harness.Answer<StoreList>(
    protocol::StoreListing{ { { kOwnDepartures, value, 15 } }, 20 });
  harness.RunFor(1s);
  CHECK(harness.PendingSwap(kOwnDepartures) == nullptr);
  harness.Answer<StoreList>(protocol::StoreListing{ {}, 30 });
  harness.RunFor(300ms);
  REQUIRE(harness.PendingSwap(kOwnDepartures) != nullptr);
  CHECK(harness.PendingSwap(kOwnDepartures)->value == value);
}

TEST_CASE("a departure outlasts the lease of the node's record")
{
  // Guards against a departure that is forgotten when a restarted node was
  // turned away for longer than its record lives.
  CoreHarness harness;
  harness.Register();
  harness.Handle(UpstreamDeparted{ "me", kOwnUpstream, 41 });
  REQUIRE(harness.Pending<StoreGrant>() != nullptr);
  CHECK(harness.Pending<StoreGrant>()->timeToLive >= 60s);
}

TEST_CASE("a restarted node learns from the store that its upstream is leaving")
{
  CoreHarness harness;
  CHECK_FALSE(harness.restored);
  const bool isInRecord = GENERATE(true, false);
  const auto item =
    isInRecord ? MakeItem(MakeRecord("me", EndpointState::Draining), 8)
               : MakeDepartures(
                   "me", MakeRecord("me", EndpointState::Ready).upstream, 8);
  SECTION("with its first answer")
  {
    harness.Answer<StoreList>(protocol::StoreListing{ { item }, 9 });
  }
  SECTION("after it turned the node away for long")
  {
    // Guards against a departure in the store that the restarted node ignores
    // and overwrites.
    harness.Answer<StoreList>(StoreError{ StoreErrorCode::Unavailable, "" });
    harness.RunFor(4s);
    REQUIRE(harness.restored);
    CHECK(harness.restored->departed.empty());
    CHECK_FALSE(harness.restored->isComplete);
    harness.AnswerProbe();
    harness.Answer<StoreList>(protocol::StoreListing{ { item }, 9 });
  }
  REQUIRE(harness.restored);
  CHECK(harness.restored->isComplete);
  REQUIRE(harness.restored->departed.size() == 1);
  CHECK(harness.restored->departed[0].id == "i-me");
}

TEST_CASE("a departure that appears in a later listing is restored, too")
{
  // Guards against the write of a departure that another process finishes after
  // the first listing.
  CoreHarness harness;
  harness.Register();
  REQUIRE(harness.restored);
  CHECK(harness.restored->departed.empty());
  harness.RunFor(1s);
  harness.Answer<StoreList>(
    protocol::StoreListing{ { MakeDepartures("me", kOwnUpstream, 15) }, 15 });
  CHECK(harness.restored->departed.size() == 1);
}

TEST_CASE("a departure in a record that this node fails to replace is restored")
{
  // Guards against a record that a previous process wrote after the listing.
  CoreHarness harness;
  harness.Answer<StoreList>(protocol::StoreListing{ {}, 10 });
  harness.Handle(UpstreamChanged{ EndpointState::Ready, kOwnUpstream });
  harness.Answer<StoreGrant>(protocol::LeaseId{ 99 });
  const auto late = MakeItem(MakeRecord("me", EndpointState::Draining), 11);
  harness.Answer<StoreSwap>(protocol::SwapResult{ false, { late.value, 11 } });
  REQUIRE(harness.restored->departed.size() == 1);
  CHECK(harness.restored->departed[0].bornMilliseconds == 77);
}

TEST_CASE("an upstream that left is not ready, whatever its record says")
{
  // Guards against requests to an upstream whose node has forgotten that it
  // left.
  CoreHarness harness;
  const auto record = MakeItem(MakeRecord("other", EndpointState::Ready), 8);
  const auto departures = MakeDepartures("other", { "i-other", 77, 0, 0 }, 9);
  const auto stateOfOther = [&] {
    return harness.snapshot->endpoints->Find("other")->state;
  };
  SECTION("the departure is listed with the record")
  {
    harness.Answer<StoreList>(
      protocol::StoreListing{ { record, departures }, 9 });
  }
  SECTION("the record is written again after the departure")
  {
    harness.Answer<StoreList>(
      protocol::StoreListing{ { record, departures }, 9 });
    const auto again = MakeItem(MakeRecord("other", EndpointState::Ready), 12);
    harness.RunFor(1s);
    harness.Answer<StoreList>(protocol::StoreListing{ { again }, 12 });
  }
  SECTION("another node tells the departure")
  {
    harness.Answer<StoreList>(protocol::StoreListing{ { record }, 9 });
    CHECK(stateOfOther() == EndpointState::Ready);
    harness.Handle(UpstreamDeparted{ "other", { "i-other", 77, 0, 0 }, 5 });
  }
  CHECK(stateOfOther() == EndpointState::Gone);
  auto next = MakeRecord("other", EndpointState::Ready);
  next.upstream = { "i-next", 99, 1, 12 };
  harness.RunFor(1s);
  harness.Answer<StoreList>(
    protocol::StoreListing{ { MakeItem(next, 20) }, 20 });
  CHECK(stateOfOther() == EndpointState::Ready);
}

TEST_CASE("a node gives up restoring its state while the store is unavailable")
{
  CoreHarness harness;
  harness.Answer<StoreList>(StoreError{ StoreErrorCode::Unavailable, "" });
  harness.RunFor(2s);
  CHECK_FALSE(harness.restored);
  harness.RunFor(2s);
  REQUIRE(harness.restored);
  CHECK(harness.restored->departed.empty());
  CHECK_FALSE(harness.restored->isComplete);
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
