#include "Tests/StandIns/LoadGenerator/Load.h"

#include <algorithm>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(nodes, "", "caller addresses of nodes, separated by commas");
DEFINE_string(requests,
              "check GET /passes",
              "CLASS METHOD /path, separated by commas");
DEFINE_string(tenants, "load", "names, separated by commas");
DEFINE_string(straight,
              "",
              "address of an upstream that gets each request too, to compare");
DEFINE_uint32(count, 1000, "requests in all");
DEFINE_uint32(connections, 8, "requests in flight");
DEFINE_uint32(rate, 500, "requests a second");
DEFINE_uint32(timeout_milliseconds, 3000, "time limit of a request");
DEFINE_uint32(keyed_sends,
              0,
              "gives orders an Idempotency-Key and sends them up to so many "
              "times while their outcome is unknown");
DEFINE_string(label, "load", "prefix of the run identifiers");
DEFINE_uint32(seed, 1, "seed of the random choice of tenants");

namespace {

using namespace teaselhold::stand_ins;
namespace asio = boost::asio;

std::vector<std::string>
Split(const std::string& aText)
{
  std::vector<std::string> parts;
  std::stringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

LoadOptions
ReadOptions()
{
  LoadOptions options;
  options.nodes = Split(FLAGS_nodes);
  options.tenants = Split(FLAGS_tenants);
  options.straight = FLAGS_straight;
  options.count = FLAGS_count;
  options.rate = FLAGS_rate;
  options.timeout = std::chrono::milliseconds(FLAGS_timeout_milliseconds);
  options.keyedSends = FLAGS_keyed_sends;
  options.label = FLAGS_label;
  options.seed = FLAGS_seed;
  for (const auto& text : Split(FLAGS_requests)) {
    std::stringstream stream(text);
    RequestKind kind;
    stream >> kind.requestClass >> kind.method >> kind.path;
    options.kinds.push_back(kind);
  }
  return options;
}

double
Percentile(const std::vector<double>& aSorted, std::size_t aPercent)
{
  return aSorted[std::min(aSorted.size() - 1, aSorted.size() * aPercent / 100)];
}

void
Print(LoadResults& aResults)
{
  std::cout << "seed " << FLAGS_seed << "\n";
  for (const auto& [requestClass, outcomes] : aResults.outcomes) {
    for (const auto& [outcome, count] : outcomes) {
      std::cout << "outcome " << requestClass << " " << outcome << " " << count
                << "\n";
    }
  }
  for (const auto& [reason, count] : aResults.reasons) {
    std::cout << "reason " << reason << " " << count << "\n";
  }
  for (const auto& id : aResults.notRun) {
    std::cout << "not-run " << id << "\n";
  }
  for (const auto& line : aResults.unanswered) {
    std::cout << "unanswered " << line << "\n";
  }
  std::cout << "tried-other-node " << aResults.otherNodeTried << "\n"
            << "resent " << aResults.resent << "\n";
  auto& through = aResults.latencies;
  auto& straight = aResults.straightLatencies;
  std::ranges::sort(through);
  std::ranges::sort(straight);
  for (const auto percent : { 50, 99, 100 }) {
    if (through.empty()) {
      continue;
    }
    const auto value = Percentile(through, percent);
    std::cout << "latency p" << percent << " " << value << " ms\n";
    if (!straight.empty()) {
      const auto base = Percentile(straight, percent);
      std::cout << "straight p" << percent << " " << base << " ms\n"
                << "added p" << percent << " " << value - base << " ms\n";
    }
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  asio::io_context context(1);
  Load load(context, ReadOptions());
  for (unsigned i = 0; i < FLAGS_connections; ++i) {
    asio::co_spawn(context, load.Work(), asio::detached);
  }
  context.run();
  Print(load.Results());
  return 0;
}
