#include "Coordination/CrashGuard.h"

#include <catch2/catch.hpp>

using namespace teaselhold::coordination;
using namespace std::chrono_literals;

TEST_CASE("a single crash that is reported twice does not quarantine a request")
{
  CrashGuard guard;
  CHECK_FALSE(guard.RecordCrash(1, "a", 1, 0s));
  CHECK_FALSE(guard.RecordCrash(1, "a", 1, 1s));
  CHECK_FALSE(guard.RecordCrash(2, "b", 1, 1s));
  CHECK(guard.Quarantined().empty());
}

TEST_CASE("a request that crashed two incarnations is quarantined")
{
  CrashGuard guard;
  guard.RecordCrash(1, "a", 1, 0s);
  guard.RecordCrash(2, "c", 1, 0s);
  CHECK(guard.RecordCrash(1, "a", 2, 9min));
  CHECK(guard.Quarantined() == std::set<std::uint64_t>{ 1 });
  CHECK_FALSE(guard.Expire(18min));
  CHECK(guard.Expire(19min));
  CHECK(guard.Quarantined().empty());
  CHECK(guard.Size() == 0);
}

TEST_CASE("crashes further apart than the retention time cause no quarantine")
{
  CrashGuard guard;
  guard.RecordCrash(1, "a", 1, 0s);
  CHECK_FALSE(guard.RecordCrash(1, "b", 1, 10min));
}

TEST_CASE(
  "a flood of fingerprints neither exceeds the limit nor ends a quarantine")
{
  CrashGuard guard;
  guard.RecordCrash(1, "a", 1, 0s);
  guard.RecordCrash(1, "b", 1, 0s);
  for (std::uint64_t i = 2; i < 3000; ++i) {
    guard.RecordCrash(i, "c", 1, 1s);
  }
  CHECK(guard.Size() <= 1024);
  CHECK(guard.Quarantined() == std::set<std::uint64_t>{ 1 });
}
