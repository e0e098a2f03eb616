#include "Coordination/Versions/PeerVersions.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// Bounds the calls for a generation that the store does not have.
constexpr unsigned kMaxDoublings = 10;

/// Later generations count as heard of with the last one of these.
constexpr std::size_t kMaxHeard = 32;

} // namespace

void
PeerVersions::OnSeen(state::Generation aGeneration, state::Instant aNow)
{
  if (aGeneration <= newest_) {
    return;
  }
  newest_ = aGeneration;
  if (heard_.size() < kMaxHeard) {
    heard_.push_back({ aGeneration, aNow });
  } else {
    heard_.back().generation = aGeneration;
  }
}

std::optional<state::Instant>
PeerVersions::MissingSince(state::Generation aActive)
{
  SetActive(aActive);
  return heard_.empty() ? std::nullopt : std::optional(heard_.front().time);
}

void
PeerVersions::SetActive(state::Generation aActive)
{
  if (aActive != active_) {
    active_ = aActive;
    checks_ = 0;
  }
  while (!heard_.empty() && heard_.front().generation <= aActive) {
    heard_.pop_front();
  }
}

bool
PeerVersions::TakeCheckDue(state::Generation aActive,
                           state::Duration aUsualTime,
                           state::Instant aNow)
{
  SetActive(aActive);
  if (heard_.empty()) {
    return false;
  }
  const auto due = aUsualTime * (1U << std::min(checks_, kMaxDoublings));
  if (aNow - heard_.front().time < due) {
    return false;
  }
  ++checks_;
  return true;
}

} // namespace teaselhold::coordination
