#include "Coordination/UpstreamRegistry.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;
using enum AnnouncementVerdict;
using state::EndpointState;

namespace {

constexpr state::Duration kDrainLimit = 1500ms;

state::UpstreamAnnouncement
Announcement(const std::string& aId,
             std::uint64_t aBorn,
             std::uint64_t aSequence,
             EndpointState aState = EndpointState::Ready)
{
  state::UpstreamAnnouncement message;
  message.upstream = { aId, aBorn, aSequence, 12 };
  message.service = "visits";
  message.address = "10.0.0.1:80";
  message.state = aState;
  return message;
}

UpstreamRegistry
MakeRegistry()
{
  UpstreamRegistry registry("visits", "10.0.0.1:80", kDrainLimit);
  registry.Restore({}, true, 0s);
  return registry;
}

} // namespace

TEST_CASE("an upstream that leaves never becomes ready again")
{
  auto registry = MakeRegistry();
  CHECK(registry.Announce(Announcement("a", 100, 1), 1s) == Taken);
  CHECK(registry.State() == EndpointState::Ready);
  CHECK(registry.Announce(Announcement("a", 100, 3, EndpointState::Draining),
                          2s) == Taken);
  CHECK(registry.State() == EndpointState::Draining);
  // A late announcement from before the departure.
  CHECK(registry.Announce(Announcement("a", 100, 2), 2s) == Stale);
  registry.Announce(Announcement("a", 100, 4), 2s);
  CHECK(registry.State() == EndpointState::Draining);
  registry.Tick(2s + kDrainLimit);
  CHECK(registry.State() == EndpointState::Gone);
}

TEST_CASE("an upstream that deregisters without announcing a drain is leaving")
{
  auto registry = MakeRegistry();
  registry.Announce(Announcement("a", 100, 1), 1s);
  CHECK(registry.Depart({ "a", 100 }, 2s) == Taken);
  CHECK(registry.State() == EndpointState::Draining);
  registry.Announce(Announcement("a", 100, 2), 3s);
  CHECK(registry.State() == EndpointState::Draining);
}

TEST_CASE("a late message of an ended run does not replace the new run")
{
  auto registry = MakeRegistry();
  registry.Announce(Announcement("new", 200, 1), 1s);
  CHECK(registry.Announce(Announcement("old", 100, 9), 2s) == Stale);
  CHECK(registry.Depart({ "old", 100 }, 2s) == Stale);
  CHECK(registry.Upstream().id == "new");
  CHECK(registry.State() == EndpointState::Ready);
}

TEST_CASE("a process that starts again under its id is a new run")
{
  auto registry = MakeRegistry();
  registry.Announce(Announcement("a", 100, 40), 1s);
  registry.Depart({ "a", 100 }, 2s);
  CHECK(registry.Announce(Announcement("a", 300, 1), 3s) == Taken);
  CHECK(registry.State() == EndpointState::Ready);
}

TEST_CASE("a wall clock that was set back does not exclude a live upstream")
{
  auto registry = MakeRegistry();
  registry.Announce(Announcement("before", 9000, 1), 1s);
  CHECK(registry.Announce(Announcement("after", 5000, 1), 5s) == Stale);
  CHECK(registry.Announce(Announcement("after", 5000, 2), 6s) == Taken);
  CHECK(registry.Upstream().id == "after");
}

TEST_CASE("a restarted node does not forget that its upstream is leaving")
{
  UpstreamRegistry registry("visits", "10.0.0.1:80", kDrainLimit);
  // A late announcement from before the departure arrives first.
  registry.Announce(Announcement("a", 100, 2), 1s);
  CHECK(registry.State() == EndpointState::Starting);
  registry.Restore({ { "a", 100, 3, 12 } }, true, 2s);
  CHECK(registry.State() == EndpointState::Gone);
  registry.Announce(Announcement("a", 100, 5), 3s);
  CHECK(registry.State() == EndpointState::Gone);
  registry.Announce(Announcement("b", 200, 1), 4s);
  CHECK(registry.State() == EndpointState::Ready);
}

TEST_CASE("a departure that becomes known late ends the use of its upstream")
{
  // Guards against a restarted node that uses an upstream that had left,
  // because the store answered it only after the first announcement.
  UpstreamRegistry registry("visits", "10.0.0.1:80", kDrainLimit);
  registry.Restore({}, false, 1s);
  registry.Announce(Announcement("a", 100, 2), 2s);
  registry.Announce(Announcement("a", 100, 3), 4s);
  CHECK(registry.State() == EndpointState::Ready);
  registry.Restore({ { "a", 100, 0, 0 } }, true, 5s);
  CHECK(registry.State() == EndpointState::Gone);
  registry.Announce(Announcement("a", 100, 4), 6s);
  CHECK(registry.State() == EndpointState::Gone);
}

