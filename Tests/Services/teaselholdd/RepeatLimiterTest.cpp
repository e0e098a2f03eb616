#include "Services/teaselholdd/RepeatLimiter.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using teaselhold::daemon::RepeatLimiter;

namespace {

const RepeatLimiter::Time kStart{};

} // namespace

TEST_CASE("RepeatLimiter writes the first line and suppresses equal ones")
{
  RepeatLimiter limiter(10s);
  CHECK(limiter.Admit("a", kStart));
  CHECK_FALSE(limiter.Admit("a", kStart + 1s));
  CHECK(limiter.Admit("b", kStart + 1s));
}

TEST_CASE("RepeatLimiter loses no suppressed line from its counts")
{
  RepeatLimiter limiter(10s);
  limiter.Admit("a", kStart);
  limiter.Admit("a", kStart + 1s);
  limiter.Admit("a", kStart + 2s);
  CHECK(limiter.TakeSummaries(kStart + 9s).empty());
  const auto first = limiter.TakeSummaries(kStart + 10s);
  REQUIRE(first.size() == 1);
  CHECK(first[0].line == "a");
  CHECK(first[0].suppressed == 2);
  CHECK(first[0].last == kStart + 2s);
  CHECK_FALSE(limiter.Admit("a", kStart + 11s));
  CHECK(limiter.TakeSummaries(kStart + 20s).at(0).suppressed == 1);
}

TEST_CASE("RepeatLimiter writes a line again after a quiet interval")
{
  RepeatLimiter limiter(10s);
  limiter.Admit("a", kStart);
  CHECK(limiter.TakeSummaries(kStart + 10s).empty());
  CHECK(limiter.Admit("a", kStart + 10s));
}

TEST_CASE("RepeatLimiter memory stays bounded when every line differs")
{
  RepeatLimiter limiter(10s);
  for (std::size_t i = 0; i < 2 * RepeatLimiter::kMaxLines; ++i) {
    CHECK(limiter.Admit(std::to_string(i), kStart));
  }
  CHECK(limiter.Admit("beyond the bound", kStart));
  CHECK(limiter.Admit("beyond the bound", kStart));
}
