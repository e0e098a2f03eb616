#include "Coordination/RetryDelay.h"

#include <catch2/catch.hpp>

using namespace teaselhold::coordination;
using namespace std::chrono_literals;

TEST_CASE("refused callers retry spread out, and not before a slot may be free")
{
  // Guards against a burst whose refused callers all retry at the same time.
  const RetryDelayPolicy policy;
  const NotRun withoutEstimate{ NotRunReason::Full, 0s };
  CHECK(ChooseRetryDelay(policy, withoutEstimate, 0) == 300ms);
  CHECK(ChooseRetryDelay(policy, withoutEstimate, 1) == 600ms);
  const NotRun withEstimate{ NotRunReason::Full, 500ms };
  CHECK(ChooseRetryDelay(policy, withEstimate, 0) == 500ms);
  CHECK(ChooseRetryDelay(policy, withEstimate, 0.5) == 750ms);
}
