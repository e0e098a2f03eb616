#pragma once

#include "Coordination/Backoff.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/StoreCallNumbers.h"

#include <set>

namespace teaselhold::coordination {

/// Timeouts of store calls. Each contributes to the time that a version may
/// take to be in force after an outage; docs/platform.md has the sum.
constexpr std::chrono::milliseconds kStoreCallTimeout{ 1000 };
/// Timeout of stale reads, which are cheap and soon repeated.
constexpr std::chrono::milliseconds kStaleCallTimeout{ 700 };

/// Circuit breaker for the store calls of a node: queues them while the store
/// fails. Meanwhile a stale listing of an unused prefix probes the store, one
/// at a time; it costs a tenth of a normal call and does not count towards the
/// store's rate limits. The first successful answer releases all queued calls.
class StoreCircuitBreaker
{
public:
  StoreCircuitBreaker(StoreCallNumbers& aCallNumbers, RandomSource& aRandom);

  /// Sets the number of nodes; nodes of larger fleets probe less often.
  void SetFleetSize(std::size_t aNodes);

  /// @return true if the answer belongs to a probe of the gate.
  bool OnStoreAnswer(const StoreAnswered& aAnswer, state::Instant aNow);

  /// Returns true while reads of the store fail.
  bool IsOutage() const { return isOutage_; }

  /// Returns whether calls are held back.
  bool IsHoldingBack() const { return isFailing_; }

  /// Returns true once after each outage. Watches that were open during the
  /// outage may never be answered, so the caller must restart them; queued
  /// watches are dropped.
  bool TakeRecovered();

  /// Moves the store calls from aCommands into the queue while the store fails,
  /// and adds a probe if one is due. Otherwise appends the queued calls to
  /// aCommands.
  void Pass(state::Instant aNow, Commands& aCommands);

private:
  void OnFailure(bool aIsProbe, state::Instant aNow);
  void TrackReads(const Commands& aCommands);
  void QueueCalls(Commands& aCommands);

  StoreCallNumbers& callNumbers_;
  RandomSource& random_;
  Backoff backoff_;
  bool isFailing_ = false;
  /// A read or a probe has failed, so the fault is more than the lost answer of
  /// a write.
  bool isOutage_ = false;
  bool isRecovered_ = false;
  std::uint64_t probeCall_ = 0;
  /// Numbers of the reads in flight.
  std::set<std::uint64_t> readsInFlight_;
  state::Instant nextProbeTime_{ 0 };
  std::vector<CallStore> queued_;
};

} // namespace teaselhold::coordination
