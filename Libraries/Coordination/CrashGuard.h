#pragma once

#include "State/Instant.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// Decides which requests are kept from running because they crash upstreams.
class CrashGuard
{
public:
  /// Takes a report that the upstream beside a node crashed while it ran a
  /// request with this fingerprint. Reports may arrive more than once; each
  /// incarnation counts once.
  /// @return true if the quarantine changed.
  bool Report(std::uint64_t aFingerprint,
              const std::string& aNode,
              std::uint64_t aIncarnation,
              state::Instant aNow);

  /// Ends quarantines whose time has passed.
  /// @return true if the quarantine changed.
  bool Expire(state::Instant aNow);

  /// The fingerprints in quarantine, for the routing snapshot.
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
    /// The newest one last.
    std::vector<Crash> crashes;
    /// 0 before the quarantine.
    state::Instant quarantinedUntil{ 0 };
  };

  void MakeRoom();

  std::map<std::uint64_t, Suspect> suspects_;
};

} // namespace teaselhold::coordination
