#include "Coordination/Versions/WatchMonitor.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;

namespace {

constexpr state::Duration kReportTime = 400ms;

} // namespace

TEST_CASE("a watch that does not report a known version is silent")
{
  WatchMonitor monitor;
  CHECK_FALSE(monitor.Tick(10s, { 4, 4 }, kReportTime, 10s));
  SECTION("that other nodes know of")
  {
    CHECK_FALSE(monitor.Tick(10s, { 4, 6 }, kReportTime, 20s));
    CHECK_FALSE(monitor.Tick(10s, { 4, 6 }, kReportTime, 20s + 390ms));
    CHECK(monitor.Tick(10s, { 4, 6 }, kReportTime, 20s + 400ms));
  }
  SECTION("that came in another way")
  {
    CHECK_FALSE(monitor.Tick(10s, { 6, 4 }, kReportTime, 20s));
    CHECK(monitor.Tick(10s, { 6, 4 }, kReportTime, 20s + 400ms));
  }
  SECTION("however many follow")
  {
    CHECK_FALSE(monitor.Tick(10s, { 4, 6 }, kReportTime, 20s));
    CHECK_FALSE(monitor.Tick(10s, { 4, 8 }, kReportTime, 20s + 300ms));
    CHECK(monitor.Tick(10s, { 4, 10 }, kReportTime, 20s + 400ms));
  }
}

TEST_CASE("a watch that reported a version in time is not silent")
{
  WatchMonitor monitor;
  CHECK_FALSE(monitor.Tick(10s, { 4, 4 }, kReportTime, 10s));
  CHECK_FALSE(monitor.Tick(10s, { 4, 6 }, kReportTime, 20s));
  SECTION("and pauses")
  {
    CHECK_FALSE(monitor.Tick(std::nullopt, { 6, 6 }, kReportTime, 20s + 10ms));
    CHECK_FALSE(monitor.Tick(std::nullopt, { 6, 6 }, kReportTime, 21s));
  }
  SECTION("and began anew")
  {
    CHECK_FALSE(monitor.Tick(20s, { 6, 6 }, kReportTime, 20s + 10ms));
    CHECK_FALSE(monitor.Tick(20s, { 6, 6 }, kReportTime, 30s));
  }
}

TEST_CASE(
  "a watch begins anew less and less often for a version that is missing")
{
  // Guards the store against nodes that wait for a version that it lost.
  WatchMonitor monitor;
  unsigned restarts = 0;
  state::Instant since{ 10s };
  for (state::Instant now{ 10s }; now < state::Instant(40s); now += 100ms) {
    if (monitor.Tick(since, { 4, 6 }, kReportTime, now)) {
      ++restarts;
      since = now;
    }
  }
  CHECK(restarts >= 4);
  CHECK(restarts <= 7);
}