TEST_CASE("a single announcement is no proof while departures may be unknown")
{
  // Guards against a late announcement of a run that left, which a restarted
  // node gets while the store does not answer.
  UpstreamRegistry registry("visits", "10.0.0.1:80", kDrainLimit);
  registry.Restore({}, false, 3s);
  registry.Announce(Announcement("a", 100, 5), 4s);
  CHECK(registry.State() == EndpointState::Starting);
  SECTION("a second one is")
  {
    registry.Announce(Announcement("a", 100, 6), 5s);
    CHECK(registry.State() == EndpointState::Ready);
  }
  SECTION("so is the word of the store that it knows no departure")
  {
    registry.Restore({}, true, 5s);
    CHECK(registry.State() == EndpointState::Ready);
  }
  SECTION("announcements that were held up together are not")
  {
    registry.Announce(Announcement("a", 100, 6), 4s);
    registry.Announce(Announcement("a", 100, 7), 4s + 10ms);
    CHECK(registry.State() == EndpointState::Starting);
  }
}

TEST_CASE("each departure that a message tells has to be saved once")
{
  // Guards against a late departure of an earlier run that is acknowledged but
  // forgotten by a restart.
  auto registry = MakeRegistry();
  registry.Announce(Announcement("old", 100, 1), 1s);
  registry.Announce(Announcement("new", 200, 1), 2s);
  CHECK(registry.TakeDepartures().empty());
  registry.Depart({ "old", 100 }, 3s);
  auto told = registry.TakeDepartures();
  REQUIRE(told.size() == 1);
  CHECK(told[0].id == "old");
  registry.Depart({ "old", 100 }, 4s);
  CHECK(registry.TakeDepartures().empty());
  registry.Depart({ "new", 200 }, 5s);
  CHECK(registry.TakeDepartures().size() == 1);
}

TEST_CASE("messages for another service or address are rejected as foreign")
{
  auto registry = MakeRegistry();
  auto foreign = Announcement("a", 100, 1);
  foreign.service = "lounges";
  CHECK(registry.Announce(foreign, 1s) == Foreign);
  foreign = Announcement("a", 100, 1);
  foreign.address = "10.0.0.2:80";
  CHECK(registry.Announce(foreign, 1s) == Foreign);
  CHECK(registry.State() == EndpointState::Starting);
}

TEST_CASE("an unreachable upstream is not ready until its next announcement")
{
  auto registry = MakeRegistry();
  registry.Announce(Announcement("a", 100, 1), 1s);
  CHECK(registry.TakeChanged());
  registry.MarkUnreachable();
  CHECK(registry.State() == EndpointState::Starting);
  CHECK(registry.TakeChanged());
  CHECK_FALSE(registry.TakeChanged());
  registry.Announce(Announcement("a", 100, 2), 2s);
  CHECK(registry.State() == EndpointState::Ready);
}

TEST_CASE(
  "a departure without a start time applies to a run that is announced later")
{
  // Guards against a departed upstream that becomes ready again: its departure
  // reaches a restarted node that has no record of it, and a late announcement
  // follows.
  auto registry = MakeRegistry();
  CHECK(registry.Depart({ "a", std::nullopt }, 1s) == Taken);
  CHECK(registry.State() == EndpointState::Draining);
  registry.Announce(Announcement("a", 100, 18), 3s);
  CHECK(registry.State() == EndpointState::Draining);
  CHECK(registry.Upstream().bornMilliseconds == 100);
  registry.Announce(Announcement("a", 100, 19), 4s);
  CHECK(registry.State() == EndpointState::Draining);
  registry.Tick(4s);
  CHECK(registry.State() == EndpointState::Gone);
}

TEST_CASE("a departure without a start time does not apply to the next run")
{
  auto registry = MakeRegistry();
  registry.Depart({ "a", std::nullopt }, 1s);
  SECTION("under another id")
  {
    registry.Announce(Announcement("b", 100, 1), 2s);
    CHECK(registry.State() == EndpointState::Ready);
  }
  SECTION("under the same id, with sequence numbers that start again")
  {
    registry.Announce(Announcement("a", 300, 1), 2s);
    CHECK(registry.State() == EndpointState::Ready);
  }
  SECTION("long after the end of the run that left")
  {
    registry.Announce(Announcement("a", 300, 90), 60s);
    CHECK(registry.State() == EndpointState::Ready);
  }
}

TEST_CASE("a departure without a start time does not affect another known run")
{
  auto registry = MakeRegistry();
  registry.Announce(Announcement("b", 200, 4), 1s);
  CHECK(registry.Depart({ "a", std::nullopt }, 2s) == Stale);
  CHECK(registry.State() == EndpointState::Ready);
  // A late announcement of the departed run has an earlier start time.
  CHECK(registry.Announce(Announcement("a", 100, 18), 3s) == Stale);
  CHECK(registry.Upstream().id == "b");
}

TEST_CASE(
  "a restored departure without a start time keeps the run from being ready")
{
  UpstreamRegistry registry("visits", "10.0.0.1:80", kDrainLimit);
  registry.Restore({ { "a", 0, 0, 12 } }, true, 1s);
  registry.Announce(Announcement("a", 100, 18), 2s);
  CHECK(registry.State() != EndpointState::Ready);
}
