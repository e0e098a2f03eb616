#include "Coordination/Rollouts/RolloutGate.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;
using protocol::RolloutState;

namespace {

constexpr const char* kService = "orders";
constexpr std::uint64_t kOrder = 7;

state::EndpointRecord
MakeUpstream(const std::string& aNode, const std::string& aVersion)
{
  state::EndpointRecord record;
  record.node = aNode;
  record.incarnation = 1;
  record.sequence = 1;
  record.service = kService;
  record.state = state::EndpointState::Ready;
  record.upstream.id = "i-" + aNode;
  record.upstream.version = aVersion;
  return record;
}

Rollout
MakeRollout(std::optional<RolloutState> aState, std::uint64_t aRevision)
{
  Rollout rollout;
  rollout.service = kService;
  rollout.target = "v2";
  rollout.order = kOrder;
  rollout.duration = 15s;
  rollout.begin = 10s;
  rollout.stored = aState;
  rollout.storedRevision = aRevision;
  return rollout;
}

/// A node that knows ten upstreams of v1 and ten of v2.
class Node
{
public:
  Node()
  {
    auto table = std::make_shared<state::EndpointTable>();
    for (int i = 0; i < 10; ++i) {
      table->Merge(MakeUpstream("old" + std::to_string(i), "v1"));
      table->Merge(MakeUpstream("new" + std::to_string(i), "v2"));
    }
    gate.SetEndpoints(table, now);
  }

  /// Sends requests as a caller's node does.
  /// @return how many went to the new version.
  int Send(int aCount)
  {
    int fresh = 0;
    for (int i = 0; i < aCount; ++i) {
      const auto choices = gate.Choose(kService, true, now);
      const auto record = MakeUpstream("new0", "v2");
      const bool isNew = choices.front() == VersionChoice::Target ||
                         (choices.front() == VersionChoice::Any &&
                          gate.Allows(VersionChoice::Any, record, now));
      fresh += isNew ? 1 : 0;
      gate.OnArrival(kService);
      now += 1ms;
    }
    return fresh;
  }

  void Learn(std::optional<RolloutState> aState, std::uint64_t aRevision)
  {
    gate.Learn({ MakeRollout(aState, aRevision) }, now);
  }

  RolloutGate gate{ RolloutGateOptions{ 0.1 } };
  state::Instant now{ 10s };
};

} // namespace

TEST_CASE("without an order every version is served as before")
{
  // Guards against an ordinary replacement of upstreams that gets no requests.
  Node node;
  CHECK(node.gate.Choose(kService, true, node.now).front() ==
        VersionChoice::Any);
  CHECK_FALSE(node.gate.IsRefused(kService, "v2", 0, node.now));
  node.Learn(RolloutState::Running, 8);
  CHECK(node.gate.Choose("other", true, node.now).front() ==
        VersionChoice::Any);
}

TEST_CASE("a running version gets less than its share of what arrived")
{
  Node node;
  node.Learn(std::nullopt, 0);
  CHECK(node.Send(1000) == 0);
  node.Learn(RolloutState::Running, 8);
  const auto given = node.Send(2000);
  CHECK(given > 50);
  CHECK(given < 200);
}

TEST_CASE("requests that never arrive earn no share")
{
  // Guards against exposure beyond the bound while a full service refuses most
  // requests.
  Node node;
  node.Learn(RolloutState::Running, 8);
  int given = 0;
  for (int i = 0; i < 1000; ++i) {
    given += node.gate.Choose(kService, true, node.now).front() ==
                 VersionChoice::Target
               ? 1
               : 0;
  }
  CHECK(given <= 2);
}

TEST_CASE("a request that is sent again takes nothing from the share")
{
  Node node;
  node.Learn(RolloutState::Running, 8);
  node.Send(100);
  CHECK(node.gate.Choose(kService, false, node.now).front() ==
        VersionChoice::Established);
}

TEST_CASE("a sender that does not know of the roll-out is refused")
{
  // Guards against exposure by a node that acts on old knowledge.
  Node node;
  node.Learn(std::nullopt, 0);
  CHECK(node.gate.IsRefused(kService, "v2", kOrder, node.now));
  node.Learn(RolloutState::Running, 8);
  CHECK(node.gate.IsRefused(kService, "v2", 0, node.now));
  CHECK(node.gate.IsRefused(kService, "v2", kOrder - 1, node.now));
  CHECK_FALSE(node.gate.IsRefused(kService, "v2", kOrder, node.now));
  CHECK_FALSE(node.gate.IsRefused(kService, "v1", 0, node.now));
}

TEST_CASE("a bad version is stopped before the verdict is written")
{
  Node node;
  node.Learn(RolloutState::Running, 8);
  auto bad = MakeRollout(std::nullopt, 0);
  bad.isBad = true;
  node.gate.Learn({ bad }, node.now);
  CHECK(node.Send(1000) == 0);
  CHECK(node.gate.IsRefused(kService, "v2", kOrder, node.now));
  // A late word of the running state changes nothing.
  node.Learn(RolloutState::Running, 9);
  CHECK(node.Send(1000) == 0);
}

