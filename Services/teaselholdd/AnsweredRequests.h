#pragma once

#include <array>
#include <cstdint>

namespace teaselhold::daemon {

/// Remembers the fingerprints of requests that the upstream answered lately. A
/// crash is not blamed on them: otherwise two unrelated crashes would put a
/// request that is always in flight into quarantine.
class AnsweredRequests
{
public:
  void Add(std::uint64_t aFingerprint)
  {
    recent_[aFingerprint % recent_.size()] = aFingerprint;
  }

  bool Contains(std::uint64_t aFingerprint) const
  {
    return recent_[aFingerprint % recent_.size()] == aFingerprint;
  }

private:
  /// 64 KB; a newer fingerprint takes the place of an older one.
  std::array<std::uint64_t, 8192> recent_{};
};

} // namespace teaselhold::daemon
