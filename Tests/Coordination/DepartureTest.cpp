#include "Coordination/DepartureLog.h"
#include "Tests/Coordination/CoreHarness.h"

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace teaselhold::tests;
using namespace std::chrono_literals;
using protocol::StoreError;
using protocol::StoreErrorCode;
using state::EndpointState;

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
