#include "DirectFleet.h"
#include "FleetTexts.h"
#include "Protocol/Configurations/ConfigurationEncoding.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace teaselhold::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kNodes = 195;
/// The shortest bound of all deployments.
constexpr state::Duration kBound = 2s;

void
Write(DirectFleet& aFleet, unsigned aVersion)
{
  aFleet.WriteVersion(aVersion, MakeText(aVersion));
}

/// An encoded configuration of 800 routes, as the smaller of the grown
/// deployments have; one of them differs by version.
std::string
MakeEncodedText(unsigned aVersion)
{
  constexpr unsigned kRoutes = 800;
  protocol::ConfigurationParts parts;
  parts.services.push_back({ "visits", {}, true });
  for (unsigned i = 0; i < kRoutes; ++i) {
    state::RouteSpec route;
    route.name = "r-" + std::to_string(1000000 + i);
    route.method = state::kAnyMethod;
    route.pathPrefix = "/pufi" + std::to_string(i) + "/";
    route.service = "visits";
    route.isIdempotent = true;
    route.timeout = std::chrono::milliseconds(1500 + (i == 0 ? aVersion : 0));
    route.host = "ficu95.example";
    route.latencyObjective = 500ms;
    route.maxAttempts = 2;
    route.priority = 1;
    parts.routes.push_back(route);
  }
  return protocol::EncodeConfiguration(parts);
}

} // namespace

TEST_CASE("the first change after the start of a fleet is in force in time")
{
  // Guards against readers whose watch of the configuration is queued for 25 s
  // behind their own watch of the changes.
  DirectFleet fleet(kNodes, kBound, GENERATE(1U, 2U, 3U), 4, MakeText(4));
  const auto wait = GENERATE(500ms, 2152ms, 4s, 12s);
  CAPTURE(wait.count());
  fleet.Run(wait);
  Write(fleet, 6);
  fleet.Run(6s);
  // Until this time no node knows the selected readers.
  constexpr auto kReadersKnownTime = 3500ms;
  CHECK(fleet.WorstLag() <
        std::max<state::Duration>(1s, kReadersKnownTime - wait));
}

TEST_CASE("versions in quick succession are in force in time everywhere")
{
  // Guards against readers that skip different versions and write changes that
  // no other node can apply, so that all nodes read the full configuration.
  const state::Duration bound = GENERATE(2000ms, 3000ms);
  DirectFleet fleet(kNodes, bound, GENERATE(1U, 2U, 3U), 4, MakeText(4));
  fleet.Run(12s);
  Write(fleet, 6);
  fleet.Run(4s);
  fleet.ResetCounts();
  for (unsigned i = 0; i < 22; ++i) {
    Write(fleet, 8 + 2 * i);
    fleet.Run(230ms);
  }
  fleet.Run(3s);
  CAPTURE(fleet.Counts().watches, fleet.Counts().fullReads);
  CHECK(fleet.WorstLag() < bound);
  // Full reads come from the readers and from nodes that happen to poll.
  CHECK(fleet.Counts().fullReads < 100);
  CHECK(fleet.Counts().watches < 22 * kNodes);
}

TEST_CASE("versions are in force in time after all readers are killed")
{
  // Guards against new readers whose watch of the configuration is queued
  // behind their watch of the changes.
  DirectFleet fleet(kNodes, kBound, GENERATE(1U, 2U, 3U), 4, MakeText(4));
  fleet.Run(12s);
  Write(fleet, 6);
  fleet.Run(4s);
  REQUIRE(fleet.KillReaders() == 4);
  fleet.Run(20s);
  for (unsigned i = 0; i < 5; ++i) {
    Write(fleet, 8 + 2 * i);
    fleet.Run(3s);
  }
  CHECK(fleet.WorstLag() < kBound);
}

TEST_CASE("a version just after the loss of all readers is in force in time")
{
  // Guards against nodes that follow a log that nobody writes any more, until
  // the leases of the killed readers have expired or one of them polls.
  const std::size_t nodes = GENERATE(9U, 20U, kNodes);
  const bool hasTraffic = GENERATE(true, false);
  DirectFleet fleet(nodes, kBound, GENERATE(1U, 2U, 3U), 4, MakeText(4));
  if (hasTraffic) {
    fleet.StartTraffic();
  }
  fleet.Run(12s);
  Write(fleet, 6);
  fleet.Run(4s);
  const auto wait = GENERATE(0ms, 100ms, 700ms);
  CAPTURE(nodes, hasTraffic, wait.count());
  constexpr double kKilledShare = 0.55;
  fleet.KillShareWithReaders(kKilledShare);
  fleet.Run(wait);
  Write(fleet, 8);
  fleet.Run(1s);
  Write(fleet, 10);
  fleet.Run(5s);
  CHECK(fleet.WorstLag() < kBound);
}

