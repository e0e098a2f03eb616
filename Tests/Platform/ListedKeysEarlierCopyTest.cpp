#include "Coordination/DepartureLog.h"
#include "Coordination/EndpointCodec.h"
#include "Tests/Platform/ConnectedCore.h"

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;
using state::EndpointState;
using tests::ConnectedCore;
using tests::RunningStore;

// Guards against records and departures of nodes that are lost, or not seen,
// because the store came back from an earlier copy and gives revisions out
// again.

namespace {

const state::UpstreamIdentity kFirstRun{ "i-first", 7, 1, 12 };
const state::UpstreamIdentity kSecondRun{ "i-second", 8, 1, 12 };

/// The revisions that are lost with the copy; more than are given out again.
constexpr int kLostRevisions = 40;

/// A store in its first era.
struct EarlierCopyStore
{
  EarlierCopyStore() { store.SetEra(1); }

  /// Writes what is lost as the store returns.
  void WriteMuch()
  {
    store.OnStore([](stand_in::StoreState& aState) {
      for (int i = 0; i < kLostRevisions; ++i) {
        aState.Apply({ {}, { { "a/lost", "", 0 } }, {} });
      }
    });
  }

  void Return(const stand_in::StoreState& aCopy)
  {
    store.Restore(aCopy, "a/returned", { "" });
  }

  std::optional<std::string> Value(const std::string& aKey)
  {
    const auto entry = store.Client()->Get(aKey, 1s);
    REQUIRE(entry);
    return entry->revision == 0 ? std::nullopt : std::optional(entry->value);
  }

  std::optional<state::EndpointRecord> Record(const std::string& aNode)
  {
    const auto value = Value(protocol::kNodePrefix + aNode);
    wire::Endpoint endpoint;
    if (!value || !endpoint.ParseFromString(*value)) {
      return std::nullopt;
    }
    return FromWire(endpoint);
  }

  bool HasDeparture(const std::string& aNode,
                    const state::UpstreamIdentity& aRun)
  {
    const auto value = Value(DeparturesKey(aNode));
    return value && ParseDepartures(*value).Contains(aRun);
  }

  RunningStore store;
};

/// Lets a node write the departure of its upstream and end. The other node has
/// listed its record, but not the departure.
/// @return a copy of the store from before the departure.
stand_in::StoreState
DepartAndEnd(EarlierCopyStore& aStore, ConnectedCore& aOther)
{
  aOther.Announce(kSecondRun);
  aOther.RunFor(1s);
  ConnectedCore one(aStore.store, "one");
  one.Announce(kFirstRun);
  one.RunFor(1s);
  auto copy = aStore.store.Copy();
  aOther.RunFor(1s);
  one.Depart("one", kFirstRun);
  one.RunFor(1s);
  return copy;
}

} // namespace

TEST_CASE("a node that joins after an earlier copy is seen")
{
  EarlierCopyStore store;
  const auto copy = store.store.Copy();
  store.WriteMuch();
  ConnectedCore one(store.store, "one");
  one.RunFor(2s);
  store.Return(copy);
  ConnectedCore two(store.store, "two");
  two.Announce(kFirstRun);
  two.RunFor(1s);
  one.RunFor(3s);
  REQUIRE(one.Find("two") != nullptr);
  CHECK(one.CountLogs("The store came back from an earlier copy.") == 1);
}

TEST_CASE("a record that an earlier copy lacks is written again")
{
  EarlierCopyStore store;
  const auto copy = store.store.Copy();
  ConnectedCore one(store.store, "one");
  one.Announce(kFirstRun);
  one.RunFor(1s);
  store.WriteMuch();
  one.RunFor(2s);
  REQUIRE(store.Record("one"));
  store.Return(copy);
  REQUIRE_FALSE(store.Record("one"));
  one.RunFor(2s);
  CHECK(store.Record("one"));
}

TEST_CASE("a record that an earlier copy holds in an older form is replaced")
{
  EarlierCopyStore store;
  ConnectedCore one(store.store, "one");
  ConnectedCore two(store.store, "two");
  one.Announce(kFirstRun);
  one.RunFor(1s);
  const auto copy = store.store.Copy();
  one.Announce(kSecondRun);
  one.RunFor(1s);
  store.WriteMuch();
  one.RunFor(1s);
  two.RunFor(2s);
  REQUIRE(two.Find("one")->upstream.IsSameRun(kSecondRun));
  store.Return(copy);
  REQUIRE(store.Record("one")->upstream.IsSameRun(kFirstRun));
  one.RunFor(3s);
  two.RunFor(3s);
  CHECK(store.Record("one")->upstream.IsSameRun(kSecondRun));
  CHECK(two.Find("one")->upstream.IsSameRun(kSecondRun));
}

TEST_CASE("a departure that an earlier copy lacks is written again")
{
  EarlierCopyStore store;
  ConnectedCore one(store.store, "one");
  one.Announce(kFirstRun);
  one.RunFor(1s);
  const auto copy = store.store.Copy();
  one.Depart("one", kFirstRun);
  one.RunFor(1s);
  store.WriteMuch();
  one.RunFor(1s);
  REQUIRE(store.HasDeparture("one", kFirstRun));
  store.Return(copy);
  REQUIRE_FALSE(store.HasDeparture("one", kFirstRun));
  one.RunFor(2s);
  CHECK(store.HasDeparture("one", kFirstRun));
}

TEST_CASE("a departure outlives an earlier copy and the node that wrote it")
{
  EarlierCopyStore store;
  ConnectedCore other(store.store, "other");
  const auto copy = DepartAndEnd(store, other);
  store.WriteMuch();
  other.RunFor(2s);
  REQUIRE(store.HasDeparture("one", kFirstRun));
  store.Return(copy);
  other.RunFor(2s);
  CHECK(store.HasDeparture("one", kFirstRun));
  REQUIRE(other.Find("one") != nullptr);
  CHECK(other.Find("one")->state == EndpointState::Gone);
}

TEST_CASE("a departure that no other node has listed outlives an earlier copy",
          "[known-red]")
{
  // Guards against an acknowledged departure that only its writer knew, which
  // was killed as the store came back without it.
  EarlierCopyStore store;
  ConnectedCore other(store.store, "other");
  const auto copy = DepartAndEnd(store, other);
  REQUIRE(store.HasDeparture("one", kFirstRun));
  store.Return(copy);
  other.RunFor(4s);
  CHECK(store.HasDeparture("one", kFirstRun));
}
