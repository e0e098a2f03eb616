#include "Coordination/Admission.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;

namespace {

AdmissionRequest
MakeRequest(std::uint64_t aId, state::RequestClass aClass)
{
  AdmissionRequest request;
  request.id = aId;
  request.requestClass = aClass;
  request.deadline = 100s;
  request.maxWait = 50s;
  return request;
}

} // namespace

TEST_CASE("a less urgent kind of request gets its turn while a more urgent one "
          "fills the upstream")
{
  // Load: the most urgent kind alone asks for more than the upstream has, so in
  // strict order no request of another kind would ever start.
  Admission admission(AdmissionOptions{ 1, 100, false, false });
  admission.SetState(state::EndpointState::Ready, 0s);
  std::uint64_t next = 0;
  const auto ask = [&](state::RequestClass aClass) {
    admission.Decide(MakeRequest(++next, aClass), 1s);
    return next;
  };
  auto running = ask(state::RequestClass::Check);
  const auto lookup = ask(state::RequestClass::Lookup);
  unsigned started = 0;
  while (running != lookup) {
    REQUIRE(started++ <= QueueTurns::kMaxPassedOver);
    ask(state::RequestClass::Check);
    const auto releases = admission.Finish(running, 1s);
    REQUIRE(releases.size() == 1);
    running = releases[0].id;
  }
  // It does not get more than its share.
  CHECK(started > QueueTurns::kMaxPassedOver);
}

TEST_CASE("calls of running requests go first and cost no queue its turn")
{
  QueueTurns turns;
  for (int i = 0; i < 100; ++i) {
    REQUIRE(turns.Take({ true, true, true }) == 0U);
  }
  CHECK(turns.Take({ false, true, true }) == 1U);
  CHECK_FALSE(turns.Take({}));
}

TEST_CASE("the priority of an account goes before that of the route")
{
  Admission admission(AdmissionOptions{ 1, 100, false, false });
  admission.SetState(state::EndpointState::Ready, 0s);
  admission.Decide(MakeRequest(1, state::RequestClass::Lookup), 1s);
  admission.Decide(MakeRequest(2, state::RequestClass::Check), 1s);
  auto urgent = MakeRequest(3, state::RequestClass::Lookup);
  urgent.account = "urgent";
  urgent.priority = 0;
  admission.Decide(urgent, 1s);
  const auto releases = admission.Finish(1, 1s);
  REQUIRE(releases.size() == 1);
  CHECK(releases[0].id == 3);
}
