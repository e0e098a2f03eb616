#include "Tests/Coordination/Quotas/QuotaFleet.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace teaselhold;
using namespace teaselhold::test;
using namespace teaselhold::coordination::quotas;
using namespace std::chrono_literals;

namespace {

/// How many seeds are played, and the first; TEASELHOLD_QUOTA_SEEDS and
/// TEASELHOLD_QUOTA_FIRST_SEED replace them for longer runs.
constexpr std::uint64_t kSeeds = 150;

std::uint64_t
ReadEnvironment(const char* aName, std::uint64_t aDefault)
{
  // Tests read the environment from one thread.
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  const auto* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

/// Plays one schedule of faults and loads.
class Schedule
{
public:
  explicit Schedule(std::uint64_t aSeed)
    : draw_(aSeed * 7919 + 1)
    , nodes_(5 + draw_.NextBelow(5))
    , fleet_(nodes_, aSeed)
    , isDown_(nodes_)
    , isPaused_(nodes_)
  {
    const std::vector<double> rates{ 4, 30, 200 };
    for (std::size_t i = 0; i < rates.size(); ++i) {
      state::AccountSpec spec;
      spec.name = "account-" + std::to_string(i);
      spec.requestsPerSecond = rates[i];
      spec.burst = static_cast<std::uint32_t>(
        rates[i] * static_cast<double>(draw_.NextBelow(3)));
      specs_.push_back(spec);
    }
    fleet_.Configure(specs_, 500ms);
    fleet_.SetNotRunShare(0.1);
  }

  void PlayFaults()
  {
    fleet_.Run(std::chrono::seconds(draw_.NextBelow(8)));
    for (int step = 0; step < 60; ++step) {
      TakeStep();
      fleet_.Run(draw_.Between(0ms, 1200ms));
      doubles_ += fleet_.DoubleLent();
    }
  }

  void EndFaults()
  {
    fleet_.SetNetwork({});
    for (std::size_t node = 0; node < nodes_; ++node) {
      fleet_.SetGroup(node, 0);
      if (isPaused_[node]) {
        fleet_.Resume(node);
      }
      if (isDown_[node]) {
        fleet_.Start(node);
      }
    }
    fleet_.List(300ms);
    for (const auto& spec : specs_) {
      fleet_.SpreadLoad(spec.name, 0);
    }
    // Leases are taken again and ledgers fill.
    fleet_.Run(16s);
  }

  QuotaFleet& Fleet() { return fleet_; }
  const std::vector<state::AccountSpec>& Specs() const { return specs_; }
  std::size_t Doubles() const { return doubles_; }

private:
  void TakeStep()
  {
    const auto node = draw_.NextBelow(nodes_);
    switch (draw_.NextBelow(12)) {
      case 0:
        ChangeNetwork();
        break;
      case 1:
        fleet_.SetGroup(node, static_cast<int>(draw_.NextBelow(3)));
        break;
      case 2:
        for (std::size_t i = 0; i < nodes_; ++i) {
          fleet_.SetGroup(i, 0);
        }
        break;
      case 3:
        isPaused_[node] = !isPaused_[node] && !isDown_[node];
        if (isPaused_[node]) {
          fleet_.Pause(node);
        } else {
          fleet_.Resume(node);
        }
        break;
      case 4:
        StartOrEnd(node);
        break;
      case 5:
        fleet_.List(draw_.Between(0ms, 3000ms));
        break;
      default:
        ChangeLoad(node);
    }
  }

  void ChangeNetwork()
  {
    QuotaFleet::Network network;
    network.maxDelay = draw_.Between(1ms, 400ms);
    network.lostOfThousand = draw_.NextBelow(2) * draw_.NextBelow(250);
    fleet_.SetNetwork(network);
  }

  void StartOrEnd(std::size_t aNode)
  {
    isPaused_[aNode] = false;
    if (isDown_[aNode]) {
      fleet_.Start(aNode);
      fleet_.List(draw_.Between(0ms, 2000ms));
      isDown_[aNode] = false;
      return;
    }
    isDown_[aNode] = true;
    if (draw_.NextBelow(2) == 0) {
      fleet_.Kill(aNode);
    } else {
      fleet_.Resume(aNode);
      fleet_.Leave(aNode);
      // Until it has ended.
      fleet_.Run(50ms);
    }
  }

  void ChangeLoad(std::size_t aNode)
  {
    const auto& spec = specs_[draw_.NextBelow(specs_.size())];
    constexpr std::array kFactors{ 0.0, 0.1, 0.5, 1.0, 4.0 };
    const auto factor = kFactors[draw_.NextBelow(kFactors.size())];
    fleet_.SetLoad(aNode, spec.name, spec.requestsPerSecond * factor);
  }

  coordination::RandomSource draw_;
  std::size_t nodes_;
  QuotaFleet fleet_;
  std::vector<state::AccountSpec> specs_;
  std::vector<bool> isDown_;
  std::vector<bool> isPaused_;
  std::size_t doubles_ = 0;
};

} // namespace

// Guards against every way in which two nodes lend the same credit: a lender
// that is killed, paused or cut while others take over, stale listings, late
// and lost messages. And against credit that is lost for good by them.
TEST_CASE("No schedule of faults breaks a limit or loses credit for good",
          "[quotas][exploration]")
{
  const auto first = ReadEnvironment("TEASELHOLD_QUOTA_FIRST_SEED", 1);
  const auto seeds = ReadEnvironment("TEASELHOLD_QUOTA_SEEDS", kSeeds);
  for (auto seed = first; seed < first + seeds; ++seed) {
    Schedule schedule(seed);
    schedule.PlayFaults();
    for (const auto& spec : schedule.Specs()) {
      INFO("seed " << seed << " account " << spec.name << " positions lent "
                   << "twice " << schedule.Doubles());
      CHECK(schedule.Fleet().Excess(spec) <= 0);
    }
    schedule.EndFaults();
    auto& fleet = schedule.Fleet();
    const auto calm = fleet.Now();
    for (const auto& spec : schedule.Specs()) {
      fleet.Take(spec.name);
      fleet.SpreadLoad(spec.name, spec.requestsPerSecond * 0.6);
    }
    fleet.Run(10s);
    for (const auto& spec : schedule.Specs()) {
      const auto count = fleet.Take(spec.name);
      const auto beyond = fleet.RefusedByOneBucket(spec, calm);
      INFO("seed " << seed << " account " << spec.name << " asked "
                   << count.asked << " refused " << count.refused
                   << " beyond the limit " << beyond);
      CHECK(count.refused <= beyond + count.asked / 100);
    }
  }
}
