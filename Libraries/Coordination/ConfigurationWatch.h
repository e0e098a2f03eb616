#pragma once

#include "Coordination/Backoff.h"
#include "Coordination/CallNumbers.h"
#include "Coordination/ConfigurationChangeLog.h"
#include "Coordination/NodeEvents.h"

namespace teaselhold::coordination {

/// Keeps the newest configuration by watching the store. A version takes
/// effect whole or not at all, and never after a newer one.
class ConfigurationWatch
{
public:
  ConfigurationWatch(CallNumbers& aNumbers, RandomSource& aRandom)
    : numbers_(aNumbers)
    , random_(aRandom)
  {
  }

  /// Chooses between a watch of the whole configuration and, for nodes that
  /// learn of changes in another way, a look now and then.
  /// @param aCheckInterval time between two looks.
  void SetWatching(bool aIsWatching, state::Duration aCheckInterval);

  /// Forgets a watch that waits, perhaps in vain, and starts anew.
  void Restart(state::Instant aNow);

  /// Changes that follow each other within this time are fetched by one call.
  void SetPauseAfterChange(state::Duration aPause)
  {
    pauseAfterChange_ = aPause;
  }

  /// Starts a watch if none is waiting.
  void Tick(state::Instant aNow, Commands& aCommands);

  /// @return false if the answer belongs to another part.
  bool OnStoreAnswer(const StoreAnswered& aAnswer,
                     state::Instant aNow,
                     Commands& aCommands);

  /// Applies changes to the version in force. If they do not lead to the newest
  /// version, the whole configuration is read.
  void TakeChanges(const ConfigurationChangeLog& aLog, Commands& aCommands);

  /// Takes a value of the configuration's key.
  void Take(const protocol::StoreEntry& aEntry, Commands& aCommands);

  /// @return nullptr until a version is in force.
  const state::ConfigurationPointer& Active() const { return active_; }

  std::uint64_t Revision() const { return revision_; }
  bool IsStoreReachable() const { return isStoreReachable_; }
  state::Generation RefusedGeneration() const { return refusedGeneration_; }
  const std::string& RefusedReason() const { return refusedReason_; }

private:
  void Refuse(state::Generation aGeneration,
              std::string aReason,
              Commands& aCommands);

  void OnRead(const StoreResult& aResult,
              state::Instant aNow,
              Commands& aCommands);
  void Check(state::Instant aNow, Commands& aCommands);
  void PutInForce(const std::string& aText,
                  state::Generation aGeneration,
                  Commands& aCommands);

  CallNumbers& numbers_;
  bool isWatching_ = true;
  state::Duration pauseAfterChange_{ 0 };
  state::Duration checkInterval_{ std::chrono::seconds(4) };
  /// The interval that the time of the next look was drawn for.
  state::Duration plannedInterval_{ 0 };
  state::Instant nextCheck_{ 0 };
  std::uint64_t call_ = 0;
  std::uint64_t readCall_ = 0;
  /// The read under way only looks for a newer version.
  bool isLook_ = false;
  bool isReadDue_ = false;
  state::Instant nextRead_{ 0 };
  Backoff readBackoff_{ kFirstStorePause, kLongestStorePause };
  RandomSource& random_;
  Backoff backoff_{ kFirstStorePause, kLongestStorePause };
  state::Instant next_{ 0 };
  std::uint64_t revision_ = 0;
  bool isStoreReachable_ = false;
  state::ConfigurationPointer active_;
  state::Generation refusedGeneration_ = 0;
  std::string refusedReason_;
};

} // namespace teaselhold::coordination
