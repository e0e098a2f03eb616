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

/// Upper bounds of the latency histogram's buckets, inclusive, in microseconds.
/// One more bucket takes everything above the last bound.
inline constexpr std::array<std::uint64_t, 14> kLatencyBounds{
  500,    1000,   2000,   5000,    10000,   25000,   50000,
  100000, 250000, 500000, 1000000, 2500000, 5000000, 10000000
};

/// What one class and tenant received. Latencies are those of answered calls.
struct CallFigures
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
  /// In microseconds, kept apart because the exposition needs it exact.
  std::uint64_t latencySum = 0;
  std::array<std::uint64_t, kLatencyBounds.size() + 1> buckets{};
};

/// A copy of the metrics at one moment.
struct CallMetricsCopy
{
  using Rows =
    std::map<std::pair<state::RequestClass, std::string>, CallFigures>;
  template<std::size_t Size>
  using CountsByClass = std::array<std::array<std::uint64_t, Size>,
                                   state::kRequestClassNames.size()>;

  /// By class and tenant.
  Rows rows;
  /// Calls of callers that were not run, by class and NotRunReason.
  CountsByClass<kNotRunReasonNames.size()> notRun{};
  /// Calls of callers with an unknown outcome, by class and UnknownReason.
  CountsByClass<kUnknownReasonNames.size()> unknown{};
  /// Requests of other nodes that this node refused beside its upstream.
  CountsByClass<kNotRunReasonNames.size()> refused{};
};

/// Counts calls and their latencies per class and tenant. One thread records,
/// any thread may copy; the lock is free except during a copy.
class CallMetrics
{
public:
  /// Tenants beyond this number share the row kOtherTenants, so that memory
  /// and scrapes stay bounded.
  static constexpr std::size_t kMaxTenants = 64;
  /// The row of tenants that the operators' text does not name. Names of
  /// tenants are lower case, digits and "-", so "_" keeps them apart.
  static constexpr std::string_view kOtherTenants = "_other";
  /// The row of calls without a tenant.
  static constexpr std::string_view kNoTenant = "_none";

  /// Gives the first kMaxTenants tenants of the operators' text rows of their
  /// own. Callers choose tenant names, so only the text's names get rows.
  void NameTenants(const state::Configuration& aConfiguration);

  /// Records the end of a caller's call. An empty aTenant means none.
  void Record(state::RequestClass aClass,
              std::string_view aTenant,
              const Outcome& aOutcome,
              state::Duration aLatency);

  /// Records a request of another node that was refused beside the upstream.
  void RecordRefusal(state::RequestClass aClass, NotRunReason aReason);

  CallMetricsCopy Copy() const;

private:
  CallFigures& Row(state::RequestClass aClass, std::string_view aTenant);

  mutable std::mutex mutex_;
  CallMetricsCopy figures_;
  std::set<std::string, std::less<>> tenants_;
};

} // namespace teaselhold::coordination
