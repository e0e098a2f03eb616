#include "State/ArrivalLog.h"

#include <catch2/catch.hpp>

using namespace teaselhold::state;
using namespace std::chrono_literals;
using Verdict = ArrivalLog::Verdict;
using Answer = ArrivalLog::Answer;

TEST_CASE("a request that was called never arrived does not run later")
{
  ArrivalLog log(1);
  CHECK(log.Arrive("a/1", 1, 0s) == Verdict::New);
  CHECK(log.Ask("a/1", 1, 1, 0s) == Answer::Arrived);
  CHECK(log.Ask("a/1", 3, 1, 0s) == Answer::NeverArrived);
  CHECK(log.Arrive("a/1", 2, 0s) == Verdict::New);
  CHECK(log.Arrive("a/1", 3, 0s) == Verdict::Barred);
  CHECK(log.Ask("a/1", 3, 1, 0s) == Answer::NeverArrived);
  CHECK(log.Arrive("a/2", 3, 0s) == Verdict::New);
}

TEST_CASE("a repeated identity is not run again")
{
  ArrivalLog log(1);
  log.Arrive("a/1", 5, 0s);
  CHECK(log.Arrive("a/1", 5, 0s) == Verdict::Doubtful);
}

TEST_CASE("an identity beyond the memory is forgotten, not called missing")
{
  ArrivalLog log(1);
  CHECK(log.Ask("a/1", 1, 1, 0s) == Answer::NeverArrived);
  for (std::uint64_t number = 2; number <= 4098; ++number) {
    CHECK(log.Arrive("a/1", number, 0s) == Verdict::New);
  }
  CHECK(log.Ask("a/1", 2, 1, 0s) == Answer::Forgotten);
  CHECK(log.Ask("a/1", 4098, 1, 0s) == Answer::Arrived);
  // It was barred; the mark is gone, the promise is kept.
  CHECK(log.Arrive("a/1", 1, 0s) == Verdict::Doubtful);
}

TEST_CASE("a forgotten peer is not told that its requests never arrived")
{
  ArrivalLogOptions options;
  options.maxPeers = 2;
  ArrivalLog log(1, options);
  log.Arrive("a", 10, 0s);
  log.Arrive("b", 10, 0s);
  // Both are too young to make room.
  CHECK(log.Arrive("c", 10, 1min) == Verdict::New);
  CHECK(log.Ask("c", 10, 1, 1min) == Answer::Forgotten);
  CHECK(log.Arrive("c", 11, 10min) == Verdict::New);
  CHECK(log.PeerCount() == 2);
  CHECK(log.Ask("c", 10, 1, 10min) == Answer::Forgotten);
  CHECK(log.Ask("a", 10, 1, 10min) == Answer::Forgotten);
  CHECK(log.Ask("c", 12, 1, 10min) == Answer::NeverArrived);
}

TEST_CASE("a restarted node does not call requests missing that it forgot")
{
  ArrivalLog log(2);
  CHECK(log.Ask("a/1", 1, 1, 0s) == Answer::Forgotten);
  CHECK(log.Arrive("a/1", 1, 0s) == Verdict::New);
}
