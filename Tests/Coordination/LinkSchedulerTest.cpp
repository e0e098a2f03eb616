#include "Coordination/Links/LinkScheduler.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;

namespace {

/// A link of 10 Mbit/s.
constexpr double kBytesPerSecond = 1.25e6;
constexpr std::uint64_t kAnswerBytes = 90'000;
constexpr state::Duration kMaxTime = 800ms;

/// A link that sends what is written to it in order.
class FifoLink
{
public:
  /// @return when the last byte is sent.
  state::Instant Write(std::uint64_t aBytes, state::Instant aNow)
  {
    const std::chrono::duration<double> time{ static_cast<double>(aBytes) /
                                              kBytesPerSecond };
    freeAt_ = std::max(freeAt_, aNow) +
              std::chrono::duration_cast<state::Duration>(time);
    return freeAt_;
  }

private:
  state::Instant freeAt_{ 0 };
};

/// What the callers of one host got.
struct LinkResult
{
  unsigned offered = 0;
  unsigned refused = 0;
  unsigned inTime = 0;
  unsigned late = 0;
  state::Duration longestSmallWait{ 0 };
};

/// Plays large answers and small messages on one link.
class LinkPlay
{
public:
  /// @param aIsScheduled false writes each large answer at once.
  explicit LinkPlay(bool aIsScheduled)
    : isScheduled_(aIsScheduled)
  {
  }

  /// Downloads arrive at the given interval and small messages every 10 ms.
  LinkResult Run(state::Duration aInterval, state::Duration aTime)
  {
    constexpr state::Duration kStep = 1ms;
    constexpr state::Duration kSmallInterval = 10ms;
    for (state::Instant now{ 0 }; now < aTime; now += kStep) {
      if (now % aInterval < kStep) {
        Offer(now);
      }
      if (now % kSmallInterval < kStep) {
        SendSmall(now);
      }
      Finish(now);
      Grant(now);
    }
    return result_;
  }

private:
  struct Answer
  {
    state::Instant arrived{ 0 };
    state::Instant ready{ 0 };
    std::uint64_t left = kAnswerBytes;
  };

  void Offer(state::Instant aNow)
  {
    ++result_.offered;
    if (isScheduled_ && scheduler_.Refusal(kAnswerBytes, kMaxTime, aNow)) {
      ++result_.refused;
      return;
    }
    scheduler_.Expect(kAnswerBytes);
    constexpr state::Duration kWork = 200ms;
    running_.push_back({ aNow, aNow + kWork });
  }

  void SendSmall(state::Instant aNow)
  {
    constexpr std::uint64_t kSmallBytes = 500;
    scheduler_.RecordSent(kSmallBytes, aNow);
    const auto wait = link_.Write(kSmallBytes, aNow) - aNow;
    result_.longestSmallWait = std::max(result_.longestSmallWait, wait);
  }

  void Finish(state::Instant aNow)
  {
    while (!running_.empty() && running_.front().ready <= aNow) {
      const auto answer = running_.front();
      running_.pop_front();
      scheduler_.Forget(kAnswerBytes);
      if (isScheduled_) {
        const auto message = scheduler_.Begin(kAnswerBytes);
        scheduler_.RequestPiece(message);
        sending_.emplace(message, answer);
      } else {
        Count(answer, link_.Write(kAnswerBytes, aNow));
      }
    }
  }

  void Grant(state::Instant aNow)
  {
    for (const auto& grant : scheduler_.TakeGrants(aNow)) {
      auto& answer = sending_.at(grant.message);
      const auto sent = link_.Write(grant.bytes, aNow);
      answer.left -= grant.bytes;
      if (answer.left > 0) {
        scheduler_.RequestPiece(grant.message);
        continue;
      }
      Count(answer, sent);
      scheduler_.End(grant.message);
      sending_.erase(grant.message);
    }
  }

  void Count(const Answer& aAnswer, state::Instant aSent)
  {
    constexpr state::Duration kObjective = 1s;
    const bool isInTime = aSent - aAnswer.arrived <= kObjective;
    result_.inTime += isInTime ? 1 : 0;
    result_.late += isInTime ? 0 : 1;
  }

