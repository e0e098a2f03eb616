#pragma once

#include "Coordination/Backoff.h"
#include "Coordination/ConfigurationChangeLog.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/StoreCallNumbers.h"

namespace teaselhold::coordination {

/// Watches the log of configuration changes that other nodes write to the
/// store.
class ChangeFollower
{
public:
  /// @param aPauseAfterChange the pause between a change and the next watch.
  /// Changes within this time of each other are fetched by a single call.
  ChangeFollower(StoreCallNumbers& aNumbers,
                 RandomSource& aRandom,
                 state::Duration aPauseAfterChange)
    : numbers_(aNumbers)
    , random_(aRandom)
    , pauseAfterChange_(aPauseAfterChange)
  {
  }

  /// Abandons a pending watch, which may never be answered, and retries without
  /// backoff.
  void Restart(state::Instant aNow);

  /// Starts a watch if none is pending.
  /// @param aMayWait false if this node may soon become a reader for the
  /// others: a pending watch of the log would delay its watch of the whole
  /// configuration. The first watch, which reads the existing changes, is sent
  /// regardless.
  void Tick(bool aMayWait, state::Instant aNow, Commands& aCommands);

  /// Returns true if a watch is pending. Further watches are queued behind it.
  bool IsWatching() const { return watchCall_ != 0; }

  /// Returns since when a watch has been pending; nullopt if none is.
  std::optional<state::Instant> WaitingSince() const
  {
    return IsWatching() ? std::optional(watchSent_) : std::nullopt;
  }

  /// @return false if the answer is not for a call of this object.
  bool OnStoreAnswer(const StoreAnswered& aAnswer, state::Instant aNow);

  /// Returns the received log and removes it from this object, or nullopt if it
  /// contains no version newer than aActive.
  std::optional<ConfigurationChangeLog> TakeNewer(state::Generation aActive);

private:
  StoreCallNumbers& numbers_;
  RandomSource& random_;
  state::Duration pauseAfterChange_;
  Backoff backoff_{ kInitialStoreRetryDelay, kMaxStoreRetryDelay };
  std::optional<ConfigurationChangeLog> log_;
  std::uint64_t revision_ = 0;
  std::uint64_t watchCall_ = 0;
  state::Instant watchSent_{ 0 };
  /// Whether the first watch has been answered, so that the existing changes
  /// are known.
  bool isFirstWatchAnswered_ = false;
  state::Instant nextWatch_{ 0 };
};

} // namespace teaselhold::coordination
