#include "Coordination/CallMetrics.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using state::RequestClass;

namespace {

state::ConfigurationPointer
MakeConfiguration(std::size_t aTenants)
{
  state::ConfigurationBuilder builder;
  builder.SetGeneration(1);
  for (std::size_t i = 0; i < aTenants; ++i) {
    builder.AddAccount({ "tenant-" + std::to_string(i), 1 });
  }
  return *builder.Build();
}

} // namespace

TEST_CASE("CallMetrics does not mix the outcomes of classes and tenants")
{
  CallMetrics metrics;
  metrics.SetTenants(*MakeConfiguration(2));
  metrics.Record(
    RequestClass::Order, "tenant-0", Answered{ 200 }, state::Duration(800));
  metrics.Record(RequestClass::Order,
                 "tenant-1",
                 NotRun{ NotRunReason::Full },
                 state::Duration(1));
  metrics.Record(RequestClass::Batch,
                 "",
                 Unknown{ UnknownReason::Timeout },
                 state::Duration(1));

  const auto copy = metrics.Snapshot();
  REQUIRE(copy.rows.size() == 3);
  CHECK(copy.rows.at({ RequestClass::Order, "tenant-0" }).answered == 1);
  CHECK(copy.rows.at({ RequestClass::Order, "tenant-1" }).notRun == 1);
  CHECK(copy.rows.at({ RequestClass::Batch, "_none" }).unknown == 1);
  CHECK(copy.notRun[0][static_cast<std::size_t>(NotRunReason::Full)] == 1);
  CHECK(copy.unknown[4][static_cast<std::size_t>(UnknownReason::Timeout)] == 1);
}

TEST_CASE("CallMetrics puts a latency on a bucket's bound into that bucket")
{
  CallMetrics metrics;
  for (const auto latency : { 500, 501, 10000001 }) {
    metrics.Record(
      RequestClass::Check, "", Answered{ 200 }, state::Duration(latency));
  }
  const auto copy = metrics.Snapshot();
  const auto& row = copy.rows.at({ RequestClass::Check, "_none" });
  CHECK(row.buckets.front() == 1);
  CHECK(row.buckets[1] == 1);
  CHECK(row.buckets.back() == 1);
  CHECK(row.latencySum == 10001002);
  CHECK(boost::accumulators::max(row.latencies) == 10000001);
}

TEST_CASE("CallMetrics rows stay bounded when callers invent tenant names")
{
  CallMetrics metrics;
  metrics.SetTenants(*MakeConfiguration(CallMetrics::kMaxTenants + 10));
  for (int i = 0; i < 1000; ++i) {
    metrics.Record(RequestClass::Lookup,
                   "tenant-" + std::to_string(i),
                   Answered{ 200 },
                   state::Duration(1));
  }
  const auto copy = metrics.Snapshot();
  CHECK(copy.rows.size() == CallMetrics::kMaxTenants + 1);
  CHECK(copy.rows.at({ RequestClass::Lookup, "_other" }).answered ==
        1000 - CallMetrics::kMaxTenants);
}

TEST_CASE(
  "CallMetrics drops the rows of tenants removed from the configuration")
{
  CallMetrics metrics;
  metrics.SetTenants(*MakeConfiguration(1));
  metrics.Record(
    RequestClass::Lookup, "tenant-0", Answered{ 200 }, state::Duration(1));
  metrics.Record(RequestClass::Lookup, "", Answered{ 200 }, state::Duration(1));
  metrics.SetTenants(*MakeConfiguration(0));
  CHECK(metrics.Snapshot().rows.size() == 1);
}
