#include "Coordination/Rollouts/RolloutKeeper.h"
#include "Protocol/StoreRevision.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;
using protocol::RolloutState;

namespace {

constexpr const char* kService = "orders";

/// The part of the store that holds roll-outs.
struct Store
{
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
  };

  std::uint64_t Put(const std::string& aKey, const std::string& aValue)
  {
    items[aKey] = { aValue, ++revision };
    return Position(revision);
  }

  /// Comes back from an earlier copy and begins a new era.
  void Return(const Store& aCopy)
  {
    const auto next = era + 1;
    *this = aCopy;
    era = next;
  }

  std::uint64_t Position(std::uint64_t aRevision) const
  {
    return protocol::MakePosition(era, aRevision);
  }

  StoreResult Execute(const CallStore& aCall)
  {
    if (const auto* list = std::get_if<StoreList>(&aCall.request)) {
      ++reads;
      protocol::StoreListing listing;
      listing.revision = Position(revision);
      for (const auto& [key, item] : items) {
        if (key.starts_with(list->prefix)) {
          listing.items.push_back({ key, item.value, Position(item.revision) });
        }
      }
      return listing;
    }
    const auto& swap = std::get<StoreSwap>(aCall.request);
    ++writes;
    const auto found = items.find(swap.key);
    const auto current = found == items.end() ? Item() : found->second;
    if (Position(current.revision) != swap.expectedRevision) {
      return protocol::SwapResult{
        false, { current.value, Position(current.revision) }
      };
    }
    const auto written = Put(swap.key, swap.value);
    return protocol::SwapResult{ true, { swap.value, written } };
  }

  std::optional<protocol::RolloutStatus> Status()
  {
    return protocol::ParseRolloutStatus(
      items[std::string(protocol::kRolloutStatePrefix) + kService].value);
  }

  std::map<std::string, Item> items;
  std::uint64_t era = 0;
  std::uint64_t revision = 10;
  int reads = 0;
  int writes = 0;
};

/// One node's keeper.
struct Node
{
  explicit Node(const std::string& aName)
    : keeper(aName, numbers, random)
  {
  }

  /// Moves on and carries out the store calls, unless the store is out.
  void Step(Store& aStore, state::Instant aNow, bool aIsAnswered = true)
  {
    Commands commands;
    keeper.Tick(aNow, commands);
    for (const auto& command : commands) {
      if (const auto* call = std::get_if<CallStore>(&command)) {
        waiting.push_back(*call);
      }
    }
    while (aIsAnswered && !waiting.empty()) {
      const auto call = waiting.front();
      waiting.erase(waiting.begin());
      Answer(call, aStore.Execute(call), aNow);
    }
  }

  void Answer(const CallStore& aCall,
              const StoreResult& aResult,
              state::Instant aNow)
  {
    Commands commands;
    keeper.OnStoreAnswer({ aCall.call, aResult }, aNow, commands);
  }

  /// The data plane says that it found the version good or bad.
  void Find(bool aIsBad)
  {
    RolloutsSeen seen{ keeper.Book().All(), {} };
    for (auto& rollout : seen.rollouts) {
      rollout.isBad = aIsBad;
    }
    if (!aIsBad) {
      seen.proven.insert(kService);
    }
    keeper.OnSeen(seen);
  }

  StoreCallNumbers numbers;
  RandomSource random{ 1 };
  RolloutKeeper keeper;
  std::vector<CallStore> waiting;
};

/// Nodes that share a store, and tell each other nothing.
struct Fleet
{
  explicit Fleet(std::size_t aNodes)
  {
    for (std::size_t i = 0; i < aNodes; ++i) {
      nodes.push_back(std::make_unique<Node>("node" + std::to_string(i)));
    }
  }

  void Order(const std::string& aTarget = "v2")
  {
    store.Put(std::string(protocol::kRolloutOrderPrefix) + kService,
              protocol::FormatRolloutOrder({ aTarget, 15s }));
    TellOrders();
  }

  void TellOrders()
  {
    for (auto& node : nodes) {
      node->keeper.OnOrdersRevision(store.Position(store.revision));
    }
  }

  /// The store comes back from an earlier copy, which the watch of each node
  /// shows.
  void Return(const Store& aCopy)
  {
    store.Return(aCopy);
    TellOrders();
  }

  RolloutState StateAt(std::size_t aNode) const
  {
    const auto* rollout = nodes[aNode]->keeper.Book().Find(kService);
    REQUIRE(rollout != nullptr);
    REQUIRE(rollout->stored);
    return *rollout->stored;
  }