TEST_CASE("a version that was rolled back stays so")
{
  // Guards against a late record that revives a bad version.
  Node node;
  node.Learn(RolloutState::RolledBack, 12);
  node.Learn(RolloutState::Running, 8);
  node.Learn(std::nullopt, 0);
  node.now += 1h;
  CHECK(node.Send(1000) == 0);
  CHECK(node.gate.IsRefused(kService, "v2", kOrder, node.now));
}

TEST_CASE("a completed version gets all new requests")
{
  Node node;
  node.Learn(RolloutState::Completed, 12);
  const auto choices = node.gate.Choose(kService, true, node.now);
  REQUIRE(choices.size() == 1);
  CHECK(choices.front() == VersionChoice::Target);
  CHECK(node.gate.IsRefused(kService, "v1", kOrder, node.now));
  // Later replacements of upstreams are none of the roll-out's concern.
  node.now += 60s;
  CHECK(node.gate.Choose(kService, true, node.now).front() ==
        VersionChoice::Any);
  CHECK_FALSE(node.gate.IsRefused(kService, "v1", 0, node.now));
}

TEST_CASE("a node that starts after the verdict gives nothing")
{
  // Guards against a restart of all nodes between the verdict and the drain.
  Node node;
  node.Learn(std::nullopt, 0);
  CHECK(node.Send(100) == 0);
  node.Learn(RolloutState::RolledBack, 12);
  CHECK(node.Send(1000) == 0);
}

TEST_CASE("nothing is given after the duration without a verdict")
{
  Node node;
  node.Learn(RolloutState::Running, 8);
  node.now = 26s;
  CHECK(node.Send(1000) == 0);
}

TEST_CASE("a version that stays suspicious gets nothing until reports fade")
{
  // Guards against bad answers for as long as other trouble hides whose fault
  // they are.
  Node node;
  node.Learn(RolloutState::Running, 8);
  const auto report = [&](int aIndex, bool aIsNew, bool aIsBad) {
    const auto name = (aIsNew ? "new" : "old") + std::to_string(aIndex);
    node.gate.OnReport(MakeUpstream(name, aIsNew ? "v2" : "v1"),
                       aIsBad ? "11111111;200;100;200;2000"
                              : "11111111;200;0;200;2000",
                       node.now);
  };
  for (int i = 0; i < 35; ++i) {
    for (int upstream = 0; upstream < 10; ++upstream) {
      report(upstream, false, upstream < 4);
    }
    report(0, true, true);
    report(1, true, true);
    node.gate.Tick(node.now);
    node.now += 100ms;
  }
  CHECK(node.Send(100) == 0);
  CHECK_FALSE(node.gate.All().front().isBad);
  node.now += 7s;
  node.gate.Tick(node.now);
  node.Send(20);
  CHECK(node.Send(100) > 0);
}

TEST_CASE("the share goes to a few upstreams at a time")
{
  // Guards against a version that is bad only under the load of full use.
  Node node;
  node.Learn(RolloutState::Running, 8);
  const auto allowed = [&] {
    std::set<std::string> nodes;
    for (int i = 0; i < 10; ++i) {
      const auto record = MakeUpstream("new" + std::to_string(i), "v2");
      if (node.gate.Allows(VersionChoice::Target, record, node.now)) {
        nodes.insert(record.node);
      }
    }
    return nodes;
  };
  const auto first = allowed();
  CHECK(first.size() == 2);
  node.now += 3s;
  const auto second = allowed();
  CHECK(second.size() == 2);
  CHECK(first != second);
}

TEST_CASE("an order for the version that already serves changes nothing")
{
  // Guards against an outage by an order that is repeated.
  RolloutGate gate({ 0.1 });
  auto table = std::make_shared<state::EndpointTable>();
  table->Merge(MakeUpstream("a", "v2"));
  table->Merge(MakeUpstream("b", "v2"));
  gate.SetEndpoints(table, 10s);
  gate.Learn({ MakeRollout(RolloutState::Running, 8) }, 10s);
  CHECK(gate.Choose(kService, true, 13s).front() == VersionChoice::Any);
  CHECK_FALSE(gate.IsRefused(kService, "v2", 0, 13s));
}

TEST_CASE("knowledge of roll-outs merges in any order")
{
  std::vector<Rollout> known{ MakeRollout(std::nullopt, 0),
                              MakeRollout(RolloutState::Running, 8),
                              MakeRollout(RolloutState::Promoting, 9),
                              MakeRollout(RolloutState::Completed, 12) };
  known[1].isBad = true;
  std::vector<std::size_t> indexes{ 0, 1, 2, 3 };
  do {
    RolloutBook book;
    for (const auto index : indexes) {
      book.Merge(known[index]);
    }
    CHECK(book.Find(kService)->stored == RolloutState::Completed);
    CHECK(book.Find(kService)->isBad);
  } while (std::ranges::next_permutation(indexes).found);
}

TEST_CASE("roll-outs are carried between nodes")
{
  auto rollout = MakeRollout(RolloutState::Running, 8);
  rollout.isBad = true;
  const auto read = ParseRollouts(FormatRollouts({ rollout }, 12s), 100s);
  REQUIRE(read.size() == 1);
  CHECK(read.front().IsSame(rollout));
  CHECK(read.front().begin == 98s);
  CHECK(ParseRollouts("a;b;c,;;;,orders;v2;7;1;2;running", 1s).empty());
}
