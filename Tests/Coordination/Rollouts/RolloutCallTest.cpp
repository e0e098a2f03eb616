#include "Tests/Coordination/CallFixtures.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>

using namespace teaselhold;
using namespace teaselhold::test;
using protocol::RolloutState;

namespace {

state::EndpointRecord
MakeUpstream(const std::string& aNode,
             const std::string& aVersion,
             const std::string& aService = "visits")
{
  auto record = MakeEndpoint(aNode);
  record.service = aService;
  record.upstream.id = "i-" + aNode;
  record.upstream.version = aVersion;
  return record;
}

Rollout
MakeRollout(std::optional<RolloutState> aState)
{
  Rollout rollout;
  rollout.service = "visits";
  rollout.target = "v2";
  rollout.order = 7;
  rollout.duration = 60s;
  rollout.begin = 10s;
  rollout.stored = aState;
  rollout.storedRevision = aState ? 8 : 0;
  return rollout;
}

/// A configuration with a route that is split in halves.
state::ConfigurationPointer
MakeSplitConfiguration()
{
  state::ConfigurationBuilder builder;
  builder.SetGeneration(1);
  builder.AddService({ "visits", { "lounges" }, true });
  builder.AddService({ "lounges", {}, true });
  state::RouteSpec route{
    "look", "GET", "/visits", "visits", state::RequestClass::Lookup, true, 1s
  };
  route.targets = { { "visits", 1 }, { "lounges", 1 } };
  builder.AddRoute(route);
  return *builder.Build();
}

/// A caller's node during a roll-out of the service "visits".
class CallingNode
{
public:
  CallingNode(const std::vector<state::EndpointRecord>& aUpstreams,
              std::optional<RolloutState> aState,
              state::ConfigurationPointer aConfiguration = MakeConfiguration())
    : environment_(MakeEnvironment())
    , gate_(RolloutGateOptions{ 0.1 })
    , snapshot_(MakeSnapshot(MakeTable(aUpstreams), std::move(aConfiguration)))
  {
    environment_.rollouts = &gate_;
    gate_.SetEndpoints(snapshot_->endpoints, now_);
    gate_.Learn({ MakeRollout(aState) }, now_);
  }

  /// Makes calls that are all answered.
  /// @return how many each node got; "" counts refused calls.
  std::map<std::string, int> Call(int aCount)
  {
    std::map<std::string, int> calls;
    for (int i = 0; i < aCount; ++i) {
      CallSession session(MakeFacts(true), snapshot_, environment_);
      const auto step = session.Start(now_);
      ++calls[NodeOf(step)];
      if (std::holds_alternative<Attempt>(step)) {
        session.Finish(Answered{ 200 }, now_ + 10ms);
      }
      now_ += 20ms;
    }
    return calls;
  }

  RolloutGate& Gate() { return gate_; }
  CallEnvironment& Environment() { return environment_; }
  const RoutingSnapshotPointer& Snapshot() const { return snapshot_; }
  state::Instant Now() const { return now_; }

private:
  CallEnvironment environment_;
  RolloutGate gate_;
  RoutingSnapshotPointer snapshot_;
  state::Instant now_{ 10s };
};

} // namespace

TEST_CASE("calls give a running version its share and no more")
{
  CallingNode node({ MakeUpstream("a", "v1"), MakeUpstream("b", "v2") },
                   RolloutState::Running);
  auto calls = node.Call(1000);
  CHECK(calls["b"] > 40);
  CHECK(calls["b"] < 100);
  CHECK(calls["a"] + calls["b"] == 1000);
}

TEST_CASE("without the stored word a new version gets no call")
{
  CallingNode node({ MakeUpstream("a", "v1"), MakeUpstream("b", "v2") },
                   std::nullopt);
  CHECK(node.Call(200)["b"] == 0);
}

TEST_CASE("after the end all calls go to the side of the verdict")
{
  const std::vector<state::EndpointRecord> upstreams{ MakeUpstream("a", "v1"),
                                                      MakeUpstream("b", "v2") };
  CHECK(CallingNode(upstreams, RolloutState::Completed).Call(100)["b"] == 100);
  CHECK(CallingNode(upstreams, RolloutState::Promoting).Call(100)["b"] == 100);
  CHECK(CallingNode(upstreams, RolloutState::RolledBack).Call(100)["a"] == 100);
}

TEST_CASE("a call that a bad version failed goes to the established one")
{
  // Guards against repeats that add to the exposure.
  CallingNode node({ MakeUpstream("a", "v1"),
                     MakeUpstream("b", "v2"),
                     MakeUpstream("c", "v2") },
                   RolloutState::Running);
  node.Environment().policy = CallPolicy::WithLoadReports();
  int failed = 0;
  for (int i = 0; i < 300; ++i) {
    CallSession session(MakeFacts(true), node.Snapshot(), node.Environment());
    auto step = session.Start(node.Now());
    if (NodeOf(step) != "a") {
      ++failed;
      step = session.Finish(Answered{ 500 }, node.Now() + 10ms);
      CHECK((NodeOf(step) == "a" || RespondsWith<Answered>(step)));
    }
    if (std::holds_alternative<Attempt>(step)) {
      session.Finish(Answered{ 200 }, node.Now() + 20ms);
    }
  }
  CHECK(failed > 0);
}

TEST_CASE("weights choose the service, drains exclude, then versions decide")
{
  // Guards against a roll-out that moves the shares of a split route, or that
  // sends calls to an upstream that leaves.
  auto leaving = MakeUpstream("c", "v2");
  leaving.state = state::EndpointState::Draining;
  const std::vector<state::EndpointRecord> upstreams{ MakeUpstream("a", "v1"),
                                                      MakeUpstream("b", "v2"),
                                                      leaving,
                                                      MakeUpstream(
                                                        "d", "v1", "lounges") };
  CallingNode running(
    upstreams, RolloutState::Running, MakeSplitConfiguration());
  auto calls = running.Call(1000);
  CHECK(std::abs(calls["d"] - 500) <= 2);
  CHECK(calls["c"] == 0);
  CHECK(calls["b"] > 15);
  CHECK(calls["b"] < 50);
  CallingNode completed(
    upstreams, RolloutState::Completed, MakeSplitConfiguration());
  calls = completed.Call(1000);
  CHECK(std::abs(calls["d"] - 500) <= 2);
  CHECK(calls["b"] == 1000 - calls["d"]);
}
