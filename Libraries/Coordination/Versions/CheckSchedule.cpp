#include "Coordination/Versions/CheckSchedule.h"

#include <algorithm>
#include <array>

namespace teaselhold::coordination {

namespace {

/// A turn begins and ends at these times after the last check, in percent of
/// the bound.
struct Turn
{
  int begin;
  int end;
};

/// The first node checks. The next ones leave it the time to tell of its check,
/// and those after them a turn to each. The last turn is that of all other
/// nodes. What remains of the bound is for telling the others of a version, and
/// for them to get it.
constexpr std::array<Turn, 5> kTurns{
  { { 18, 22 }, { 42, 45 }, { 45, 48 }, { 48, 51 }, { 51, 51 } }
};
constexpr int kHundredPercent = 100;
/// Begin of the turn of nodes that follow changes, for the case that no node
/// reads.
constexpr int kFollowerPercent = 70;
/// Spreads the nodes of the last turns, so that few of them check before they
/// hear of the first one. One that is left alone checks at the latest time.
constexpr state::Duration kSpreadPerNode = std::chrono::milliseconds(20);
constexpr int kLatestPercent = 85;

} // namespace

void
CheckSchedule::SetTurn(const Place& aPlace, state::Duration aBound)
{
  const auto percent = [&](int aPercent) {
    return aBound * aPercent / kHundredPercent;
  };
  const auto index = std::min(aPlace.position, kTurns.size() - 1);
  const auto turn = kTurns.at(index);
  if (index < kTurns.size() - 1 && !aPlace.isFollowing) {
    SetRange(percent(turn.begin), percent(turn.end));
    return;
  }
  const auto earliest =
    percent(aPlace.isFollowing ? kFollowerPercent : turn.begin);
  const auto nodes = static_cast<state::Duration::rep>(aPlace.nodes);
  SetRange(
    earliest,
    std::min(earliest + kSpreadPerNode * nodes, percent(kLatestPercent)));
}

void
CheckSchedule::SetRange(state::Duration aEarliest, state::Duration aLatest)
{
  if (aEarliest != earliest_ || aLatest != latest_) {
    earliest_ = aEarliest;
    latest_ = aLatest;
    Draw();
  }
}

void
CheckSchedule::SetInterval(state::Duration aInterval)
{
  SetRange(aInterval - aInterval / 4, aInterval + aInterval / 4);
}

void
CheckSchedule::OnAttempt(state::Instant aNow)
{
  isRequested_ = false;
  lastAttempt_ = aNow;
  Draw();
}

void
CheckSchedule::OnCheck(state::Instant aTime)
{
  if (aTime > lastCheck_) {
    lastCheck_ = aTime;
    Draw();
  }
}

bool
CheckSchedule::IsDue(state::Instant aNow) const
{
  return aNow - std::max(lastCheck_, lastAttempt_) >= wait_;
}

void
CheckSchedule::Draw()
{
  wait_ = random_.Between(earliest_, latest_);
}

} // namespace teaselhold::coordination
