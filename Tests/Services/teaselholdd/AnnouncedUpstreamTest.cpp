#include "Services/teaselholdd/AnnouncedUpstream.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace teaselhold;
using namespace teaselhold::daemon;

namespace {

Settings
MakeSettings()
{
  Settings settings;
  settings.nodeName = "one";
  settings.service = "visits";
  settings.upstreamAddress = "127.0.0.1:9001";
  settings.upstreamDrain = 2s;
  return settings;
}

/// An upstream whose messages are queued by the test instead of being decoded.
struct Fixture
{
  void Serve(protocol::UpstreamMessage aMessage)
  {
    next = std::move(aMessage);
    boost::asio::co_spawn(
      context,
      [this]() -> Awaitable<void> { co_await upstream.Serve(Request()); },
      boost::asio::detached);
    context.restart();
    context.run_for(50ms);
  }

  Settings settings = MakeSettings();
  boost::asio::io_context context;
  std::vector<coordination::UpstreamDeparted> departures;
  DepartureSaver saver{ context,
                        [this](coordination::UpstreamDeparted aDeparture) {
                          departures.push_back(std::move(aDeparture));
                        } };
  Clock clock;
  DepartureReplicator replicator{ context, settings, 1, saver };
  protocol::UpstreamMessage next;
  std::vector<coordination::UpstreamChanged> changes;
  std::shared_ptr<AdmissionQueue> admission = std::make_shared<AdmissionQueue>(
    context,
    clock,
    coordination::AdmissionOptions{ 4, 4, false, false });
  AnnouncedUpstream upstream{ context,
                              settings,
                              clock,
                              [this](auto, auto, auto) { return next; },
                              admission,
                              saver,
                              replicator,
                              [this](coordination::UpstreamChanged aChange) {
                                changes.push_back(std::move(aChange));
                              } };
};

state::UpstreamAnnouncement
MakeAnnouncement(std::uint64_t aSequence)
{
  state::UpstreamAnnouncement announcement;
  announcement.upstream.id = "i-1";
  announcement.upstream.bornMilliseconds = 1000;
  announcement.upstream.sequence = aSequence;
  announcement.upstream.slots = 4;
  announcement.service = "visits";
  announcement.address = "127.0.0.1:9001";
  return announcement;
}

} // namespace

TEST_CASE("A leaving that is told to a node that ends is still saved")
{
  Fixture fixture;
  fixture.upstream.Restore({ {}, true });
  fixture.Serve(MakeAnnouncement(1));
  fixture.upstream.Close();
  fixture.changes.clear();
  auto leaving = MakeAnnouncement(2);
  leaving.state = state::EndpointState::Draining;
  fixture.Serve(leaving);
  REQUIRE(fixture.changes.size() == 1);
  CHECK(fixture.changes[0].state == state::EndpointState::Draining);
  REQUIRE(fixture.departures.size() == 1);
  CHECK(fixture.departures[0].upstream.id == "i-1");
}

TEST_CASE("An upstream that becomes ready at a node that ends gets no work")
{
  Fixture fixture;
  fixture.upstream.Restore({ {}, true });
  fixture.upstream.Close();
  fixture.Serve(MakeAnnouncement(1));
  CHECK(fixture.changes.empty());
  coordination::AdmissionRequest request;
  request.id = 1;
  const auto refused = fixture.admission->PredictRefusal(request);
  REQUIRE(refused);
  CHECK(refused->reason == coordination::NotRunReason::Draining);
}
