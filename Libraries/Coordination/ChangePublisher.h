#pragma once

#include "Coordination/Backoff.h"
#include "Coordination/ConfigurationChangeLog.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/StoreCallNumbers.h"

namespace teaselhold::coordination {

/// Writes the difference between a version that this node read in full and the
/// one before it to the change log in the store. Several nodes do this for each
/// version; the first compare-and-swap succeeds, and the others find the change
/// already in the log.
class ChangePublisher
{
public:
  ChangePublisher(StoreCallNumbers& aNumbers, RandomSource& aRandom)
    : numbers_(aNumbers)
    , random_(aRandom)
  {
  }

  /// Schedules the write of the change to a version that was read in full.
  /// @param aPrevious the version that this node had in force before.
  /// @param aCurrent the version that it has in force now.
  void OnVersion(state::ConfigurationPointer aPrevious,
                 state::ConfigurationPointer aCurrent,
                 std::uint64_t aStoreRevision);

  void Tick(state::Instant aNow, Commands& aCommands);

  /// @return false if the answer is not for a call of this object.
  bool OnStoreAnswer(const StoreAnswered& aAnswer, state::Instant aNow);

private:
  std::string MakeLogValue() const;
  bool IsWriteDue() const;

  StoreCallNumbers& numbers_;
  RandomSource& random_;
  Backoff backoff_{ kInitialStoreRetryDelay, kMaxStoreRetryDelay };
  ConfigurationChangeLog log_;
  std::uint64_t logRevision_ = 0;
  state::ConfigurationPointer previous_;
  state::ConfigurationPointer newest_;
  std::uint64_t storeRevision_ = 0;
  std::uint64_t writeCall_ = 0;
  state::Instant nextWrite_{ 0 };
};

} // namespace teaselhold::coordination
