#pragma once

#include "Coordination/CallTypes.h"
#include "State/Configuration.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace teaselhold::coordination {

/// Inclusive upper bounds of the buckets of the latency histogram, in
/// microseconds. One more bucket counts everything above the last bound.
inline constexpr std::array<std::uint64_t, 14> kLatencyBounds{
  500,    1000,   2000,   5000,    10000,   25000,   50000,
  100000, 250000, 500000, 1000000, 2500000, 5000000, 10000000
};

/// Outcomes and latencies of the calls of one class and tenant. Only answered
/// calls count towards the latencies.
struct CallStatistics
{
  using Latencies = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::mean,
                               boost::accumulators::tag::max>>;

  std::uint64_t answered = 0;
  std::uint64_t notRun = 0;
  std::uint64_t unknown = 0;
  /// In microseconds.
  Latencies latencies;
  /// In microseconds. An integer, because the metrics exposition needs the
  /// exact sum.
  std::uint64_t latencySum = 0;
  std::array<std::uint64_t, kLatencyBounds.size() + 1> buckets{};
};

/// A snapshot of the metrics.
struct CallMetricsSnapshot
{
  using Rows =
    std::map<std::pair<state::RequestClass, std::string>, CallStatistics>;
  template<std::size_t Size>
  using CountsByClass = std::array<std::array<std::uint64_t, Size>,
                                   state::kRequestClassNames.size()>;

  /// By class and tenant.
  Rows rows;
  /// Calls from callers that were not run, by class and NotRunReason.
  CountsByClass<kNotRunReasonNames.size()> notRun{};
  /// Calls from callers with an unknown outcome, by class and UnknownReason.
  CountsByClass<kUnknownReasonNames.size()> unknown{};
  /// Requests from other nodes that this node refused before delivery to its
  /// upstream, by class and NotRunReason.
  CountsByClass<kNotRunReasonNames.size()> refused{};
};

/// Counts calls and their latencies per class and tenant. One thread records
/// and any thread may copy, so the lock is contended only during a copy.
class CallMetrics
{
public:
  /// Number of tenants that get rows of their own. All others share the row
  /// kOtherTenants, which bounds memory and the size of scrapes.
  static constexpr std::size_t kMaxTenants = 64;
  /// The row of all tenants without rows of their own. Tenant names consist of
  /// lower-case letters, digits and "-", so the "_" rules out a collision.
  static constexpr std::string_view kOtherTenants = "_other";
  /// The row of calls without a tenant.
  static constexpr std::string_view kNoTenant = "_none";

  /// Gives the first kMaxTenants tenants of the configuration rows of their
  /// own and removes the rows of others. Callers choose tenant names freely,
  /// so names outside the configuration get no rows.
  void SetTenants(const state::Configuration& aConfiguration);

  /// Records the outcome of a caller's call. An empty aTenant stands for none.
  void Record(state::RequestClass aClass,
              std::string_view aTenant,
              const Outcome& aOutcome,
              state::Duration aLatency);

  /// Records a request from another node that was refused before delivery to
  /// the upstream.
  void RecordRefusal(state::RequestClass aClass, NotRunReason aReason);

  CallMetricsSnapshot Snapshot() const;

private:
  CallStatistics& Row(state::RequestClass aClass, std::string_view aTenant);

  mutable std::mutex mutex_;
  CallMetricsSnapshot metrics_;
  std::set<std::string, std::less<>> tenants_;
};

} // namespace teaselhold::coordination
