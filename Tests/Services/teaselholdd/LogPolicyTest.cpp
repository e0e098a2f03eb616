#include "Services/teaselholdd/LogPolicy.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace teaselhold::daemon;

namespace {

const LogPolicy::Time kStart{ 100s };
constexpr unsigned kCalls = LogPolicy::kPerSecond[0];

/// @return how many of aCount ordinary requests of one moment get a line.
unsigned
Ordinary(LogPolicy& aPolicy, unsigned aCount, LogPolicy::Time aNow)
{
  unsigned lines = 0;
  for (unsigned i = 0; i < aCount; ++i) {
    lines += aPolicy.AdmitSampled(Sampled::Call, aNow) ? 1 : 0;
  }
  return lines;
}

/// @return how many of aCount lines of one moment are within the bound.
unsigned
Lines(LogPolicy& aPolicy, LineKind aKind, unsigned aCount, LogPolicy::Time aNow)
{
  unsigned lines = 0;
  for (unsigned i = 0; i < aCount; ++i) {
    lines += aPolicy.AdmitLine(aKind, aNow) ? 1 : 0;
  }
  return lines;
}

} // namespace

TEST_CASE("Ordinary requests do not crowd out the lines of failures")
{
  LogPolicy policy;
  CHECK(Ordinary(policy, 500, kStart) == kCalls);
  CHECK(Ordinary(policy, 500, kStart + 999ms) == 0);
  CHECK(Ordinary(policy, 500, kStart + 1s) == kCalls);
}

TEST_CASE("Refusals for load do not take the lines of ordinary deliveries")
{
  LogPolicy policy;
  unsigned refusals = 0;
  for (unsigned i = 0; i < 500; ++i) {
    refusals += policy.AdmitSampled(Sampled::Refusal, kStart) ? 1 : 0;
  }
  CHECK(refusals == LogPolicy::kPerSecond[2]);
  CHECK(policy.AdmitSampled(Sampled::Delivery, kStart));
  CHECK(policy.AdmitSampled(Sampled::Call, kStart));
}

TEST_CASE("Ordinary requests without a line are counted, none is lost")
{
  LogPolicy policy;
  Ordinary(policy, 10, kStart);
  Ordinary(policy, 10, kStart + 5s);
  CHECK(policy.TakeLeftOut(kStart + 9s).empty());
  const auto counts = policy.TakeLeftOut(kStart + 10s);
  REQUIRE(counts.size() == 1);
  CHECK(counts[0].kind == Sampled::Call);
  CHECK(counts[0].count == 20 - 2 * kCalls);
  CHECK(policy.TakeLeftOut(kStart + 20s).empty());
}

TEST_CASE("The end of the log takes the counts that are not due yet")
{
  LogPolicy policy;
  Ordinary(policy, 10, kStart);
  CHECK(policy.TakeLeftOut(kStart + 1s, true).size() == 1);
  CHECK(policy.TakeLeftOut(kStart + 1s, true).empty());
}

TEST_CASE("A node that ends its calls writes each of them within the bound")
{
  LogPolicy policy;
  Ordinary(policy, 10, kStart);
  policy.EndSampling(Sampled::Call);
  CHECK(Ordinary(policy, 500, kStart) == 500);
  CHECK(Lines(policy, LineKind::Ordinary, 500, kStart) ==
        LogPolicy::kMaxPerSecond);
  CHECK(policy.TakeDropped() == 500 - LogPolicy::kMaxPerSecond);
  CHECK(policy.TakeDropped() == 0);
}

TEST_CASE("Lines of requests use up no room of the changes of belief")
{
  LogPolicy policy;
  Lines(policy, LineKind::Ordinary, 1000, kStart);
  Lines(policy, LineKind::Failure, 1000, kStart);
  CHECK(Lines(policy, LineKind::Belief, 100, kStart) == 100);
}

TEST_CASE("Failures have room beside ordinary lines up to their bound")
{
  LogPolicy policy;
  Lines(policy, LineKind::Ordinary, 1000, kStart);
  CHECK(Lines(policy, LineKind::Failure, 1000, kStart) ==
        LogPolicy::kMaxPerSecond);
  CHECK(policy.AdmitLine(LineKind::Failure, kStart + 1s));
}

TEST_CASE("Only lines of requests count as ordinary or failed")
{
  CHECK(ClassifyLine("[call] Ended. id=1", false) == LineKind::Ordinary);
  CHECK(ClassifyLine("[delivery] Ended. id=1", true) == LineKind::Failure);
  CHECK(ClassifyLine("[node] Draining. signal=15", false) == LineKind::Belief);
  CHECK(ClassifyLine("[upstream] State changed. state=starting", false) ==
        LineKind::Belief);
  CHECK(ClassifyLine("[store] Call failed.", true) == LineKind::Belief);
}
