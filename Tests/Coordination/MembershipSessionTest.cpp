#include "Tests/Coordination/Session.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace teaselhold;
using namespace teaselhold::tests;
using namespace std::chrono_literals;

namespace {

constexpr const char* kConfigurationText = R"([service gateway]
entry = yes
depends = lounges, visits
[service lounges]
depends = visits
[service visits]
)";

/// Adds nodes of three services in each data centre.
void
AddFleet(Session& aSession,
         const std::vector<std::string>& aDataCentres,
         unsigned aNodesEach,
         bool aIsRegionEach = false)
{
  const std::array services{ "gateway", "lounges", "visits" };
  for (const auto& dataCentre : aDataCentres) {
    for (unsigned i = 0; i < aNodesEach; ++i) {
      aSession.Add(dataCentre + std::to_string(i / 10) + std::to_string(i % 10),
                   services[i % services.size()],
                   dataCentre,
                   aIsRegionEach ? "region-" + dataCentre : "north");
    }
  }
  aSession.SetSeeds({ aDataCentres[0] + "00",
                      aDataCentres[0] + "01",
                      aDataCentres.back() + "00" });
  aSession.Accept(kConfigurationText);
}

bool
IsJoined(Session& aSession)
{
  for (const auto& name : aSession.Names()) {
    auto& node = aSession.At(name);
    if (node.core != nullptr && !node.isPaused && !node.core->Peers().isRelay &&
        !node.core->Peers().relay) {
      return false;
    }
  }
  return aSession.IsSettled();
}

} // namespace

TEST_CASE(
  "nodes that start at the same time attach and agree on the live nodes")
{
  Session session(1);
  AddFleet(session, { "a", "b", "c" }, 6);
  session.StartAll();
  const auto time = session.RunUntil([&] { return IsJoined(session); }, 20s);
  session.NotePeerStates();
  UNSCOPED_INFO(session.Transcript());
  REQUIRE(time);
  CAPTURE(time->count());
  CHECK(session.Relays().size() >= 9);
}

TEST_CASE("nodes agree after random losses, pauses, restarts and partitions",
          "[part2]")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Session session(seed);
    coordination::RandomSource random(seed * 1000);
    AddFleet(session, { "a", "b", "c" }, 8, true);
    session.StartAll();
    session.lossPercent = 10;
    session.duplicatePercent = 10;
    session.delayPercent = 20;
    session.Run(10s);
    const auto names = session.Names();
    std::set<std::string> killed;
    for (unsigned i = 0; i < 40; ++i) {
      const auto& name = names[random.NextBelow(names.size())];
      auto& node = session.At(name);
      switch (random.NextBelow(10)) {
        case 6:
          session.store.isUnavailable = !session.store.isUnavailable;
          session.Note(session.store.isUnavailable ? "store unreachable"
                                                   : "store reachable");
          break;
        case 7:
          if (!session.store.isUnavailable) {
            session.Accept(std::string(kConfigurationText) + "# " +
                           std::to_string(i) + "\n");
          }
          break;
        case 0:
          session.Note("kill " + name);
          session.Kill(name);
          break;
        case 1:
          session.Note("pause " + name);
          session.Pause(name);
          break;
        case 2:
          session.Note("partition " + name.substr(0, 1));
          session.isDropped = [side = name[0]](const std::string& aFrom,
                                               const std::string& aTo) {
            return (aFrom[0] == side) != (aTo[0] == side);
          };
          break;
        case 3:
          session.Note("partition healed");
          session.isDropped = nullptr;
          break;
        case 4:
          session.Note("drain " + name);
          session.SetUpstream(name, state::EndpointState::Draining);
          break;
        case 5:
          session.Note("ready " + name);
          session.SetUpstream(name, state::EndpointState::Ready);
          break;
        default:
          session.Note("start " + name);
          if (node.core == nullptr) {
            session.Start(name);
          }
          session.Resume(name);
          break;
      }
      session.Run(random.Between(100ms, 12s));
    }
    session.isDropped = nullptr;
    session.store.isUnavailable = false;
    session.lossPercent = 0;
    session.delayPercent = 0;
    session.duplicatePercent = 0;
    for (const auto& name : names) {
      if (session.At(name).core == nullptr) {
        session.Start(name);
      }
      session.Resume(name);
    }
    session.Note("all faults cleared");
    const auto time = session.RunUntil([&] { return IsJoined(session); }, 60s);
    session.NotePeerStates();
    UNSCOPED_INFO(session.Transcript());
    CAPTURE(seed);
    REQUIRE(time);
    REQUIRE(session.reversions.empty());
  }
}

