#include "Coordination/Versions/WatchMonitor.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// Bounds the calls for a version that the store does not have.
constexpr unsigned kMaxDoublings = 10;

} // namespace

bool
WatchMonitor::Tick(std::optional<state::Instant> aPendingSince,
                   const Versions& aVersions,
                   state::Duration aReportTime,
                   state::Instant aNow)
{
  const auto newest = std::max(aVersions.known, aVersions.newest);
  if (newest != newest_) {
    newest_ = newest;
    restarts_ = 0;
  }
  if (aPendingSince != pendingSince_) {
    pendingSince_ = aPendingSince;
    knownAtStart_ = aVersions.known;
    missedSince_.reset();
  }
  if (!pendingSince_ || newest <= knownAtStart_) {
    return false;
  }
  missedSince_ = missedSince_.value_or(aNow);
  const auto wait = aReportTime * (1U << std::min(restarts_, kMaxDoublings));
  if (aNow - *missedSince_ < wait) {
    return false;
  }
  ++restarts_;
  missedSince_.reset();
  return true;
}

} // namespace teaselhold::coordination
