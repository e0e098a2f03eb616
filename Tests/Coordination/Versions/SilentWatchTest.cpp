#include "Tests/Coordination/DirectFleet.h"
#include "Tests/Coordination/FleetTexts.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace teaselhold::tests;
using namespace std::chrono_literals;

// Guards against versions that come late because nobody notices that watches of
// the store wait on connections that are silent for good.

namespace {

/// The shortest bound of all deployments.
constexpr state::Duration kBound = 2s;
constexpr unsigned kFirstVersion = 4;
/// Nodes are judged from 3 s after the connections went silent, so a version
/// that is written this long after it has the whole bound.
constexpr state::Duration kSilence = 1s;

std::string
MakeVersionText(bool aIsLarge, unsigned aVersion)
{
  return aIsLarge ? MakeText(aVersion) : MakeSmallText(aVersion);
}

/// A fleet whose watches go silent before each version.
class SilencedFleet : public DirectFleet
{
public:
  SilencedFleet(std::size_t aNodes, bool aIsLarge, unsigned aSeed)
    : DirectFleet(aNodes,
                  kBound,
                  aSeed,
                  kFirstVersion,
                  MakeVersionText(aIsLarge, kFirstVersion))
    , isLarge_(aIsLarge)
  {
  }

  /// @param aDelay added to the time from the silence to the version.
  void WriteAfterSilence(double aShare, state::Duration aDelay)
  {
    SilenceWatches(aShare);
    Run(kSilence + aDelay);
    WriteNext();
    Run(4s);
  }

  void WriteNext()
  {
    version_ += 2;
    WriteVersion(version_, MakeVersionText(isLarge_, version_));
  }

private:
  bool isLarge_;
  unsigned version_ = kFirstVersion;
};

} // namespace

TEST_CASE("versions are in time although the watches of all nodes are silent")
{
  const std::size_t nodes = GENERATE(10, 82);
  const bool isLarge = GENERATE(true, false);
  CAPTURE(nodes, isLarge);
  SilencedFleet fleet(nodes, isLarge, GENERATE(1U, 2U, 3U));
  fleet.StartTraffic();
  fleet.Run(12s);
  for (const auto delay : { 0ms, 70ms, 310ms, 640ms, 1300ms, 2900ms }) {
    fleet.WriteAfterSilence(1.0, delay);
  }
  CHECK(fleet.WorstLag() < kBound);
}

TEST_CASE("nodes without requests have versions in time on silent watches")
{
  const std::size_t nodes = GENERATE(10, 82);
  const auto share = GENERATE(0.5, 1.0);
  CAPTURE(nodes, share);
  SilencedFleet fleet(nodes, false, GENERATE(1U, 2U, 3U));
  fleet.Run(12s);
  for (const auto delay : { 0ms, 70ms, 310ms, 640ms, 1300ms, 2900ms }) {
    fleet.WriteAfterSilence(share, delay);
  }
  CHECK(fleet.WorstLag() < kBound);
}

TEST_CASE("a version that came in another way ends the silence of a watch")
{
  // Without it, versions are late again until the watches end after 27 s.
  const bool isLarge = GENERATE(true, false);
  CAPTURE(isLarge);
  SilencedFleet fleet(10, isLarge, GENERATE(1U, 2U, 3U));
  fleet.StartTraffic();
  fleet.Run(12s);
  fleet.WriteAfterSilence(1.0, 0ms);
  CHECK(fleet.SilentWatches() == 0);
}

TEST_CASE("nodes that checked for the same version spread their next checks")
{
  SilencedFleet fleet(GENERATE(10, 82), false, GENERATE(1U, 2U, 3U));
  fleet.StartTraffic();
  fleet.Run(12s);
  fleet.WriteAfterSilence(1.0, 0ms);
  for (unsigned i = 0; i < 10; ++i) {
    fleet.ResetCounts();
    fleet.Run(kBound);
    CHECK(fleet.Counts().polls > 0);
  }
}

TEST_CASE(
  "a version just after the loss of the nodes that check first is in time",
  "[known-red]")
{
  const std::size_t nodes = GENERATE(10, 82);
  const bool hasTraffic = GENERATE(true, false);
  const auto killedShare = GENERATE(0.05, 0.5, 0.8);
  const auto delay = GENERATE(200ms, 510ms, 1500ms);
  CAPTURE(nodes, hasTraffic, killedShare, delay.count());
  SilencedFleet fleet(nodes, false, GENERATE(range(1U, 7U)));
  if (hasTraffic) {
    fleet.StartTraffic();
  }
  fleet.Run(12s);
  fleet.SilenceWatches(1.0);
  fleet.Run(kSilence);
  const auto readers = 4.0 / static_cast<double>(nodes);
  fleet.KillShareWithReaders(std::max(killedShare, readers));
  fleet.Run(delay);
  fleet.WriteNext();
  fleet.Run(5s);
  CHECK(fleet.WorstLag() < kBound);
}
