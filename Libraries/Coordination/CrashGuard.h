#pragma once

#include "State/Instant.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// Quarantines requests that crash upstreams.
class CrashGuard
{
public:
  /// Records that the upstream beside a node crashed while it ran a request
  /// with this fingerprint. Reports may arrive more than once; the crash of an
  /// incarnation counts once.
  /// @return true if the quarantine changed.
  bool RecordCrash(std::uint64_t aFingerprint,
                   const std::string& aNode,
                   std::uint64_t aIncarnation,
                   state::Instant aNow);

  /// Removes expired crashes and ends quarantines whose time has passed.
  /// @return true if the quarantine changed.
  bool Expire(state::Instant aNow);

  /// @return the quarantined fingerprints, for the routing snapshot.
  std::set<std::uint64_t> Quarantined() const;

  std::size_t Size() const { return suspects_.size(); }

private:
  struct Crash
  {
    std::string node;
    std::uint64_t incarnation;
    state::Instant time;
  };
  struct Suspect
  {
    /// Sorted by time, newest last.
    std::vector<Crash> crashes;
    /// 0 if not in quarantine.
    state::Instant quarantinedUntil{ 0 };
  };

  void EvictIfFull();

  std::map<std::uint64_t, Suspect> suspects_;
};

} // namespace teaselhold::coordination
