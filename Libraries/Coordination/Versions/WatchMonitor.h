#pragma once

#include "State/Configuration.h"
#include "State/Instant.h"

#include <optional>

namespace teaselhold::coordination {

/// Notices that a watch of the store waits on a connection that is silent: a
/// version exists that the watch should have reported. The kernel's probes of
/// the connection do not show it, as the kernel at its other end, or that of a
/// proxy, answers them for a process that never will. Not thread-safe.
class WatchMonitor
{
public:
  /// The versions that a node knows of.
  struct Versions
  {
    /// The newest one that is in force or was refused here.
    state::Generation known = 0;
    /// The newest one that it has heard of.
    state::Generation newest = 0;
  };

  /// @param aPendingSince when the pending watch began; nullopt if none is.
  /// @param aReportTime how long an answer of the store may take.
  /// @return true if the watch is silent and a new one should begin. For a
  ///         version that no watch reports this is true less and less often.
  bool Tick(std::optional<state::Instant> aPendingSince,
            const Versions& aVersions,
            state::Duration aReportTime,
            state::Instant aNow);

private:
  std::optional<state::Instant> pendingSince_;
  /// The newest version that was known when the pending watch began.
  state::Generation knownAtStart_ = 0;
  /// Since when a newer version has been known.
  std::optional<state::Instant> missedSince_;
  /// How often a watch began anew for the newest version.
  unsigned restarts_ = 0;
  state::Generation newest_ = 0;
};

} // namespace teaselhold::coordination
