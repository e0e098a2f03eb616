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
