#include "Services/teaselholdd/RequestLines.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace teaselhold::coordination;
using namespace teaselhold::daemon;

TEST_CASE("The line of a call names what its readers search for")
{
  const CallEnd end{ "b46a", "r-mz", "jese", "sidecar-2", 1, 5, 7 };
  CHECK(FormatCallEnd(end, NotRun{ NotRunReason::Full }, 288ms) ==
        "[call] Ended. id=b46a route=r-mz service=jese node=sidecar-2 "
        "outcome=not-run reason=full status=0 attempts=1 placements=5 "
        "generation=7 milliseconds=288");
  CHECK(FormatCallEnd({}, Unknown{ UnknownReason::Timeout }, 1s) ==
        "[call] Ended. id= route=none service= node= outcome=unknown "
        "reason=timeout status=0 attempts=0 placements=0 generation=0 "
        "milliseconds=1000");
}

TEST_CASE("Only whole answers without a server error are ordinary")
{
  CHECK_FALSE(IsFailure(Answered{ 200 }));
  CHECK_FALSE(IsFailure(Answered{ 404 }));
  CHECK(IsFailure(Answered{ 500 }));
  CHECK(IsFailure(NotRun{ NotRunReason::Draining }));
  CHECK(IsFailure(Unknown{ UnknownReason::ConnectionLost }));
}
