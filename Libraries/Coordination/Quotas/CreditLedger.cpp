#include "Coordination/Quotas/CreditLedger.h"

#include <algorithm>
#include <cmath>

namespace teaselhold::coordination::quotas {

namespace {

using Seconds = std::chrono::duration<double>;

/// Of the credit beyond a reserve for requests that wait, each node gets no
/// more than a share ahead of need. Without the reserve, idle nodes held the
/// credit while accounts at 0.9 of their limit were refused requests elsewhere.
constexpr double kReserveShare = 0.2;
constexpr double kAheadShare = 0.4;

/// A node that was told to wait asks again after this time at the latest, and
/// rarely enough that a hot account costs each node a few messages a second.
constexpr Seconds kMinEmpty{ 0.25 };
constexpr Seconds kMaxEmpty{ 1.0 };

std::uint32_t
WholeCredits(double aCredit)
{
  return aCredit < 1 ? 0 : static_cast<std::uint32_t>(aCredit);
}

} // namespace

CreditLedger::CreditLedger(const PartLimit& aLimit,
                           std::uint64_t aTerm,
                           state::Instant aLentSince,
                           state::Instant aNow)
  : limit_(aLimit)
  , term_(aTerm)
  , lentSince_(aLentSince)
  , refilledAt_(aLentSince)
{
  Refill(aNow);
}

void
CreditLedger::SetLimit(const PartLimit& aLimit, state::Instant aNow)
{
  Refill(aNow);
  if (aLimit.capacity < limit_.capacity) {
    // Nodes give up the same part once they know the limit.
    const double kept = aLimit.capacity / limit_.capacity;
    held_ = 0;
    for (auto& [node, borrower] : borrowers_) {
      borrower.held = std::floor(borrower.held * kept);
      held_ += borrower.held;
    }
  }
  limit_ = aLimit;
  Refill(aNow);
}

Grant
CreditLedger::Serve(const std::string& aNode,
                    const Ask& aAsk,
                    state::Instant aNow)
{
  EndExpired(aNow);
  Refill(aNow);
  auto& borrower = borrowers_[aNode];
  borrower.asked = aNow;
  double kept = 0;
  if (aAsk.term == term_) {
    // A request that did not run gives back credit that was counted as used.
    kept = std::min<double>(aAsk.held, limit_.capacity);
    const auto back = std::min<double>(kept + aAsk.returned, limit_.capacity);
    available_ += back - kept;
  }
  held_ += kept - borrower.held;
  borrower.held = kept;
  Refill(aNow);

  Grant grant{ aAsk.position, aAsk.account, term_ };
  grant.need = std::min(aAsk.need, WholeCredits(available_));
  available_ -= grant.need;
  const double room =
    std::min((available_ - limit_.capacity * kReserveShare) * kAheadShare,
             limit_.maxHeld - held_);
  grant.ahead = std::min(aAsk.ahead, WholeCredits(room));
  available_ -= grant.ahead;
  held_ += grant.ahead;
  borrower.held += grant.ahead;
  borrower.expiry = aNow + kCreditTerm;
  nextExpiry_ = std::min(nextExpiry_, borrower.expiry);
  if (grant.need < aAsk.need) {
    grant.emptyFor = EmptyTime(aNow);
  }
  return grant;
}

void
CreditLedger::Refill(state::Instant aNow)
{
  const Seconds elapsed = std::max(aNow - refilledAt_, state::Duration(0));
  refilledAt_ = std::max(aNow, refilledAt_);
  available_ += limit_.rate * elapsed.count();
  available_ =
    std::clamp(available_, 0.0, std::max(0.0, Capacity(aNow) - held_));
}

double
CreditLedger::Capacity(state::Instant aNow) const
{
  // Nodes may still hold credit of the previous lender.
  return aNow < lentSince_ + kCreditTerm ? limit_.capacity - limit_.maxHeld
                                         : limit_.capacity;
}

void
CreditLedger::EndExpired(state::Instant aNow)
{
  if (aNow < nextExpiry_) {
    return;
  }
  nextExpiry_ = state::Instant::max();
  std::erase_if(borrowers_, [&](const auto& aEntry) {
    const auto& borrower = aEntry.second;
    if (borrower.expiry <= aNow) {
      // It counts as used, since the node may have used it.
      held_ -= borrower.held;
      return true;
    }
    nextExpiry_ = std::min(nextExpiry_, borrower.expiry);
    return false;
  });
  if (borrowers_.empty()) {
    held_ = 0;
  }
}

state::Duration
CreditLedger::EmptyTime(state::Instant aNow) const
{
  constexpr state::Duration kRecent = std::chrono::seconds(1);
  const auto askers =
    std::ranges::count_if(borrowers_, [&](const auto& aEntry) {
      return aEntry.second.asked + kRecent >= aNow;
    });
  const Seconds turn(static_cast<double>(askers) / limit_.rate);
  return std::chrono::duration_cast<state::Duration>(
    std::clamp(turn, kMinEmpty, kMaxEmpty));
}

} // namespace teaselhold::coordination::quotas
