#pragma once

#include "Coordination/RetryPolicy.h"

namespace teaselhold::coordination {

/// Rules for the selection of upstreams and for retries of the calls that one
/// node receives from callers.
struct CallPolicy
{
  /// A refusal by the node beside an upstream counts neither as an attempt nor
  /// against the retry budget, because the request reached no upstream.
  bool refusalsAreFree = false;
  /// Maximum number of nodes that one call is sent to, including those that
  /// refuse it.
  unsigned maxPlacements = RetryPolicy::kMaxAttempts;
  /// Idempotent requests that an upstream answers with status 500 or above are
  /// retried at another one; the latest such response is kept in case no retry
  /// succeeds.
  bool retriesServerErrors = false;
  /// The wait for a slot is bounded by the route's latency objective, and a
  /// call is refused without a backoff if no upstream has a free slot.
  bool boundsWait = false;

  /// Returns the policy for upstreams whose nodes report their load.
  static CallPolicy WithLoadReports()
  {
    constexpr unsigned kPlacements = 5;
    return { true, kPlacements, true, true };
  }
};

} // namespace teaselhold::coordination
