#include "Tests/LoadModel/LoadModel.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace std::chrono_literals;

namespace {

model::Scenario
MakeScenario(double aLoad)
{
  model::Scenario scenario;
  model::RouteLoad lookup;
  lookup.name = "lookup";
  lookup.serviceTime = 200ms;
  lookup.objective = 500ms;
  lookup.timeout = 1500ms;
  lookup.deadline = 3s;
  lookup.retries = 2;
  lookup.requestsPerSecond = aLoad * scenario.nodes * scenario.slots * 5;
  scenario.routes = { lookup };
  return scenario;
}

} // namespace

TEST_CASE("a load below the capacity is served in time")
{
  const auto result = model::LoadModel(MakeScenario(0.6)).Run();
  CHECK(result.credit > 0.99);
  CHECK(result.routes[0].unknown == 0);
}

TEST_CASE(
  "every caller gets exactly one result, and a seed repeats the results")
{
  auto scenario = MakeScenario(0.8);
  scenario.burst = { 1.7, 5s, 8s };
  scenario.impatientShare = 0.3;
  const auto first = model::LoadModel(scenario).Run();
  const auto& route = first.routes[0];
  CHECK(route.callers ==
        route.inTime + route.late + route.refused + route.unknown);
  const auto second = model::LoadModel(scenario).Run();
  CHECK(second.credit == first.credit);
  CHECK(second.routes[0].refusedAgain == route.refusedAgain);
}
