#include "Coordination/Admission.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;

namespace {

AdmissionRequest
MakeRequest(std::uint64_t aId, state::Duration aUsefulWait)
{
  AdmissionRequest request;
  request.id = aId;
  request.deadline = 10s;
  request.maxWait = std::max<state::Duration>(aUsefulWait, 150ms);
  request.usefulWait = aUsefulWait;
  return request;
}

} // namespace

TEST_CASE("requests that can still be in time go before those that are late")
{
  // Load: a wave above the capacity, whose refused callers come back too late
  // for their objective. Served in order of arrival, they delay the requests
  // that are still in time until those are late too.
  Admission admission(AdmissionOptions{ 1, 10, false, false });
  admission.SetState(state::EndpointState::Ready, 0s);
  admission.RecordResult(50ms, true, 0s);
  admission.Decide(MakeRequest(1, 300ms), 0s);
  admission.Decide(MakeRequest(2, 0ms), 0s);
  admission.Decide(MakeRequest(3, 300ms), 0s);
  admission.Decide(MakeRequest(4, 60ms), 0s);

  auto releases = admission.Finish(1, 50ms);
  REQUIRE(releases.size() == 1);
  CHECK(releases[0].id == 3);
  // The last request became late while it waited, so arrival decides again.
  releases = admission.Finish(3, 100ms);
  REQUIRE(releases.size() == 1);
  CHECK(releases[0].id == 2);
}

TEST_CASE("late requests that wait do not count as ahead of one in time")
{
  Admission admission(AdmissionOptions{ 1, 10, false, false });
  admission.SetState(state::EndpointState::Ready, 0s);
  admission.RecordResult(100ms, true, 0s);
  admission.Decide(MakeRequest(1, 300ms), 0s);
  admission.Decide(MakeRequest(2, 0ms), 0s);
  CHECK(admission.DecisionInputs(MakeRequest(3, 250ms), 0s).predictedWait ==
        100ms);
  CHECK(admission.DecisionInputs(MakeRequest(3, 0ms), 0s).predictedWait ==
        200ms);
}
