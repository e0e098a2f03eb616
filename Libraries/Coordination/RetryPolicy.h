#pragma once

#include "Coordination/CallTypes.h"

namespace teaselhold::coordination {

/// Decides whether a retry is safe and useful after a given outcome. Limits on
/// attempts, deadlines and budgets are enforced by CallSession.
class RetryPolicy
{
public:
  /// Attempts of one call at one node, including the first.
  static constexpr unsigned kMaxAttempts = 3;
  static constexpr unsigned kMaxDepth = 24;

  /// @return true if another attempt is safe and may succeed. Applies to
  ///         requests without an idempotency key.
  static bool MayRetry(const Outcome& aOutcome, bool aIsIdempotent);

  /// @return true if another upstream, or the same one later, may accept the
  ///         request.
  static bool IsRetryUseful(NotRunReason aReason);

  /// @return true if the request was refused because the upstream or the link
  /// of its host had no room.
  static bool IsLoadRefusal(NotRunReason aReason);

  /// @return true if a node refused the request before delivering any of it to
  ///         the upstream.
  static bool IsRefusedBeforeDelivery(NotRunReason aReason);

  /// @return true if a refusal proves that no request with the key has run.
  /// @param aMayStart the refused request was the only one that was allowed to
  ///        start the run.
  static bool ProvesKeyNotRun(NotRunReason aReason, bool aMayStart);

  /// @return true if the executor of a request with an idempotency key can be
  ///         asked for the result again.
  static bool MayQueryResultAgain(UnknownReason aReason);

  /// Returns the delay before the next round of attempts after all candidates
  /// refused because of load.
  /// @param aRound 0 for the first delay.
  /// @param aJitter between 0 and 1.
  static state::Duration Backoff(unsigned aRound, double aJitter);
};

} // namespace teaselhold::coordination
