#include "Services/teaselholdd/OutgoingLink.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::daemon;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A link of 10 Mbit/s.
constexpr double kBytesPerSecond = 1.25e6;
constexpr std::size_t kPieceBytes = std::size_t{ 16 } * 1024;

state::Instant fakeTime{ 0 };

state::Instant
ReadFakeTime()
{
  return fakeTime;
}

/// An answer of one piece.
struct Answer
{
  transport::NextPiece nextPiece;
  bool isGranted = false;

  static asio::awaitable<void> Wait(Answer& aAnswer)
  {
    co_await aAnswer.nextPiece();
    aAnswer.isGranted = true;
  }
};

} // namespace

TEST_CASE("an answer that ends lets the next one go on at once")
{
  // Guards against a link that idles although answers wait for it.
  fakeTime = 0s;
  asio::io_context context;
  const Clock clock(ReadFakeTime);
  const auto link =
    std::make_shared<OutgoingLink>(context, clock, kBytesPerSecond);
  const auto pacing = link->Pacing();
  std::array<Answer, 3> answers;
  for (auto& answer : answers) {
    answer.nextPiece = pacing.begin(kPieceBytes);
    asio::co_spawn(context, Answer::Wait(answer), asio::detached);
  }
  context.poll();
  CHECK(answers[0].isGranted);
  CHECK(answers[1].isGranted);
  CHECK_FALSE(answers[2].isGranted);
  fakeTime = 15ms;
  answers[0].nextPiece = nullptr;
  context.poll();
  CHECK(answers[2].isGranted);
}

TEST_CASE("an expected answer makes later ones wait until it is forgotten")
{
  // Guards against downloads that are admitted while the link is idle, but owed
  // to others already.
  fakeTime = 0s;
  asio::io_context context;
  const Clock clock(ReadFakeTime);
  const auto link =
    std::make_shared<OutgoingLink>(context, clock, kBytesPerSecond);
  {
    const OutgoingLink::Expectation expectation(link, 10 * kPieceBytes);
    CHECK(link->PredictedWait() > 100ms);
    CHECK(link->Refusal(kPieceBytes, 50ms));
    CHECK_FALSE(link->Refusal(kPieceBytes, 500ms));
  }
  CHECK(link->PredictedWait() == 0s);
  CHECK_FALSE(link->Refusal(kPieceBytes, 50ms));
}
