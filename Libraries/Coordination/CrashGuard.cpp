#include "Coordination/CrashGuard.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

constexpr state::Duration kCrashRetention = std::chrono::minutes(10);
constexpr state::Duration kQuarantineDuration = std::chrono::minutes(10);
constexpr std::size_t kCrashesForQuarantine = 2;
/// Crashes that are kept for each fingerprint.
constexpr std::size_t kMaxCrashes = 8;
/// Far more than the fingerprints that can crash upstreams within the retention
/// time. Bounds the memory if a fault gives every request its own fingerprint.
constexpr std::size_t kMaxSuspects = 1024;

} // namespace

bool
CrashGuard::RecordCrash(std::uint64_t aFingerprint,
                        const std::string& aNode,
                        std::uint64_t aIncarnation,
                        state::Instant aNow)
{
  const bool expired = Expire(aNow);
  if (!suspects_.contains(aFingerprint)) {
    EvictIfFull();
  }
  auto& suspect = suspects_[aFingerprint];
  const bool isKnown =
    std::ranges::any_of(suspect.crashes, [&](const Crash& aCrash) {
      return aCrash.node == aNode && aCrash.incarnation == aIncarnation;
    });
  if (isKnown) {
    return expired;
  }
  if (suspect.crashes.size() >= kMaxCrashes) {
    suspect.crashes.erase(suspect.crashes.begin());
  }
  suspect.crashes.push_back({ aNode, aIncarnation, aNow });
  if (suspect.crashes.size() < kCrashesForQuarantine) {
    return expired;
  }
  const bool isNew = suspect.quarantinedUntil == state::Instant{ 0 };
  suspect.quarantinedUntil = aNow + kQuarantineDuration;
  return isNew || expired;
}

bool
CrashGuard::Expire(state::Instant aNow)
{
  bool changed = false;
  for (auto& [fingerprint, suspect] : suspects_) {
    std::erase_if(suspect.crashes, [&](const Crash& aCrash) {
      return aNow >= aCrash.time + kCrashRetention;
    });
    const bool isExpired = suspect.quarantinedUntil != state::Instant{ 0 } &&
                           aNow >= suspect.quarantinedUntil;
    if (isExpired) {
      suspect.quarantinedUntil = state::Instant{ 0 };
      changed = true;
    }
  }
  std::erase_if(suspects_, [](const auto& aEntry) {
    return aEntry.second.crashes.empty() &&
           aEntry.second.quarantinedUntil == state::Instant{ 0 };
  });
  return changed;
}

void
CrashGuard::EvictIfFull()
{
  if (suspects_.size() < kMaxSuspects) {
    return;
  }
  // Evicts the fingerprint with the oldest last crash among those that are not
  // in quarantine, or the one whose quarantine ends first if all are.
  const auto rank = [](const auto& aEntry) {
    const auto& crashes = aEntry.second.crashes;
    return std::pair(aEntry.second.quarantinedUntil,
                     crashes.empty() ? state::Instant{ 0 }
                                     : crashes.back().time);
  };
  suspects_.erase(std::ranges::min_element(suspects_, {}, rank));
}

std::set<std::uint64_t>
CrashGuard::Quarantined() const
{
  std::set<std::uint64_t> fingerprints;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (suspect.quarantinedUntil != state::Instant{ 0 }) {
      fingerprints.insert(fingerprint);
    }
  }
  return fingerprints;
}

} // namespace teaselhold::coordination
