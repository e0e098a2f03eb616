#pragma once

#include "Coordination/CallTypes.h"

namespace teaselhold::coordination {

/// Rules on repeating a request after an outcome. They say what is safe and
/// useful; attempts, deadline and budgets are counted by CallSession.
class RetryPolicy
{
public:
  /// Attempts of one call at one node, the first included.
  static constexpr unsigned kMaxAttempts = 3;
  static constexpr unsigned kMaxDepth = 24;

  /// @return true if another attempt keeps the promises and may help. For
  ///         requests without an idempotency key.
  static bool MayRepeat(const Outcome& aOutcome, bool aIsIdempotent);

  /// @return true if another upstream or a later time may accept the request.
  static bool MayHelp(NotRunReason aReason);

  /// @return true if the upstream refused because of its load.
  static bool IsLoad(NotRunReason aReason);

  /// @return true if a node refused before it delivered anything to its
  /// upstream.
  static bool IsBeforeDelivery(NotRunReason aReason);

  /// @return true if a refusal proves that no send of the key has run.
  /// @param aMayStart the refused send was the one that may start the run, so
  ///        that no other send can have started it.
  static bool IsCertainForKey(NotRunReason aReason, bool aMayStart);

  /// @return true if the executor of a keyed request can be asked again for
  ///         the result.
  static bool MayAskAgain(UnknownReason aReason);

  /// Time to wait after all candidates refused for load.
  /// @param aRound 0 for the first wait.
  /// @param aJitter between 0 and 1.
  static state::Duration Backoff(unsigned aRound, double aJitter);
};

} // namespace teaselhold::coordination
