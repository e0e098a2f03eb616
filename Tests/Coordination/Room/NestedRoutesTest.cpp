#include "Coordination/Room/NestedRoutes.h"

#include "Coordination/Admission.h"
#include "Tests/Coordination/CallFixtures.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::test;

TEST_CASE("a route is known as one of clients after two requests that no "
          "running request can have made")
{
  NestedRoutes routes;
  CHECK(routes.Record("look", true));
  CHECK_FALSE(routes.Record("look", false));
  CHECK(routes.Record("look", true));
  CHECK_FALSE(routes.Record("look", false));
  // Guards against a busy period in which every request looks like a call.
  for (int i = 0; i < 2000; ++i) {
    REQUIRE_FALSE(routes.Record("look", true));
  }
  CHECK(routes.Record("check", true));
}

TEST_CASE("the running requests bound the deadline of the calls that they make")
{
  Admission admission(AdmissionOptions{ 1, 4, false, false });
  admission.SetState(state::EndpointState::Ready, 0s);
  CHECK_FALSE(admission.LatestRunningDeadline());
  for (std::uint64_t id = 1; id <= 2; ++id) {
    AdmissionRequest request;
    request.id = id;
    request.deadline = 1s * id;
    admission.Decide(request, 0s);
  }
  // The second request waits for the slot, so it makes no calls yet.
  CHECK(admission.LatestRunningDeadline() == 1s);
  admission.Finish(1, 50ms);
  CHECK(admission.LatestRunningDeadline() == 2s);
}

TEST_CASE("a client's request whose timeout equals the route's does not wait "
          "past its objective")
{
  // Load: a wave of clients whose timeout is the route's. Taken for calls of
  // running requests, they wait up to their deadline, and each of them is late.
  auto environment = MakeEnvironment();
  environment.policy = CallPolicy::WithLoadReports();
  state::ConfigurationBuilder builder;
  builder.AddService({ "visits", {}, true });
  state::RouteSpec route{
    "look", "GET", "/visits", "visits", state::RequestClass::Lookup,
    true,   1200ms
  };
  route.latencyObjective = 500ms;
  builder.AddRoute(route);
  const auto snapshot =
    MakeSnapshot(MakeTable({ MakeEndpoint("a") }), *builder.Build());
  const auto send = [&](bool aMayBeNested) {
    auto facts = MakeFacts(true);
    facts.deadline = 1200ms;
    facts.mayBeNested = aMayBeNested;
    CallSession session(std::move(facts), snapshot, environment);
    return std::get<Attempt>(session.Start(0s));
  };
  CHECK(send(true).isFinalTry);
  send(false);
  send(false);
  const auto attempt = send(true);
  CHECK_FALSE(attempt.isFinalTry);
  CHECK(*attempt.maxWait < 500ms);
}
