#include "Coordination/CallMetrics.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// Adds one outcome to its row and to the counts by reason.
struct OutcomeRecorder
{
  CallMetricsSnapshot& metrics;
  CallStatistics& row;
  std::size_t requestClass;
  state::Duration latency;

  void operator()(const Answered& /*aOutcome*/) const
  {
    ++row.answered;
    const auto microseconds = static_cast<std::uint64_t>(
      std::max(latency, state::Duration::zero()).count());
    row.latencies(static_cast<double>(microseconds));
    row.latencySum += microseconds;
    const auto bound = std::ranges::lower_bound(kLatencyBounds, microseconds);
    ++row.buckets[static_cast<std::size_t>(bound - kLatencyBounds.begin())];
  }

  void operator()(const NotRun& aOutcome) const
  {
    ++row.notRun;
    ++metrics.notRun[requestClass][static_cast<std::size_t>(aOutcome.reason)];
  }

  void operator()(const Unknown& aOutcome) const
  {
    ++row.unknown;
    ++metrics.unknown[requestClass][static_cast<std::size_t>(aOutcome.reason)];
  }
};

} // namespace

void
CallMetrics::SetTenants(const state::Configuration& aConfiguration)
{
  std::set<std::string, std::less<>> tenants;
  for (const auto& tenant : aConfiguration.Accounts()) {
    if (tenants.size() == kMaxTenants) {
      break;
    }
    tenants.insert(tenant.name);
  }
  const std::lock_guard lock(mutex_);
  tenants_ = std::move(tenants);
  // Rows of tenants that the configuration no longer names would otherwise
  // accumulate with each configuration that renames its tenants.
  std::erase_if(metrics_.rows, [this](const auto& aRow) {
    const auto& tenant = aRow.first.second;
    return tenant != kOtherTenants && tenant != kNoTenant &&
           !tenants_.contains(tenant);
  });
}

void
CallMetrics::Record(state::RequestClass aClass,
                    std::string_view aTenant,
                    const Outcome& aOutcome,
                    state::Duration aLatency)
{
  const std::lock_guard lock(mutex_);
  std::visit(OutcomeRecorder{ metrics_,
                              Row(aClass, aTenant),
                              static_cast<std::size_t>(aClass),
                              aLatency },
             aOutcome);
}

void
CallMetrics::RecordRefusal(state::RequestClass aClass, NotRunReason aReason)
{
  const std::lock_guard lock(mutex_);
  ++metrics_.refused[static_cast<std::size_t>(aClass)]
                    [static_cast<std::size_t>(aReason)];
}

CallMetricsSnapshot
CallMetrics::Snapshot() const
{
  const std::lock_guard lock(mutex_);
  return metrics_;
}

CallStatistics&
CallMetrics::Row(state::RequestClass aClass, std::string_view aTenant)
{
  if (aTenant.empty()) {
    aTenant = kNoTenant;
  } else if (!tenants_.contains(aTenant)) {
    aTenant = kOtherTenants;
  }
  return metrics_.rows[{ aClass, std::string(aTenant) }];
}

} // namespace teaselhold::coordination