  void Run(state::Duration aTime)
  {
    const auto end = now + aTime;
    for (; now < end; now += 100ms) {
      for (auto& node : nodes) {
        node->Step(store, now);
      }
    }
  }

  Store store;
  std::vector<std::unique_ptr<Node>> nodes;
  state::Instant now{ 10s };
};

bool
IsWrite(const CallStore& aCall)
{
  return std::holds_alternative<StoreSwap>(aCall.request);
}

} // namespace

TEST_CASE("an order becomes a running roll-out with few calls")
{
  Fleet fleet(20);
  fleet.Order();
  fleet.Run(1500ms);
  REQUIRE(fleet.store.Status());
  CHECK(fleet.store.Status()->state == RolloutState::Running);
  // The orders are read once by each node, and each writes at most once.
  CHECK(fleet.store.writes <= 20);
}

TEST_CASE("without orders there are no calls")
{
  Fleet fleet(1);
  fleet.Run(10s);
  CHECK(fleet.store.reads == 0);
  CHECK(fleet.store.writes == 0);
}

TEST_CASE("a good version is completed well before the end")
{
  Fleet fleet(3);
  fleet.Order();
  fleet.Run(5s);
  for (auto& node : fleet.nodes) {
    node->Find(false);
  }
  fleet.Run(3s);
  // A version may turn bad late.
  CHECK(fleet.store.Status()->state == RolloutState::Running);
  fleet.Run(6s);
  CHECK(fleet.store.Status()->state == RolloutState::Completed);
}

TEST_CASE("a version that no node finds good is rolled back before the end")
{
  // Guards against a roll-out that stays open with unknown upstreams.
  Fleet fleet(3);
  fleet.Order();
  fleet.Run(14500ms);
  CHECK(fleet.store.Status()->state == RolloutState::RolledBack);
}

TEST_CASE("any node that knows of bad answers ends the roll-out")
{
  // Guards against a decider whose death leaves a bad version running.
  Fleet fleet(5);
  fleet.Order();
  fleet.Run(3s);
  fleet.nodes[3]->Find(true);
  fleet.nodes[1]->Find(true);
  fleet.nodes[1] = std::make_unique<Node>("restarted");
  fleet.Run(1200ms);
  CHECK(fleet.store.Status()->state == RolloutState::RolledBack);
}

TEST_CASE("a node that was paused does not complete what was rolled back")
{
  // Guards against a decider that acts on what it knew before its pause.
  Fleet fleet(2);
  fleet.Order();
  fleet.Run(2s);
  auto& paused = *fleet.nodes[0];
  paused.Find(false);
  fleet.now = 22s;
  // It has decided to promote as it is paused, and its write is on the way.
  CallStore late{};
  for (int i = 0; i < 20 && (late.call == 0 || !IsWrite(late)); ++i) {
    paused.Step(fleet.store, fleet.now, false);
    if (!paused.waiting.empty()) {
      late = paused.waiting.front();
      paused.waiting.clear();
      if (!IsWrite(late)) {
        paused.Answer(late, fleet.store.Execute(late), fleet.now);
      }
    }
    fleet.now += 100ms;
  }
  REQUIRE(IsWrite(late));
  auto& other = *fleet.nodes[1];
  other.Find(true);
  for (int i = 0; i < 15; ++i) {
    fleet.now += 100ms;
    other.Step(fleet.store, fleet.now);
  }
  REQUIRE(fleet.store.Status()->state == RolloutState::RolledBack);
  paused.Answer(late, fleet.store.Execute(late), fleet.now);
  CHECK(fleet.store.Status()->state == RolloutState::RolledBack);
  CHECK(paused.keeper.Book().Find(kService)->stored ==
        RolloutState::RolledBack);
  for (int i = 0; i < 50; ++i) {
    fleet.now += 100ms;
    paused.Step(fleet.store, fleet.now);
  }
  CHECK(fleet.store.Status()->state == RolloutState::RolledBack);
}

TEST_CASE("a lost answer to the write of the verdict is found out")
{
  // Guards against a verdict that is written twice or taken for missing.
  const bool isDone = GENERATE(true, false);
  Fleet fleet(1);
  auto& node = *fleet.nodes[0];
  fleet.Order();
  fleet.Run(2s);
  node.Find(true);
  while (node.waiting.empty() || !IsWrite(node.waiting.front())) {
    node.waiting.clear();
    node.Step(fleet.store, fleet.now, false);
    fleet.now += 100ms;
    REQUIRE(fleet.now < 20s);
  }
  const auto write = node.waiting.front();
  node.waiting.clear();
  if (isDone) {
    fleet.store.Execute(write);
  }
  node.Answer(write,
              protocol::StoreError{ protocol::StoreErrorCode::Unknown, "" },
              fleet.now);
  const auto writes = fleet.store.writes;
  fleet.Run(4s);
  CHECK(fleet.store.Status()->state == RolloutState::RolledBack);
  CHECK(fleet.store.writes - writes == (isDone ? 0 : 1));
  CHECK(node.keeper.Book().Find(kService)->stored == RolloutState::RolledBack);
}

