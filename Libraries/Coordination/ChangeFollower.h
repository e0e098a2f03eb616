#pragma once

#include "Coordination/Backoff.h"
#include "Coordination/CallNumbers.h"
#include "Coordination/ConfigurationChangeLog.h"
#include "Coordination/NodeEvents.h"

namespace teaselhold::coordination {

/// Follows the changes of the configuration that other nodes write to the
/// store.
class ChangeFollower
{
public:
  /// @param aPauseAfterChange changes that follow each other within this time
  /// are fetched by one call.
  ChangeFollower(CallNumbers& aNumbers,
                 RandomSource& aRandom,
                 state::Duration aPauseAfterChange)
    : numbers_(aNumbers)
    , random_(aRandom)
    , pauseAfterChange_(aPauseAfterChange)
  {
  }

  /// Forgets a watch that waits, perhaps in vain, and starts anew.
  void Restart(state::Instant aNow);

  /// Starts a watch if none is waiting.
  /// @param aMayWait false if this node may soon read for the others: a watch
  /// that waits would hold up its watch of the whole configuration. Changes
  /// that are there already are read all the same.
  void Tick(bool aMayWait, state::Instant aNow, Commands& aCommands);

  /// A watch is under way; the next one waits behind it.
  bool IsWatching() const { return call_ != 0; }

  /// @return false if the answer belongs to another part.
  bool OnStoreAnswer(const StoreAnswered& aAnswer, state::Instant aNow);

  /// Takes the log if it holds a newer version than the one in force.
  std::optional<ConfigurationChangeLog> TakeNewer(state::Generation aActive);

private:
  CallNumbers& numbers_;
  RandomSource& random_;
  state::Duration pauseAfterChange_;
  Backoff backoff_{ kFirstStorePause, kLongestStorePause };
  std::optional<ConfigurationChangeLog> log_;
  std::uint64_t revision_ = 0;
  std::uint64_t call_ = 0;
  /// The first watch has said whether there are changes.
  bool isRead_ = false;
  state::Instant next_{ 0 };
};

} // namespace teaselhold::coordination
