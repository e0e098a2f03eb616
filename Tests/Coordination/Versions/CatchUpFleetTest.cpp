#include "Tests/Coordination/DirectFleet.h"
#include "Tests/Coordination/FleetTexts.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace teaselhold::tests;
using namespace std::chrono_literals;
using StoreFault = DirectFleet::StoreFault;

// Guards against a node that stays behind although others tell it so.

namespace {

constexpr std::size_t kNodes = 82;
/// The shortest bound of all deployments.
constexpr state::Duration kBound = 2s;
constexpr unsigned kFirstVersion = 4;

std::string
MakeVersionText(bool aIsLarge, unsigned aVersion)
{
  return aIsLarge ? MakeText(aVersion) : MakeSmallText(aVersion);
}

/// A fleet whose nodes hear from each other.
class HearingFleet : public DirectFleet
{
public:
  HearingFleet(bool aIsLarge, unsigned aSeed)
    : DirectFleet(kNodes,
                  kBound,
                  aSeed,
                  kFirstVersion,
                  MakeVersionText(aIsLarge, kFirstVersion))
    , isLarge_(aIsLarge)
  {
    StartTraffic();
    Run(12s);
  }

  /// Writes versions one after the other.
  void WriteVersions(unsigned aCount, state::Duration aGap)
  {
    for (unsigned i = 0; i < aCount; ++i) {
      version_ += 2;
      WriteVersion(version_, MakeVersionText(isLarge_, version_));
      Run(aGap);
    }
  }

  /// The versions that follow are of the other size.
  void CrossSize() { isLarge_ = !isLarge_; }

private:
  bool isLarge_;
  unsigned version_ = kFirstVersion;
};

} // namespace

TEST_CASE("a node without answers to its watches keeps up with quick versions")
{
  const bool isLarge = GENERATE(true, false);
  const auto gap = GENERATE(400ms, 1050ms);
  const bool isReader = GENERATE(false, true);
  CAPTURE(isLarge, gap.count(), isReader);
  HearingFleet fleet(isLarge, GENERATE(1U, 2U, 3U));
  fleet.HarmStore(StoreFault::WatchesLost, isReader);
  fleet.WriteVersions(12, gap);
  fleet.Run(3s);
  CHECK(fleet.WorstLag() < kBound);
}

TEST_CASE("a node that the store does not answer has versions in time")
{
  const bool isLarge = GENERATE(true, false);
  const bool isReader = GENERATE(false, true);
  CAPTURE(isLarge, isReader);
  HearingFleet fleet(isLarge, GENERATE(1U, 2U, 3U));
  fleet.HarmStore(StoreFault::Lost, isReader);
  fleet.Run(4s);
  fleet.WriteVersions(6, 1050ms);
  fleet.Run(3s);
  CHECK(fleet.WorstLag() < kBound);
}

TEST_CASE("a node that the store answers too late has versions in time")
{
  const bool isLarge = GENERATE(true, false);
  const bool isReader = GENERATE(false, true);
  CAPTURE(isLarge, isReader);
  HearingFleet fleet(isLarge, GENERATE(1U, 2U, 3U));
  fleet.HarmStore(StoreFault::Late, isReader);
  fleet.Run(4s);
  fleet.WriteVersions(8, 1050ms);
  fleet.Run(3s);
  CHECK(fleet.WorstLag() < kBound);
}

TEST_CASE("a node that resumes without the store has versions in time")
{
  const bool isLarge = GENERATE(true, false);
  const auto fault = GENERATE(StoreFault::WatchesLost, StoreFault::Lost);
  CAPTURE(isLarge, static_cast<int>(fault));
  HearingFleet fleet(isLarge, GENERATE(1U, 2U, 3U));
  fleet.Suspend(5s);
  fleet.HarmStore(fault, false);
  fleet.WriteVersions(12, 1050ms);
  fleet.Run(3s);
  CHECK(fleet.WorstLag() < kBound);
}

TEST_CASE("a node without answers to its watches keeps up as readers are lost")
{
  const auto wait = GENERATE(0ms, 700ms);
  CAPTURE(wait.count());
  HearingFleet fleet(true, GENERATE(1U, 2U, 3U));
  fleet.HarmStore(StoreFault::WatchesLost, false);
  fleet.WriteVersions(2, 1050ms);
  REQUIRE(fleet.KillReaders() == 4);
  fleet.Run(wait);
  fleet.WriteVersions(8, 1050ms);
  fleet.Run(3s);
  CHECK(fleet.WorstLag() < kBound);
}

TEST_CASE("a node without answers to its watches keeps up as sizes change")
{
  // A version of the other size changes what it watches.
  const bool isLarge = GENERATE(true, false);
  CAPTURE(isLarge);
  HearingFleet fleet(isLarge, GENERATE(1U, 2U, 3U));
  fleet.HarmStore(StoreFault::WatchesLost, false);
  for (unsigned i = 0; i < 4; ++i) {
    fleet.WriteVersions(2, 1050ms);
    fleet.CrossSize();
  }
  fleet.Run(3s);
  CHECK(fleet.WorstLag() < kBound);
}