  bool isScheduled_;
  LinkScheduler scheduler_{ kBytesPerSecond };
  FifoLink link_;
  std::deque<Answer> running_;
  std::map<std::uint64_t, Answer> sending_;
  LinkResult result_;
};

} // namespace

TEST_CASE("downloads beyond the link neither delay small messages nor each "
          "other")
{
  // Guards against store calls, lease renewals and small answers that wait for
  // seconds behind downloads in the buffers of a slow link. 90 KB each 50 ms
  // need 1.44 times what the link carries.
  const auto atOnce = LinkPlay(false).Run(50ms, 20s);
  const auto scheduled = LinkPlay(true).Run(50ms, 20s);
  CHECK(atOnce.longestSmallWait > 3s);
  CHECK(scheduled.longestSmallWait < 50ms);
  CHECK(scheduled.longestSmallWait * 10 < atOnce.longestSmallWait);
  // The link carries 278 answers in this time, and 250 beside packet headers
  // and the like. All but a few of these are sent, and sent in time; the others
  // are refused before they run.
  CHECK(scheduled.inTime > 220);
  CHECK(scheduled.late == 0);
  CHECK(scheduled.refused > 100);
  CHECK(atOnce.inTime < 60);
}

TEST_CASE("no download is refused while the link carries all of them")
{
  const auto result = LinkPlay(true).Run(100ms, 20s);
  CHECK(result.refused == 0);
  CHECK(result.late == 0);
}

TEST_CASE("the oldest large message gets the next piece")
{
  // Guards against answers that are all late because they share the link
  // evenly.
  LinkScheduler scheduler(kBytesPerSecond);
  const auto first = scheduler.Begin(kAnswerBytes);
  const auto second = scheduler.Begin(kAnswerBytes);
  scheduler.RequestPiece(second);
  scheduler.RequestPiece(first);
  const auto grants = scheduler.TakeGrants(0s);
  REQUIRE_FALSE(grants.empty());
  CHECK(grants.front().message == first);
  SECTION("but a receiver that does not read holds up no other message")
  {
    // The first message asks for no further piece.
    scheduler.RequestPiece(second);
    const auto next = scheduler.TakeGrants(1s);
    REQUIRE_FALSE(next.empty());
    CHECK(next.front().message == second);
  }
}

TEST_CASE("a link that is slower than its settings is not filled up")
{
  // Guards against buffers that fill up although the estimated queue is short.
  // These writers are never woken, because the link does not take the pieces.
  LinkScheduler scheduler(kBytesPerSecond);
  for (int i = 0; i < 10; ++i) {
    scheduler.RequestPiece(scheduler.Begin(kAnswerBytes));
  }
  std::size_t granted = 0;
  for (state::Instant now = 0ms; now < 200ms; now += 1ms) {
    granted += scheduler.TakeGrants(now).size();
  }
  CHECK(granted == 2);
  // After a while their receivers are taken for the cause.
  CHECK(scheduler.NextGrant(200ms) < 300ms);
  CHECK_FALSE(scheduler.TakeGrants(300ms).empty());
}

TEST_CASE("messages that end early leave nothing behind in the prediction")
{
  // Guards against a link that seems busy for good after callers that left.
  LinkScheduler scheduler(kBytesPerSecond);
  const auto message = scheduler.Begin(kAnswerBytes);
  scheduler.Expect(kAnswerBytes);
  CHECK(scheduler.PredictedTime(0, 1s) > 100ms);
  scheduler.End(message);
  scheduler.End(message);
  scheduler.Forget(kAnswerBytes);
  CHECK(scheduler.PredictedTime(0, 1s) == 0s);
  CHECK(scheduler.NextGrant(1s) == state::Instant::max());
}

TEST_CASE("a link that is idle takes an answer of any size")
{
  LinkScheduler scheduler(kBytesPerSecond);
  CHECK_FALSE(scheduler.Refusal(100 * kAnswerBytes, 0ms, 1s));
  scheduler.Expect(kAnswerBytes);
  const auto refusal = scheduler.Refusal(kAnswerBytes, 50ms, 1s);
  REQUIRE(refusal);
  CHECK(refusal->reason == NotRunReason::LinkBusy);
  // Tells the caller when the answers before its own are sent.
  CHECK(refusal->retryAfter > 100ms);
  CHECK_FALSE(scheduler.Refusal(1000, 0ms, 1s));
}
