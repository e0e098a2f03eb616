#pragma once

#include "Coordination/Backoff.h"
#include "Coordination/CallNumbers.h"
#include "Coordination/NodeEvents.h"

#include <set>

namespace teaselhold::coordination {

/// Longest wait for an answer of the store. Each is part of the time that a
/// version may take after an outage; docs/platform.md has the sum.
constexpr std::chrono::milliseconds kStoreCallTimeout{ 1000 };
/// For stale reads, which are cheap and soon repeated.
constexpr std::chrono::milliseconds kStaleCallTimeout{ 700 };

/// Holds back the store calls of a node while the store fails. Only a stale
/// read of no key, at a tenth of a call's price and outside of the store's
/// rates, asks whether it answers again; its first answer lets all calls go.
class StoreGate
{
public:
  StoreGate(CallNumbers& aNumbers, RandomSource& aRandom);

  /// Larger fleets ask more rarely.
  void SetFleetSize(std::size_t aNodes);

  /// @return true if the answer belongs to the gate itself.
  bool OnStoreAnswer(const StoreAnswered& aAnswer, state::Instant aNow);

  /// @return true once after an outage. Calls that wait since then may wait in
  /// vain, so watches start again; those that were held back are dropped.
  bool TakeReturned();

  /// Takes the calls out of the commands, or adds those that were held back.
  void Pass(state::Instant aNow, Commands& aCommands);

private:
  void OnFailure(bool aIsProbe, state::Instant aNow);
  void NoteReads(const Commands& aCommands);
  void Hold(Commands& aCommands);

  CallNumbers& numbers_;
  RandomSource& random_;
  Backoff backoff_;
  bool isFailing_ = false;
  /// A read or a probe has failed, so more than the answer of a write was lost.
  bool isOutage_ = false;
  bool isReturned_ = false;
  std::uint64_t probe_ = 0;
  /// Reads that are under way.
  std::set<std::uint64_t> reads_;
  state::Instant nextProbe_{ 0 };
  std::vector<CallStore> held_;
};

} // namespace teaselhold::coordination
