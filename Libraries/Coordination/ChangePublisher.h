#pragma once

#include "Coordination/Backoff.h"
#include "Coordination/CallNumbers.h"
#include "Coordination/ConfigurationChangeLog.h"
#include "Coordination/NodeEvents.h"

namespace teaselhold::coordination {

/// Writes to the store how a version that this node read as a whole differs
/// from the one before. Several nodes do so for each version; the first write
/// wins and the others find that nothing is left to do.
class ChangePublisher
{
public:
  ChangePublisher(CallNumbers& aNumbers, RandomSource& aRandom)
    : numbers_(aNumbers)
    , random_(aRandom)
  {
  }

  /// Takes a version that was read as a whole.
  /// @param aBefore the version that this node had before.
  void OnVersion(state::ConfigurationPointer aBefore,
                 state::ConfigurationPointer aNow,
                 std::uint64_t aStoreRevision);

  void Tick(state::Instant aNow, Commands& aCommands);

  /// @return false if the answer belongs to another part.
  bool OnStoreAnswer(const StoreAnswered& aAnswer, state::Instant aNow);

private:
  std::string MakeValue() const;
  bool IsDue() const;

  CallNumbers& numbers_;
  RandomSource& random_;
  Backoff backoff_{ kFirstStorePause, kLongestStorePause };
  ConfigurationChangeLog log_;
  std::uint64_t logRevision_ = 0;
  state::ConfigurationPointer before_;
  state::ConfigurationPointer wanted_;
  std::uint64_t storeRevision_ = 0;
  std::uint64_t call_ = 0;
  state::Instant next_{ 0 };
};

} // namespace teaselhold::coordination
