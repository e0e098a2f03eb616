#pragma once

#include "Coordination/RetryPolicy.h"

namespace teaselhold::coordination {

/// How the calls that enter at one node are placed and repeated.
struct CallPolicy
{
  /// A refusal by the node beside an upstream reached no upstream, so it takes
  /// neither an attempt nor a token of the retry budget.
  bool refusalsAreFree = false;
  /// Nodes that are asked for one call, those that refuse included.
  unsigned maxPlacements = RetryPolicy::kMaxAttempts;
  /// Idempotent requests that an upstream answers with 500 or above go to
  /// another one; the first answer is kept for the case that it fails too.
  bool repeatsServerErrors = false;
  /// Waits for a slot are bounded by the route's latency objective, and a call
  /// that no upstream has room for is refused instead of waiting here.
  bool boundsWait = false;

  /// For upstreams whose nodes report their load.
  static CallPolicy WithLoadReports()
  {
    constexpr unsigned kPlacements = 5;
    return { true, kPlacements, true, true };
  }
};

} // namespace teaselhold::coordination
