#include "Tests/LoadModel/LoadModel.h"

#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>

DEFINE_uint32(nodes, 4, "number of nodes, each beside one upstream");
DEFINE_uint32(slots, 12, "concurrent requests of each upstream");
DEFINE_double(load,
              0.7,
              "offered load as a fraction of the upstreams' capacity");
DEFINE_double(burst,
              1.7,
              "factor by which the load is multiplied between 10 and 13 s");
DEFINE_double(impatient, 0, "fraction of the callers that retry without delay");
DEFINE_uint32(retries, 1, "maximum number of retries of a refused caller");
DEFINE_uint32(shortest_return_milliseconds,
              300,
              "shortest delay before a refused caller retries");
DEFINE_double(return_spread,
              2,
              "longest delay before a retry as a multiple of the shortest");
DEFINE_uint32(seeds, 5, "number of runs, with the seeds 1, 2, ...");

namespace {

using namespace teaselhold;
using namespace std::chrono_literals;

/// A typical mix of lookup and order requests.
model::Scenario
MakeScenario(std::uint64_t aSeed)
{
  model::Scenario scenario;
  scenario.nodes = FLAGS_nodes;
  scenario.slots = FLAGS_slots;
  scenario.burst = { FLAGS_burst, 10s, 13s };
  scenario.impatientShare = FLAGS_impatient;
  scenario.retryDelays.minDelay =
    std::chrono::milliseconds(FLAGS_shortest_return_milliseconds);
  scenario.retryDelays.spreadFactor = FLAGS_return_spread;
  scenario.seed = aSeed;
  model::RouteLoad lookup{ "lookup",
                           state::RequestClass::Lookup,
                           true,
                           0,
                           220ms,
                           600ms,
                           1250ms,
                           2500ms,
                           FLAGS_retries,
                           1,
                           0.1 };
  model::RouteLoad order{ "order",
                          state::RequestClass::Check,
                          false,
                          0,
                          290ms,
                          800ms,
                          1500ms,
                          3000ms,
                          FLAGS_retries,
                          2,
                          0.2 };
  const double capacity = FLAGS_nodes * FLAGS_slots * FLAGS_load;
  constexpr double kLookupShare = 0.7;
  lookup.requestsPerSecond =
    capacity * kLookupShare /
    std::chrono::duration<double>(lookup.serviceTime).count();
  order.requestsPerSecond =
    capacity * (1 - kLookupShare) /
    std::chrono::duration<double>(order.serviceTime).count();
  scenario.routes = { lookup, order };
  return scenario;
}

nlohmann::json
ToJson(const model::RouteResult& aResult)
{
  return { { "callers", aResult.callers },
           { "in_time", aResult.inTime },
           { "late", aResult.late },
           { "refused", aResult.refused },
           { "refused_again", aResult.refusedAgain },
           { "unknown", aResult.unknown } };
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("load_model: one JSON object for each seed");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
    const auto result = model::LoadModel(MakeScenario(seed)).Run();
    const nlohmann::json line{ { "seed", seed },
                               { "credit", result.credit },
                               { "served", result.served },
                               { "lookup", ToJson(result.routes[0]) },
                               { "order", ToJson(result.routes[1]) } };
    std::cout << line.dump() << "\n";
  }
  return 0;
}
