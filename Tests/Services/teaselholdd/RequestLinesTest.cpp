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

TEST_CASE("Only refusals for want of room are sampled as refusals for load")
{
  CHECK(IsRefusedForLoad(NotRun{ NotRunReason::Full }));
  CHECK(IsRefusedForLoad(NotRun{ NotRunReason::LinkBusy }));
  CHECK(IsRefusedForLoad(NotRun{ NotRunReason::Shed }));
  CHECK_FALSE(IsRefusedForLoad(NotRun{ NotRunReason::Draining }));
  CHECK_FALSE(IsRefusedForLoad(Unknown{ UnknownReason::ConnectionLost }));
  CHECK_FALSE(IsRefusedForLoad(Answered{ 503 }));
}

TEST_CASE("The line beside the upstream names the inputs of the decision")
{
  DeliveryStart start;
  start.id = "b46a";
  start.from = "sidecar-1";
  start.service = "jese";
  start.requestClass = teaselhold::state::RequestClass::Check;
  start.upstream = "i-463f";
  start.born = 1767;
  start.inputs = {
    teaselhold::state::EndpointState::Ready, 5s, 12, 3, 12, 40ms
  };
  start.maxWait = 25ms;
  start.left = 900ms;
  CHECK(FormatDeliveryEnd(start, NotRun{ NotRunReason::Full }, 0ms) ==
        "[delivery] Ended. id=b46a from=sidecar-1 service=jese class=check "
        "upstream=i-463f born=1767 outcome=not-run reason=full status=0 "
        "state=ready state_milliseconds=5000 running=12 waiting=3 slots=12 "
        "predicted_wait=40 max_wait=25 left=900 milliseconds=0");
  start.maxWait = std::nullopt;
  CHECK(FormatDeliveryEnd(start, Answered{ 200 }, 7ms)
          .find("predicted_wait=40 max_wait=none left=900 milliseconds=7") !=
        std::string::npos);
}
