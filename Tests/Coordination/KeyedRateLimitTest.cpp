#include "Coordination/KeyedRateLimit.h"

#include <catch2/catch.hpp>

using namespace teaselhold::coordination;
using namespace std::chrono_literals;

TEST_CASE(
  "a rate limit by key allows one action per interval and drops old keys")
{
  KeyedRateLimit limit(1s);
  CHECK(limit.Allow("a", 0s));
  CHECK_FALSE(limit.Allow("a", 999ms));
  CHECK(limit.Allow("a", 1s));
  for (int i = 0; i < 1000; ++i) {
    limit.Allow(std::to_string(i), 2s);
  }
  CHECK(limit.Allow("b", 4s));
  CHECK(limit.Size() == 1);
}
