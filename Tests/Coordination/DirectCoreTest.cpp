#include "Coordination/DirectCore.h"
#include "Coordination/EndpointCodec.h"
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

/// A core whose store calls the test answers by hand.
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

  /// Brings the node to where it is registered.
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

TEST_CASE("the configuration is read again when the store dropped its history")
{
  Bench bench;
  bench.Answer<StoreWatch>(MakeVersion(7, 3));
  bench.Answer<StoreList>(protocol::StoreListing{ {}, 4 });
  REQUIRE(bench.Pending<StoreWatchPrefix>() != nullptr);
  // The watch of the configuration waits on and would never hear of it.
  bench.Answer<StoreWatchPrefix>(StoreError{ StoreErrorCode::HistoryLost, "" });
  REQUIRE(bench.Pending<StoreGet>() != nullptr);
  bench.Answer<StoreGet>(MakeVersion(8, 6));
  CHECK(bench.snapshot->configuration->GetGeneration() == 8);
  CHECK(bench.Pending<StoreList>() != nullptr);
}

TEST_CASE("a leaving is told as saved only once the store holds it")
{
  Bench bench;
  bench.Register();
  bench.Handle(UpstreamChanged{
    EndpointState::Draining, state::UpstreamIdentity{ "i-me", 7, 2, 12 }, 41 });
  CHECK(bench.savedNumber == 0);
  bench.Answer<StoreSwap>(StoreError{ StoreErrorCode::Unknown, "" });
  CHECK(bench.savedNumber == 0);
  bench.Wait(1s);
  // The first write took effect although its answer was lost.
  const auto value = bench.Pending<StoreSwap>()->value;
  bench.Answer<StoreSwap>(protocol::SwapResult{ false, { value, 15 } });
  CHECK(bench.savedNumber == 41);
}

TEST_CASE("a restarted node learns from the store that its upstream leaves")
{
  Bench bench;
  CHECK_FALSE(bench.restored);
  bench.Answer<StoreList>(protocol::StoreListing{
    { MakeItem(MakeRecord("me", EndpointState::Draining), 8) }, 9 });
  REQUIRE(bench.restored);
  REQUIRE(bench.restored->leaving);
  CHECK(bench.restored->leaving->id == "i-me");
}

TEST_CASE("with the store out a node waits only a while for its memory")
{
  Bench bench;
  bench.Answer<StoreList>(StoreError{ StoreErrorCode::Unavailable, "" });
  bench.Wait(2s);
  CHECK_FALSE(bench.restored);
  bench.Wait(2s);
  REQUIRE(bench.restored);
  CHECK_FALSE(bench.restored->leaving);
}

TEST_CASE("a record that is taken away while its node lives is written again")
{
  Bench bench;
  bench.Register();
  bench.Wait(1s);
  bench.Answer<StoreWatchPrefix>(protocol::StoreChanges{
    { { std::string(protocol::kNodePrefix) + "me", std::nullopt, 20 } }, 20 });
  bench.Wait(200ms);
  bench.Answer<StoreGrant>(protocol::LeaseId{ 100 });
  REQUIRE(bench.Pending<StoreSwap>() != nullptr);
  CHECK(bench.Pending<StoreSwap>()->expectedRevision == 0);
  CHECK(bench.Pending<StoreSwap>()->lease == 100);
}

TEST_CASE("a lease that lapsed in an outage is granted again")
{
  Bench bench;
  bench.Register();
  bench.Wait(3s);
  bench.Answer<StoreKeepAlive>(false);
  CHECK(bench.Pending<StoreGrant>() != nullptr);
}

TEST_CASE("records that vanish stay for a while, because owners return")
{
  Bench bench;
  const auto other = MakeRecord("other", EndpointState::Ready);
  bench.Answer<StoreList>(protocol::StoreListing{ { MakeItem(other, 8) }, 9 });
  const auto knows = [&] {
    return bench.snapshot->endpoints->Find("other") != nullptr;
  };
  REQUIRE(knows());
  bench.Answer<StoreWatchPrefix>(protocol::StoreChanges{
    { { MakeItem(other, 8).key, std::nullopt, 12 } }, 12 });
  bench.Wait(2s);
  CHECK(knows());
  bench.Wait(2s);
  CHECK_FALSE(knows());
}

TEST_CASE("a record that cannot be read names no node and harms no other")
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

TEST_CASE("a request that crashed two upstreams is in quarantine everywhere")
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