namespace {

/// Starts a fleet of three data centres and waits until it has settled.
void
StartSettledFleet(Session& aSession,
                  unsigned aNodesEach,
                  bool aIsRegionEach = false)
{
  AddFleet(aSession, { "a", "b", "c" }, aNodesEach, aIsRegionEach);
  aSession.StartAll();
  const auto time = aSession.RunUntil([&] { return IsJoined(aSession); }, 30s);
  UNSCOPED_INFO(aSession.Transcript());
  REQUIRE(time);
  aSession.Run(5s);
}

/// Returns the first node that is attached to a relay.
std::string
FirstLeaf(Session& aSession)
{
  for (const auto& name : aSession.Names()) {
    if (aSession.At(name).core->Peers().relay) {
      return name;
    }
  }
  return "";
}

} // namespace

TEST_CASE("despite losses, no node sees a draining upstream as ready after 2 s")
{
  Session session(3);
  StartSettledFleet(session, 12);
  session.lossPercent = 10;
  for (const auto& name : { FirstLeaf(session), session.Relays().back() }) {
    session.Note("drain " + name);
    session.SetUpstream(name, state::EndpointState::Draining);
    const auto draining =
      session.RunUntil([&] { return session.IsSettled(); }, 2s);
    session.Note("gone " + name);
    session.SetUpstream(name, state::EndpointState::Gone);
    session.Run(50ms);
    session.Kill(name);
    const auto gone = session.RunUntil([&] { return session.IsSettled(); }, 2s);
    session.Run(10s);
    session.NotePeerStates();
    UNSCOPED_INFO(session.Transcript());
    REQUIRE(draining);
    REQUIRE(gone);
    CHECK(IsJoined(session));
  }
  CheckGolden("drain", session.Transcript());
}

TEST_CASE("a paused relay marks no node down when it returns")
{
  Session session(4);
  StartSettledFleet(session, 12);
  const auto leaf = FirstLeaf(session);
  const auto relay = session.At(leaf).core->Peers().relay->node;
  session.Note("pause " + relay);
  session.Pause(relay);
  const auto down = session.RunUntil([&] { return session.IsSettled(); }, 30s);
  session.Run(10s);
  session.NotePeerStates();
  session.Note("resume " + relay);
  session.Resume(relay);
  const auto back = session.RunUntil([&] { return IsJoined(session); }, 5s);
  session.Run(20s);
  session.NotePeerStates();
  UNSCOPED_INFO(session.Transcript());
  REQUIRE(down);
  REQUIRE(back);
  CHECK(session.IsSettled());
  CheckGolden("relay-paused", session.Transcript());
}

TEST_CASE("a data centre fails and returns during a store outage")
{
  Session session(5);
  StartSettledFleet(session, 12);
  session.store.isUnavailable = true;
  session.Note("store unreachable, data centre b killed");
  for (const auto& name : session.Names()) {
    if (name[0] == 'b') {
      session.Kill(name);
    }
  }
  const auto lost = session.RunUntil([&] { return session.IsSettled(); }, 30s);
  session.Run(10s);
  session.NotePeerStates();
  session.Note("data centre b returns");
  for (const auto& name : session.Names()) {
    if (name[0] == 'b') {
      session.Start(name);
    }
  }
  const auto back = session.RunUntil(
    [&] {
      return IsJoined(session) &&
             std::ranges::all_of(session.Names(), [&](const auto& aName) {
               const auto& snapshot = session.At(aName).snapshot;
               return snapshot->configuration != nullptr;
             });
    },
    30s);
  session.NotePeerStates();
  UNSCOPED_INFO(session.Transcript());
  REQUIRE(lost);
  REQUIRE(back);
  CHECK(session.reversions.empty());
  CheckGolden("data-centre-lost", session.Transcript());
}

TEST_CASE(
  "regions partitioned for an hour merge without marking each other down")
{
  Session session(6);
  StartSettledFleet(session, 6, true);
  session.Note("region a partitioned");
  session.isDropped = [](const std::string& aFrom, const std::string& aTo) {
    return (aFrom[0] == 'a') != (aTo[0] == 'a');
  };
  const auto partitioned =
    session.RunUntil([&] { return session.IsSettled(); }, 30s);
  session.Run(3600s);
  session.NotePeerStates();
  session.Note("region a reconnected");
  session.isDropped = nullptr;
  const auto healed = session.RunUntil([&] { return IsJoined(session); }, 30s);
  session.Run(20s);
  session.NotePeerStates();
  UNSCOPED_INFO(session.Transcript());
  REQUIRE(partitioned);
  REQUIRE(healed);
  CHECK(session.IsSettled());
  CheckGolden("regions-apart", session.Transcript());
}

TEST_CASE("reordered and duplicated endpoint updates leave no outdated state")
{
  Session session(7);
  StartSettledFleet(session, 9);
  session.delayPercent = 60;
  session.duplicatePercent = 50;
  const auto leaf = FirstLeaf(session);
  for (unsigned i = 0; i < 10; ++i) {
    session.SetUpstream(leaf,
                        i % 2 == 0 ? state::EndpointState::Draining
                                   : state::EndpointState::Ready);
    session.Run(70ms);
  }
  session.Note("last state of " + leaf + ": ready");
  const auto settled =
    session.RunUntil([&] { return session.IsSettled(); }, 5s);
  session.Run(10s);
  session.NotePeerStates();
  UNSCOPED_INFO(session.Transcript());
  REQUIRE(settled);
  CHECK(session.IsSettled());
  CheckGolden("crossed-updates", session.Transcript());
}

