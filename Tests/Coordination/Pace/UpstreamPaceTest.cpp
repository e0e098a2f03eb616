#include "Coordination/Pace/UpstreamPace.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <vector>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSlots = 12;
constexpr state::Duration kWork = 100ms;
/// What the callers of these loads need: an answer within four times the work.
constexpr state::Duration kObjective = 400ms;
/// A request that waits longer than this cannot be in time.
constexpr state::Duration kMaxWait = 250ms;

using SlotsAt = std::function<std::uint32_t(state::Instant)>;

/// An upstream for which the load is played: it works at full speed up to a
/// number of requests, and beyond that each one takes longer in proportion.
struct Upstream
{
  std::function<double(state::Instant)> fullSpeedRequests;
  /// Every n-th request fails before that time; 0 for none.
  unsigned failsEach = 0;
  state::Instant failsUntil{ 0 };
  /// Requests that come each second.
  unsigned arrivals = 80;
  /// Share of the requests that fail at the service's other upstreams.
  double usualFailureRate = 0;
};

struct Result
{
  unsigned inTime = 0;
  unsigned late = 0;
  unsigned failed = 0;
  unsigned refused = 0;
  state::Duration worstWait{ 0 };
  state::Instant allSlotsAt = state::Instant::max();
};

/// Plays a load on one upstream, in steps of a millisecond.
Result
Play(const Upstream& aUpstream,
     state::Duration aLength,
     const SlotsAt& aSlots,
     const std::function<void(const PaceSample&, state::Instant)>& aLearn = {})
{
  struct Running
  {
    state::Instant arrived;
    state::Instant started;
    state::Instant ends;
    bool fails;
  };
  Result result;
  std::vector<Running> running;
  std::deque<state::Instant> waiting;
  unsigned started = 0;
  double due = 0;
  for (state::Instant now{ 0 }; now < aLength; now += 1ms) {
    for (auto entry = running.begin(); entry != running.end();) {
      if (entry->ends > now) {
        ++entry;
        continue;
      }
      const auto count = static_cast<std::uint32_t>(running.size());
      if (aLearn) {
        aLearn({ now - entry->started, count, !entry->fails }, now);
      }
      result.failed += entry->fails ? 1 : 0;
      const bool isInTime = now - entry->arrived <= kObjective;
      result.inTime += !entry->fails && isInTime ? 1 : 0;
      result.late += !entry->fails && !isInTime ? 1 : 0;
      entry = running.erase(entry);
    }
    for (due += aUpstream.arrivals / 1000.0; due >= 1; --due) {
      waiting.push_back(now);
    }
    const auto slots = aSlots(now);
    if (slots >= kSlots) {
      result.allSlotsAt = std::min(result.allSlotsAt, now);
    }
    while (!waiting.empty() && running.size() < slots) {
      const auto arrived = waiting.front();
      waiting.pop_front();
      const auto load = static_cast<double>(running.size() + 1) /
                        aUpstream.fullSpeedRequests(now);
      const auto time = kWork * std::max(load, 1.0);
      const bool fails = aUpstream.failsEach > 0 &&
                         now < aUpstream.failsUntil &&
                         ++started % aUpstream.failsEach == 0;
      running.push_back(
        { arrived,
          now,
          now + std::chrono::duration_cast<state::Duration>(time),
          fails });
      result.worstWait = std::max(result.worstWait, now - arrived);
    }
    while (!waiting.empty() && now - waiting.front() >= kMaxWait) {
      waiting.pop_front();
      ++result.refused;
    }
  }
  return result;
}

/// The two fixed rules that the pace replaces.
std::uint32_t
RampOfTenSeconds(state::Instant aNow)
{
  const auto share = std::min(1.0, std::chrono::duration<double>(aNow) / 10s);
  return 2 + static_cast<std::uint32_t>((kSlots - 2) * share);
}

std::uint32_t
AllAtOnce(state::Instant /*aNow*/)
{
  return kSlots;
}

struct Comparison
{
  Result pace;
  Result ramp;
  Result atOnce;
};

Comparison
Compare(const Upstream& aUpstream,
        state::Duration aLength,
        state::Duration aUsual = kWork)
{
  UpstreamPace pace;
  pace.Begin(kSlots, 0s);
  pace.SetUsual(aUsual, aUpstream.usualFailureRate);
  const auto paced = Play(
    aUpstream,
    aLength,
    [&](state::Instant aNow) { return pace.Limit(aNow); },
    [&](const PaceSample& aSample, state::Instant aNow) {
      pace.OnFinished(aSample, aNow);
    });
  Comparison comparison{ paced,
                         Play(aUpstream, aLength, RampOfTenSeconds),
                         Play(aUpstream, aLength, AllAtOnce) };
  const auto show = [](const char* aName, const Result& aResult) {
    UNSCOPED_INFO(aName << ": in time " << aResult.inTime << ", late "
                        << aResult.late << ", failed " << aResult.failed
                        << ", refused " << aResult.refused << ", worst wait "
                        << aResult.worstWait / 1ms << " ms");
  };
  show("pace", comparison.pace);
  show("ramp", comparison.ramp);
  show("at once", comparison.atOnce);
  return comparison;
}

/// A count that grows from the first to the last value over a time.
std::function<double(state::Instant)>
Grows(double aFirst, double aLast, state::Duration aTime)
{
  return [=](state::Instant aNow) {
    const auto share = std::min(1.0,
                                std::chrono::duration<double>(aNow) /
                                  std::chrono::duration<double>(aTime));
    return aFirst + (aLast - aFirst) * share;
  };
}

} // namespace

