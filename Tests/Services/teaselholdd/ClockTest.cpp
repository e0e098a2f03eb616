#include "Services/teaselholdd/Clock.h"
#include "Coordination/Admission.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::daemon;
using namespace std::chrono_literals;

namespace {

/// The time that the source returns, beside the steady clock's.
state::Instant suspendedTime{ 0 };

state::Instant
ReadTime()
{
  return std::chrono::duration_cast<state::Instant>(
           Clock::Steady::now().time_since_epoch()) +
         suspendedTime;
}

/// Allows for a busy machine.
constexpr auto kTolerance = 2s;

} // namespace

TEST_CASE("the time during which the host was suspended counts")
{
  // Guards against a process that acts on a lease or a deadline that ran out
  // while its host was suspended; the steady clock does not count that time.
  suspendedTime = 0s;
  const Clock clock(ReadTime);
  const auto leaseEnd = clock.Now() + 9s;
  suspendedTime = 12s;
  CHECK(clock.Now() > leaseEnd);
  // A timer for a time that has passed meanwhile fires at once, and one for a
  // later time is not late by the suspension.
  CHECK(clock.ToSteady(leaseEnd) < Clock::Steady::now());
  const auto wait = clock.ToSteady(clock.Now() + 60s) - Clock::Steady::now();
  // Times are rounded down to microseconds.
  CHECK(wait <= 60s + 2us);
  CHECK(wait > 60s - kTolerance);
  CHECK(clock.ToSteady(state::Instant::max()) ==
        Clock::Steady::time_point::max());
}

TEST_CASE("a request that waited through a suspension is not delivered")
{
  // Guards against an upstream that gets a request whose caller gave up while
  // the host was suspended.
  suspendedTime = 0s;
  const Clock clock(ReadTime);
  coordination::AdmissionRequest running;
  running.id = 1;
  coordination::AdmissionOptions options;
  options.queueLimit = 4;
  options.isPaced = false;
  coordination::Admission queue(options);
  queue.SetState(state::EndpointState::Ready, clock.Now());
  queue.Decide(running, clock.Now());
  auto waiting = running;
  waiting.id = 2;
  waiting.requestClass = state::RequestClass::Check;
  waiting.deadline = clock.Now() + 5s;
  REQUIRE(std::holds_alternative<coordination::Queued>(
    queue.Decide(waiting, clock.Now())));
  suspendedTime = 6s;
  // The slot becomes free only now.
  const auto releases = queue.Finish(1, clock.Now());
  REQUIRE(releases.size() == 1);
  CHECK(releases.front().refused ==
        coordination::NotRunReason::DeadlineExceeded);
}

TEST_CASE("the clock of the system does not run backwards")
{
  const Clock clock;
  const auto first = clock.Now();
  CHECK(first >= 0s);
  CHECK(clock.Now() >= first);
}