TEST_CASE("a relay that is cut off marks no other node down")
{
  Session session(9);
  StartSettledFleet(session, 12);
  const auto isolated = session.Relays().front();
  session.isDropped = [&](const std::string& aFrom, const std::string& aTo) {
    return aFrom == isolated || aTo == isolated;
  };
  session.Run(120s);
  const auto mark = isolated + ": [membership] Marked down";
  CHECK(session.Transcript().find(mark) == std::string::npos);
  session.isDropped = nullptr;
  CHECK(session.RunUntil([&] { return IsJoined(session); }, 20s));
}

TEST_CASE(
  "after all other relays fail, the last one still distributes a change")
{
  Session session(12);
  for (int i = 0; i < 6; ++i) {
    session.Add("n" + std::to_string(i), "lounges", "one");
  }
  session.SetSeeds({ "n0", "n1", "n2" });
  session.StartAll();
  session.Accept("[service lounges]\nentry = yes\n");
  REQUIRE(session.RunUntil([&] { return IsJoined(session); }, 20s));
  auto killed = session.Relays();
  REQUIRE(killed.size() >= 3);
  killed.pop_back();
  for (const auto& relay : killed) {
    session.Kill(relay);
  }
  session.Accept("[service lounges]\nentry = no\n");
  session.Run(30s);
  for (const auto& name : session.Names()) {
    CAPTURE(name);
    if (std::ranges::find(killed, name) == killed.end()) {
      CHECK(session.At(name).snapshot->configuration->GetGeneration() == 2);
    }
  }
}

TEST_CASE("a request that crashed two upstreams is quarantined on every node")
{
  Session session(10);
  StartSettledFleet(session, 9);
  session.lossPercent = 10;
  session.Post(session.Names()[1], coordination::CrashObserved{ 42 });
  session.Post(session.Names()[7], coordination::CrashObserved{ 42 });
  session.Run(3s);
  for (const auto& name : session.Names()) {
    CAPTURE(name);
    CHECK(session.At(name).snapshot->quarantined.contains(42));
  }
}

TEST_CASE("the status lists every relay and the version that nodes run")
{
  Session session(11);
  StartSettledFleet(session, 9);
  for (const auto& name : { FirstLeaf(session), session.Relays().front() }) {
    session.Post(name, coordination::StatusRequested{});
    session.Run(300ms);
    const auto status = session.At(name).core->Status();
    std::set<std::string> listed;
    for (const auto& node : status.nodes) {
      CAPTURE(name, node.node);
      CHECK(node.activeGeneration == 1);
      listed.insert(node.node);
    }
    for (const auto& relay : session.Relays()) {
      CHECK(listed.contains(relay));
    }
  }
}

TEST_CASE("a restart with a lower incarnation replaces the earlier process")
{
  Session session(12);
  StartSettledFleet(session, 9);
  const auto leaf = FirstLeaf(session);
  const auto first = session.At(leaf).core->Endpoints().Self().incarnation;
  auto& node = session.At(leaf);
  // The host's clock was set back, so the new incarnation is lower.
  node.options.identity.incarnation = 5;
  node.core = std::make_unique<coordination::RelayCore>(node.options);
  session.Post(leaf, coordination::Started{});
  session.SetUpstream(leaf, state::EndpointState::Draining);
  session.Run(3s);
  CHECK(node.core->Endpoints().Self().incarnation > first);
  CHECK(session.IsSettled());
}

TEST_CASE("control traffic of an idle fleet", "[.measure][part4]")
{
  for (const unsigned nodesEach : { 10U, 33U, 100U }) {
    Session session(8);
    AddFleet(session, { "a", "b", "c" }, nodesEach);
    session.StartAll();
    session.RunUntil([&] { return IsJoined(session); }, 60s);
    session.Run(60s);
    const auto total = [&] {
      std::pair<std::uint64_t, std::uint64_t> sum;
      for (const auto& name : session.Names()) {
        sum.first += session.At(name).bytes;
        sum.second += session.At(name).messages;
      }
      return sum;
    };
    const auto before = total();
    session.Run(60s);
    const auto quiet = total();
    const auto nodes = session.Names().size();
    for (const auto& name : session.Names()) {
      if (name[0] == 'c') {
        session.Kill(name);
      }
    }
    const auto lost =
      session.RunUntil([&] { return session.IsSettled(); }, 60s);
    const auto after = total();
    WARN("nodes " << nodes << " relays " << session.Relays().size()
                  << " idle bytes/node/s "
                  << (quiet.first - before.first) / 60 / nodes
                  << "; one third lost: messages "
                  << after.second - quiet.second << " bytes "
                  << after.first - quiet.first << " settled ms "
                  << (lost ? lost->count() / 1000 : -1));
  }
}
