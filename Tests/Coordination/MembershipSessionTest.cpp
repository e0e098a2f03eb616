#include "Tests/Coordination/Session.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::tests;
using namespace std::chrono_literals;

namespace {

constexpr const char* kText = R"([service gateway]
entry = yes
depends = lounges, visits
[service lounges]
depends = visits
[service visits]
)";

/// Nodes of three services in each data centre.
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
  aSession.Accept(kText);
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

TEST_CASE("a fleet that starts at once settles without an operator")
{
  Session session(1);
  AddFleet(session, { "a", "b", "c" }, 6);
  session.StartAll();
  const auto time = session.RunUntil([&] { return IsJoined(session); }, 20s);
  session.NoteViews();
  UNSCOPED_INFO(session.Transcript());
  REQUIRE(time);
  CAPTURE(time->count());
  CHECK(session.Relays().size() >= 9);
}

TEST_CASE("views agree after random losses, pauses, restarts and cuts")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Session session(seed);
    coordination::RandomSource random(seed * 1000);
    AddFleet(session, { "a", "b", "c" }, 8, true);
    session.StartAll();
    session.lossPercent = 10;
    session.doublePercent = 10;
    session.latePercent = 20;
    session.Run(10s);
    const auto names = session.Names();
    std::set<std::string> killed;
    for (unsigned i = 0; i < 40; ++i) {
      const auto& name = names[random.Below(names.size())];
      auto& node = session.At(name);
      switch (random.Below(8)) {
        case 0:
          session.Note("kill " + name);
          session.Kill(name);
          break;
        case 1:
          session.Note("pause " + name);
          session.Pause(name);
          break;
        case 2:
          session.Note("cut " + name.substr(0, 1));
          session.isCut = [side = name[0]](const std::string& aFrom,
                                           const std::string& aTo) {
            return (aFrom[0] == side) != (aTo[0] == side);
          };
          break;
        case 3:
          session.Note("uncut");
          session.isCut = nullptr;
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
    session.isCut = nullptr;
    session.lossPercent = 0;
    session.latePercent = 0;
    session.doublePercent = 0;
    for (const auto& name : names) {
      if (session.At(name).core == nullptr) {
        session.Start(name);
      }
      session.Resume(name);
    }
    session.Note("healed");
    const auto time = session.RunUntil([&] { return IsJoined(session); }, 60s);
    session.NoteViews();
    UNSCOPED_INFO(session.Transcript());
    CAPTURE(seed);
    REQUIRE(time);
  }
}