TEST_CASE("followers notice the loss of all readers although the connections "
          "of their questions are silent")
{
  // Guards against versions that wait for the end of a question that is held
  // back for 10 s at a reader that is gone.
  const std::size_t nodes = GENERATE(9U, 20U, kNodes);
  const bool hasTraffic = GENERATE(true, false);
  DirectFleet fleet(nodes, kBound, GENERATE(1U, 2U, 3U), 4, MakeText(4));
  if (hasTraffic) {
    fleet.StartTraffic();
  }
  fleet.Run(12s);
  Write(fleet, 6);
  fleet.Run(4s);
  const auto wait = GENERATE(0ms, 700ms);
  CAPTURE(nodes, hasTraffic, wait.count());
  fleet.SilenceReaderQuestions();
  // Machines are judged 3 s after their connections went silent.
  fleet.Run(3200ms);
  REQUIRE(fleet.KillReaders() > 0);
  fleet.Run(wait);
  Write(fleet, 8);
  fleet.Run(1s);
  Write(fleet, 10);
  fleet.Run(5s);
  CHECK(fleet.WorstLag() < kBound);
}

TEST_CASE("substitutes of the readers keep few nodes reading")
{
  // Guards against a loss of the readers after which every node reads the whole
  // configuration.
  DirectFleet fleet(kNodes, kBound, GENERATE(1U, 2U, 3U), 4, MakeText(4));
  fleet.Run(12s);
  Write(fleet, 6);
  fleet.Run(4s);
  fleet.KillShareWithReaders(0.55);
  fleet.ResetCounts();
  fleet.Run(2s);
  Write(fleet, 8);
  fleet.Run(4s);
  CHECK(fleet.Counts().fullReads < 20);
  CHECK(fleet.WorstLag() < kBound);
}

TEST_CASE("versions are in force in time when their size crosses the limit")
{
  // Guards against followers of a large configuration that nobody tells of the
  // version that makes it small again, and against small fleets, in which a
  // data centre may have no reader.
  const std::size_t nodes = GENERATE(9U, kNodes);
  DirectFleet fleet(nodes, kBound, GENERATE(1U, 2U, 3U), 4, MakeText(4));
  fleet.Run(12s);
  for (unsigned version = 6; version < 26; version += 4) {
    fleet.WriteVersion(version, MakeSmallText(version));
    fleet.Run(5s);
    Write(fleet, version + 2);
    fleet.Run(5s);
  }
  CHECK(fleet.WorstLag() < kBound);
}

TEST_CASE("quick versions on both sides of the limit are in force in time")
{
  // Guards against a reader that merges the change to a small version into the
  // one that makes the configuration large again, or skips it.
  DirectFleet fleet(kNodes, kBound, GENERATE(1U, 2U, 3U), 4, MakeText(4));
  fleet.Run(12s);
  for (unsigned version = 6; version < 46; version += 4) {
    fleet.WriteVersion(version, MakeSmallText(version));
    fleet.Run(330ms);
    Write(fleet, version + 2);
    fleet.Run(270ms);
  }
  fleet.WriteVersion(50, MakeSmallText(50));
  fleet.Run(5s);
  CHECK(fleet.WorstLag() < kBound);
}

TEST_CASE("nodes that hear from each other share the polls for missed versions")
{
  // Guards against a store that gets a full-price poll from every node each
  // 4 s, and against nodes that stay on an old version because they poll
  // rarely. No watch reports the change here.
  DirectFleet fleet(kNodes, 3s, GENERATE(1U, 2U, 3U), 4, MakeSmallText(4));
  const bool hasTraffic = GENERATE(true, false);
  if (hasTraffic) {
    fleet.StartTraffic();
  }
  fleet.Run(20s);
  fleet.ResetCounts();
  fleet.Run(8s);
  CHECK((fleet.Counts().polls < kNodes / 5) == hasTraffic);
  fleet.WriteUnseenVersion(6, MakeSmallText(6));
  fleet.Run(8s);
  // docs/platform.md: a node that polls for itself finds a missed version after
  // at most 5 s; it then reads and compiles it.
  CHECK(fleet.WorstLag() < (hasTraffic ? 5000ms : 5500ms));
}

TEST_CASE("versions that every watch reports are not asked for again")
{
  // Guards against nodes that ask the store for a version that another node
  // got a moment earlier.
  DirectFleet fleet(kNodes, 3s, GENERATE(1U, 2U, 3U), 4, MakeSmallText(4));
  fleet.StartTraffic();
  fleet.Run(20s);
  fleet.ResetCounts();
  for (unsigned i = 0; i < 22; ++i) {
    fleet.WriteVersion(6 + 2 * i, MakeSmallText(6 + 2 * i));
    fleet.Run(230ms);
  }
  fleet.Run(3s);
  CHECK(fleet.WorstLag() < 3s);
  CHECK(fleet.Counts().polls < kNodes / 5);
}

TEST_CASE("an encoded configuration of 800 routes is read by few nodes")
{
  // Guards against a fleet in which every node watches and reads the whole
  // configuration because its encoding is shorter than its text.
  constexpr std::size_t kSomeNodes = 60;
  // A watch of the changes by each node, and the calls of the readers.
  constexpr std::size_t kMostCalls = kSomeNodes + 20;
  DirectFleet fleet(kSomeNodes, kBound, 1, 4, MakeEncodedText(4));
  fleet.Run(12s);
  fleet.ResetCounts();
  fleet.WriteVersion(6, MakeEncodedText(6));
  fleet.Run(3s);
  CHECK(fleet.Counts().fullReads + fleet.Counts().watches < kMostCalls);
  CHECK(fleet.WorstLag() < kBound);
}