TEST_CASE("a verdict survives a restart of all nodes")
{
  Fleet fleet(3);
  fleet.Order();
  fleet.Run(2s);
  fleet.nodes[0]->Find(true);
  fleet.Run(2s);
  REQUIRE(fleet.store.Status()->state == RolloutState::RolledBack);
  const auto revision = fleet.store.revision;
  for (auto& node : fleet.nodes) {
    node = std::make_unique<Node>("again");
    node->keeper.OnOrdersRevision(revision);
  }
  fleet.Run(500ms);
  for (auto& node : fleet.nodes) {
    REQUIRE(node->keeper.Book().Find(kService) != nullptr);
    CHECK(node->keeper.Book().Find(kService)->stored ==
          RolloutState::RolledBack);
  }
  fleet.Run(20s);
  CHECK(fleet.store.Status()->state == RolloutState::RolledBack);
}

TEST_CASE("a later order replaces a finished roll-out")
{
  Fleet fleet(2);
  fleet.Order();
  fleet.Run(2s);
  fleet.nodes[0]->Find(true);
  fleet.Run(2s);
  REQUIRE(fleet.store.Status()->state == RolloutState::RolledBack);
  const auto first = fleet.store.Status()->order;
  fleet.Order();
  fleet.Run(2500ms);
  CHECK(fleet.store.Status()->state == RolloutState::Running);
  CHECK(fleet.store.Status()->order > first);
}

TEST_CASE("a verdict that an earlier copy of the store lacks is written again")
{
  // Guards against a verdict that is reversed because the store lost it.
  const bool isBad = GENERATE(true, false);
  const auto verdict =
    isBad ? RolloutState::RolledBack : RolloutState::Completed;
  Fleet fleet(3);
  const auto empty = fleet.store;
  fleet.Order();
  const auto ordered = fleet.store;
  fleet.Run(3s);
  const auto running = fleet.store;
  for (auto& node : fleet.nodes) {
    node->Find(isBad);
  }
  fleet.Run(11s);
  REQUIRE(fleet.store.Status()->state == verdict);
  SECTION("the copy holds an earlier state")
  {
    fleet.Return(running);
  }
  SECTION("the copy holds the order alone")
  {
    fleet.Return(ordered);
  }
  SECTION("the order is written again")
  {
    fleet.Return(empty);
    fleet.Run(500ms);
    fleet.Order();
  }
  fleet.Run(4s);
  REQUIRE(fleet.store.Status());
  CHECK(fleet.store.Status()->state == verdict);
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    CHECK(fleet.StateAt(i) == verdict);
  }
}

TEST_CASE("an order that was replaced does not return with an earlier copy")
{
  // Guards against a node that follows the order before the newest one until
  // the operator has written that again.
  Fleet fleet(2);
  fleet.Order("v2");
  fleet.Run(2s);
  const auto copy = fleet.store;
  fleet.Order("v3");
  fleet.Run(2s);
  fleet.Return(copy);
  fleet.Run(1500ms);
  CHECK(fleet.nodes[0]->keeper.Book().Find(kService)->target == "v3");
  fleet.Order("v3");
  fleet.Run(2500ms);
  REQUIRE(fleet.store.Status());
  CHECK(fleet.store.Status()->target == "v3");
  CHECK(fleet.store.Status()->state == RolloutState::Running);
}

TEST_CASE("an order after an earlier copy replaces a finished roll-out")
{
  // Guards against an order that is taken for one that was carried out because
  // the store gave its revision out again.
  Fleet fleet(2);
  fleet.Order("v2");
  const auto copy = fleet.store;
  fleet.Run(2s);
  fleet.nodes[0]->Find(true);
  fleet.Run(2s);
  REQUIRE(fleet.store.Status()->state == RolloutState::RolledBack);
  fleet.Return(copy);
  fleet.Run(2500ms);
  REQUIRE(fleet.store.Status()->state == RolloutState::RolledBack);
  fleet.Order("v3");
  fleet.Run(2500ms);
  CHECK(fleet.store.Status()->target == "v3");
  CHECK(fleet.store.Status()->state == RolloutState::Running);
}