TEST_CASE("a cold upstream is not flooded and not left idle")
{
  // Load: 80 requests a second at an upstream that carries 2 at first and all
  // 12 after 4 s. All slots at once make most answers late until then; the
  // ramp of 10 s refuses what the upstream could already do.
  const auto [pace, ramp, atOnce] = Compare({ Grows(2, kSlots, 4s) }, 8s);
  CHECK(pace.inTime > atOnce.inTime);
  CHECK(pace.inTime >= ramp.inTime);
  CHECK(pace.late < atOnce.late);
  CHECK(pace.worstWait <= kMaxWait);
}

TEST_CASE("a healthy upstream that starts in a burst has its slots at once")
{
  // Load: 110 of 120 possible requests a second, and an upstream that is as
  // fast as ever. Guards against time in which callers wait beside idle slots.
  const auto [pace, ramp, atOnce] =
    Compare({ Grows(kSlots, kSlots, 1s), 0, 0s, 110 }, 5s);
  CHECK(pace.allSlotsAt < 1s);
  CHECK(pace.inTime > ramp.inTime + 100);
  CHECK(pace.refused < ramp.refused / 4);
  CHECK(pace.inTime + 40 >= atOnce.inTime);
}

TEST_CASE("a slow recovery gets what it can carry")
{
  // Load: 60 requests a second at an upstream that carries 1 at first and 4
  // after 8 s, so that the ramp is too fast for it.
  const auto [pace, ramp, atOnce] = Compare({ Grows(1, 4, 8s), 0, 0s, 60 }, 8s);
  CHECK(pace.inTime > atOnce.inTime);
  CHECK(pace.inTime > ramp.inTime);
  CHECK(pace.late < atOnce.late);
}

TEST_CASE("an upstream that returns and fails gets little until it serves")
{
  // Load: 80 requests a second, every second one of which fails for 3 s.
  const auto [pace, ramp, atOnce] =
    Compare({ Grows(kSlots, kSlots, 1s), 2, 3s }, 6s);
  CHECK(pace.failed < atOnce.failed / 2);
  CHECK(pace.failed < ramp.failed);
  // It has its slots again within a second of the last failure.
  CHECK(pace.allSlotsAt < 3s + kWork + 1s);
}

TEST_CASE("when all upstreams are new, none waits for the others")
{
  // Load: as in the burst, but no other upstream has reported a service time,
  // because the whole fleet has started.
  const auto [pace, ramp, atOnce] =
    Compare({ Grows(kSlots, kSlots, 1s), 0, 0s, 110 }, 5s, 0s);
  CHECK(pace.allSlotsAt < 1s);
  CHECK(pace.refused < ramp.refused / 4);
  CHECK(pace.inTime + 40 >= atOnce.inTime);
}

TEST_CASE("an upstream that gets no work is not held low")
{
  UpstreamPace pace;
  pace.Begin(kSlots, 10s);
  CHECK(pace.Limit(10s) == 2);
  CHECK(pace.Limit(11s) == 4);
  CHECK(pace.Limit(20s) == kSlots);
  // Failures lower it, but never to nothing.
  for (state::Instant now = 11s; now < 20s; now += 1s) {
    pace.OnFinished({ 0ms, 1, false }, now);
    CHECK(pace.Limit(now) >= 1);
  }
}

TEST_CASE("failures of requests that ran together count once")
{
  UpstreamPace pace;
  pace.Begin(kSlots, 0s);
  pace.SetUsual(kWork, 0);
  for (std::uint32_t limit = 2; limit < 8; ++limit) {
    pace.OnFinished({ kWork, limit, true }, 100ms);
  }
  REQUIRE(pace.Limit(100ms) == 8);
  // One failure says nothing.
  pace.OnFinished({ kWork, 8, false }, 200ms);
  CHECK(pace.Limit(200ms) == 8);
  pace.OnFinished({ kWork, 7, false }, 201ms);
  pace.OnFinished({ kWork, 6, false }, 202ms);
  CHECK(pace.Limit(202ms) == 4);
}

TEST_CASE("failures that the others have too do not hold an upstream low")
{
  // Load: as in the burst, while every third request fails at all upstreams of
  // the service, because a service that they call is full. Guards against
  // taking that for a sign of the upstream.
  const auto [pace, ramp, atOnce] =
    Compare({ Grows(kSlots, kSlots, 1s), 3, 5s, 110, 1.0 / 3 }, 5s);
  CHECK(pace.allSlotsAt < 2s);
  CHECK(pace.inTime > ramp.inTime + 60);
  CHECK(pace.inTime + 40 >= atOnce.inTime);
}

TEST_CASE("an upstream much slower than the others rises with time only")
{
  UpstreamPace pace;
  pace.Begin(kSlots, 0s);
  pace.SetUsual(kWork, 0);
  for (int i = 0; i < 8; ++i) {
    pace.OnFinished({ 4 * kWork, 2, true }, 400ms);
  }
  CHECK(pace.Limit(400ms) == 2);
  CHECK(pace.Limit(1s) == 4);
}

TEST_CASE("the pace ends at all slots and begins anew with the next run")
{
  UpstreamPace pace;
  pace.SetSlots(kSlots);
  CHECK_FALSE(pace.IsLimited(0s));
  pace.Begin(3, 1s);
  CHECK(pace.IsLimited(1s));
  pace.OnFinished({ kWork, 2, true }, 1100ms);
  CHECK_FALSE(pace.IsLimited(1100ms));
  // A failure after that is not the pace's business.
  pace.OnFinished({ kWork, 3, false }, 1200ms);
  CHECK(pace.Limit(1200ms) == 3);
  pace.Begin(kSlots, 2s);
  CHECK(pace.Limit(2s) == 2);
}
