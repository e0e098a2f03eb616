#include "Coordination/ReturnTime.h"

#include <catch2/catch.hpp>

using namespace teaselhold::coordination;
using namespace std::chrono_literals;

TEST_CASE("refused callers retry spread out, and not before a slot may be free")
{
  // Guards against a burst whose refused callers all retry at the same time.
  const ReturnPolicy policy;
  const NotRun unknownRoom{ NotRunReason::Full, 0s };
  CHECK(ChooseReturnTime(policy, unknownRoom, 0) == 300ms);
  CHECK(ChooseReturnTime(policy, unknownRoom, 1) == 600ms);
  const NotRun laterRoom{ NotRunReason::Full, 500ms };
  CHECK(ChooseReturnTime(policy, laterRoom, 0) == 500ms);
  CHECK(ChooseReturnTime(policy, laterRoom, 0.5) == 750ms);
}
