#include "State/VersionGate.h"

#include <catch2/catch.hpp>

using namespace teaselhold::state;

TEST_CASE("an older or equal version is never held or put in force")
{
  VersionGate gate;
  gate.RaiseFloor(0);
  REQUIRE(gate.Hold(5, 50));
  REQUIRE(gate.Activate(5));
  CHECK(gate.Judge(4, 40) == VersionOffer::Older);
  CHECK(gate.Judge(5, 50) == VersionOffer::Same);
  CHECK(gate.Judge(5, 51) == VersionOffer::Conflicting);
  CHECK(gate.Judge(6, 60) == VersionOffer::Newer);
  CHECK_FALSE(gate.Hold(4, 40));
  CHECK_FALSE(gate.Activate(5));
  CHECK_FALSE(gate.Activate(6));
  CHECK(gate.OlderOffers() == 1);
  CHECK(gate.Active() == 5);
}

TEST_CASE("a restarted process activates nothing below its floor")
{
  VersionGate gate;
  REQUIRE(gate.Hold(5, 50));
  CHECK_FALSE(gate.MayActivate(5));
  gate.RaiseFloor(6);
  CHECK_FALSE(gate.IsSettled());
  CHECK_FALSE(gate.Activate(5));
  REQUIRE(gate.Hold(6, 60));
  CHECK(gate.IsSettled());
  CHECK(gate.Activate(6));
  gate.RaiseFloor(2);
  CHECK(gate.Floor() == 6);
}
