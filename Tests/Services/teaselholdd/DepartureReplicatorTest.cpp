#include "Services/teaselholdd/DepartureReplicator.h"
#include "Tests/Support/FreePort.h"
#include "Transport/HttpServer.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace teaselhold;
using namespace teaselhold::daemon;

namespace {

Settings
MakeSettings(const std::string& aNode)
{
  Settings settings;
  settings.nodeName = aNode;
  return settings;
}

const state::UpstreamIdentity kUpstream{ "i-1", 1000, 0, 0 };

/// A node of the mesh, as far as departures go; the test decides whether its
/// calls of the store succeed.
struct Node
{
  Node(boost::asio::io_context& aContext, const std::string& aName)
    : settings(MakeSettings(aName))
    , address(tests::FreeAddress())
    , saver(aContext,
            [this, &aContext](coordination::UpstreamDeparted aDeparture) {
              written.push_back(aDeparture);
              if (canWrite) {
                boost::asio::post(aContext,
                                  [this, number = aDeparture.saveNumber] {
                                    saver.OnSaved(number);
                                  });
              }
            })
    , replicator(aContext, settings, 1, saver)
  {
    auto listening = transport::HttpServer::Listen(
      aContext, address, [this](Request aRequest) -> Awaitable<Response> {
        if (auto reminder = replicator.ReadReminder(aRequest)) {
          reminders.push_back(*reminder);
          co_return Response();
        }
        co_return co_await replicator.Serve(aRequest);
      });
    REQUIRE(listening);
    server = std::move(*listening);
  }

  bool canWrite = true;
  std::vector<coordination::UpstreamDeparted> written;
  std::vector<state::UpstreamIdentity> reminders;
  Settings settings;
  std::string address;
  DepartureSaver saver;
  DepartureReplicator replicator;
  std::unique_ptr<transport::HttpServer> server;
};

/// A node beside an upstream that leaves, and two others.
struct Mesh
{
  Mesh()
  {
    auto table = std::make_shared<state::EndpointTable>();
    for (const auto* node : { &one, &two, &three }) {
      state::EndpointRecord record;
      record.node = node->settings.nodeName;
      record.dataCentre = record.node;
      record.dataAddress = node->address;
      record.state = state::EndpointState::Ready;
      table->Merge(record);
    }
    const auto snapshot = std::make_shared<coordination::RoutingSnapshot>();
    snapshot->endpoints = std::move(table);
    for (auto* node : { &one, &two, &three }) {
      node->replicator.SetSnapshot(snapshot);
    }
  }

  /// @return whether the departure beside the first node is secure.
  bool Secure()
  {
    std::optional<bool> isSecure;
    boost::asio::co_spawn(
      context,
      [&]() -> Awaitable<void> {
        const auto number = one.saver.Start("one", kUpstream);
        isSecure = co_await one.replicator.Secure(number, kUpstream);
      },
      boost::asio::detached);
    const auto end = std::chrono::steady_clock::now() + 3s;
    while (!isSecure && std::chrono::steady_clock::now() < end) {
      context.run_one_for(100ms);
    }
    REQUIRE(isSecure);
    return *isSecure;
  }

  boost::asio::io_context context;
  Node one{ context, "one" };
  Node two{ context, "two" };
  Node three{ context, "three" };
};

} // namespace

TEST_CASE("a departure that the store takes is told to no other node")
{
  Mesh mesh;
  CHECK(mesh.Secure());
  CHECK(mesh.two.written.empty());
  CHECK(mesh.three.written.empty());
}

TEST_CASE("a departure is written by others if the store turns its node away")
{
  // Guards against a departure that is acknowledged although only one process
  // knows it, so that a restart forgets it.
  Mesh mesh;
  mesh.one.canWrite = false;
  CHECK(mesh.Secure());
  const auto& written =
    mesh.two.written.empty() ? mesh.three.written : mesh.two.written;
  REQUIRE_FALSE(written.empty());
  CHECK(written[0].node == "one");
  CHECK(written[0].upstream.IsSameRun(kUpstream));
}

TEST_CASE("others keep a departure and remind its node while no store answers")
{
  // Guards against a departure that is forgotten when its node is restarted
  // while the store is silent for all.
  Mesh mesh;
  mesh.one.canWrite = false;
  mesh.two.canWrite = false;
  mesh.three.canWrite = false;
  CHECK(mesh.Secure());
  CHECK(mesh.two.written.size() == 1);
  CHECK(mesh.three.written.size() == 1);
  mesh.context.run_for(1500ms);
  REQUIRE(mesh.one.reminders.size() >= 2);
  CHECK(mesh.one.reminders[0].IsSameRun(kUpstream));
  // Once the store holds it, the reminders end.
  for (auto* node : { &mesh.two, &mesh.three }) {
    node->saver.OnSaved(node->written[0].saveNumber);
  }
  mesh.context.run_for(100ms);
  const auto reminders = mesh.one.reminders.size();
  mesh.context.run_for(1500ms);
  CHECK(mesh.one.reminders.size() == reminders);
}

TEST_CASE("a departure that nobody can keep is not acknowledged")
{
  // Guards against a promise that the next restart would break.
  Mesh mesh;
  mesh.one.canWrite = false;
  mesh.two.server->Drain();
  mesh.three.server->Drain();
  CHECK_FALSE(mesh.Secure());
}

TEST_CASE("a departure that cannot be read is refused")
{
  Mesh mesh;
  std::optional<Response> answer;
  boost::asio::co_spawn(
    mesh.context,
    [&]() -> Awaitable<void> {
      answer = co_await mesh.two.replicator.Serve(Request());
    },
    boost::asio::detached);
  mesh.context.run_for(50ms);
  REQUIRE(answer);
  CHECK(answer->result() == boost::beast::http::status::bad_request);
  CHECK(mesh.two.written.empty());
}
