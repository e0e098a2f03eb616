#pragma once

#include "Coordination/CallTypes.h"

namespace teaselhold::coordination {

/// Bounds of the time after which refused callers return.
struct ReturnPolicy
{
  /// Callers that are refused come back after this time at the earliest.
  state::Duration shortest = std::chrono::milliseconds(300);
  /// The latest return, in parts of the earliest one; callers are spread evenly
  /// in between, so that they do not return together.
  double spread = 2;
};

/// Decides when a caller whose request was refused returns. The load that it
/// answers: bursts, in which callers that return at once find no room again.
/// @param aRandom evenly from 0 to 1.
state::Duration
ChooseReturnTime(const ReturnPolicy& aPolicy,
                 const NotRun& aRefusal,
                 double aRandom);

} // namespace teaselhold::coordination
