#include "Coordination/Versions/CheckSchedule.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;

namespace {

constexpr state::Duration kBound = 2s;
constexpr state::Duration kStep = 10ms;
/// How long the news of a check takes to the other nodes.
constexpr state::Duration kNews = 150ms;
constexpr std::size_t kNodes = 40;

/// Nodes that tell each other of their checks.
struct Checkers
{
  explicit Checkers(std::uint64_t aSeed)
    : random(aSeed)
  {
    for (std::size_t i = 0; i < kNodes; ++i) {
      schedules.emplace_back(random);
      schedules.back().SetTurn({ i, kNodes, false }, kBound);
    }
  }

  /// Lets all nodes but the first aLost ones check for some time.
  void Run(state::Duration aTime, std::size_t aLost)
  {
    for (const auto end = now + aTime; now < end; now += kStep) {
      for (auto i = aLost; i < kNodes; ++i) {
        if (schedules[i].IsDue(now)) {
          schedules[i].OnAttempt(now);
          checks.push_back(now);
        }
      }
      for (const auto check : checks) {
        for (auto i = aLost; now - check == kNews && i < kNodes; ++i) {
          schedules[i].OnCheck(check);
        }
      }
    }
  }

  state::Duration LongestGap() const
  {
    state::Duration longest{ 0 };
    for (std::size_t i = 1; i < checks.size(); ++i) {
      longest = std::max(longest, checks[i] - checks[i - 1]);
    }
    return longest;
  }

  RandomSource random;
  std::vector<CheckSchedule> schedules;
  std::vector<state::Instant> checks;
  state::Instant now{ 10s };
};

} // namespace

TEST_CASE("a fleet checks the store at short intervals with few calls")
{
  // Guards against checks that bunch together, with long gaps between them.
  Checkers checkers(GENERATE(1U, 2U, 3U));
  checkers.Run(2s, 0);
  checkers.checks.clear();
  checkers.Run(60s, 0);
  CHECK(checkers.LongestGap() <= kBound / 4);
  CHECK(checkers.checks.size() < 180);
}

TEST_CASE("checks go on within the bound whichever nodes are lost")
{
  const auto lost = GENERATE(1U, 2U, 4U, 20U, 39U);
  CAPTURE(lost);
  Checkers checkers(GENERATE(1U, 2U, 3U));
  checkers.Run(5s, 0);
  checkers.Run(30s, lost);
  CHECK(checkers.LongestGap() < kBound * 86 / 100 + kStep);
}

TEST_CASE("a check that fails does not count for the other nodes")
{
  RandomSource random(1);
  CheckSchedule schedule(random);
  schedule.SetTurn({ 1, kNodes, false }, kBound);
  schedule.OnCheck(10s);
  CHECK_FALSE(schedule.IsDue(10s + 800ms));
  CHECK(schedule.IsDue(10s + 910ms));
  CHECK(schedule.LastCheck() == state::Instant(10s));
  schedule.OnAttempt(10s + 910ms);
  CHECK_FALSE(schedule.IsDue(10s + 1s));
  CHECK(schedule.LastCheck() == state::Instant(10s));
}

TEST_CASE("a requested check is due whenever the last one was")
{
  RandomSource random(1);
  CheckSchedule schedule(random);
  schedule.SetTurn({ 3, kNodes, false }, kBound);
  schedule.Request();
  schedule.OnCheck(10s);
  CHECK(schedule.IsRequested());
  schedule.OnAttempt(10s + 10ms);
  CHECK_FALSE(schedule.IsRequested());
}
