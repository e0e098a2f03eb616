#include "Coordination/Versions/PeerVersions.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// The data plane reports what it saw once a second.
constexpr state::Duration kHearingTime = std::chrono::milliseconds(2500);

/// Bounds the calls for a generation that the store does not have.
constexpr unsigned kMaxDoublings = 10;

} // namespace

void
PeerVersions::OnSeen(state::Generation aGeneration, state::Instant aNow)
{
  lastSeen_ = aNow;
  if (aGeneration > newest_) {
    newest_ = aGeneration;
    newestSince_ = aNow;
    checks_ = 0;
  }
}

bool
PeerVersions::IsHearing(state::Instant aNow) const
{
  return lastSeen_ != state::Instant::min() && aNow - lastSeen_ < kHearingTime;
}

bool
PeerVersions::TakeCheckDue(state::Generation aActive,
                           state::Duration aUsualTime,
                           state::Instant aNow)
{
  const auto due = aUsualTime * (1U << std::min(checks_, kMaxDoublings));
  if (newest_ <= aActive || aNow - newestSince_ < due) {
    return false;
  }
  ++checks_;
  return true;
}

} // namespace teaselhold::coordination
