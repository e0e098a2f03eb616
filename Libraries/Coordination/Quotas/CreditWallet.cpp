#include "Coordination/Quotas/CreditWallet.h"

#include <algorithm>
#include <cmath>

namespace teaselhold::coordination::quotas {

namespace {

using Seconds = std::chrono::duration<double>;

/// Demand is averaged over this time, and held for this time ahead. Shorter
/// costs more messages; longer leaves more credit idle where it is not needed.
constexpr Seconds kDemandTime{ 2.0 };
constexpr Seconds kAheadTime{ 1.5 };

/// A node keeps credit for one request of an account that it saw in this time,
/// so that accounts with few requests at each node rarely wait for an answer.
constexpr state::Duration kRecentTime = std::chrono::seconds(8);

/// More than this may be used before the next usual ask.
constexpr std::uint32_t kUrgentTarget = 4;

/// For which credit ahead of need is not asked for after a lender had none.
constexpr state::Duration kDeferTime = std::chrono::seconds(2);

/// Asks are sent while this share of the target is left, so that the answer
/// comes before the rest is used.
constexpr double kLowShare = 0.35;

} // namespace

double
CreditWallet::Demand(state::Instant aNow) const
{
  const Seconds elapsed = std::max(aNow - countedAt_, state::Duration(0));
  return recent_ * std::exp(-elapsed / kDemandTime);
}

void
CreditWallet::RecordDemand(state::Instant aNow)
{
  recent_ = Demand(aNow) + 1;
  countedAt_ = aNow;
}

std::optional<Credit>
CreditWallet::Take(state::Instant aNow)
{
  Lot* chosen = nullptr;
  for (auto& lot : lots_) {
    if (lot.held > 0 && aNow < lot.expiry &&
        (chosen == nullptr || lot.expiry < chosen->expiry)) {
      chosen = &lot;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  --chosen->held;
  return Credit{ static_cast<std::uint32_t>(chosen - lots_.data()),
                 chosen->term };
}

void
CreditWallet::GiveBack(const Credit& aCredit, state::Instant aNow)
{
  if (!aCredit.part) {
    return;
  }
  auto& lot = lots_[*aCredit.part];
  if (lot.term == aCredit.term && aNow < lot.expiry) {
    ++lot.held;
  }
}

void
CreditWallet::Shrink(double aFraction)
{
  for (auto& lot : lots_) {
    lot.held = static_cast<std::uint32_t>(lot.held * aFraction);
  }
}

std::uint32_t
CreditWallet::Held(state::Instant aNow) const
{
  std::uint32_t held = 0;
  for (const auto& lot : lots_) {
    held += aNow < lot.expiry ? lot.held : 0;
  }
  return held;
}

std::uint32_t
CreditWallet::Target(state::Instant aNow) const
{
  const double perSecond = Demand(aNow) / kDemandTime.count();
  const auto target =
    static_cast<std::uint32_t>(perSecond * kAheadTime.count());
  const bool isRecent = recent_ > 0 && aNow - countedAt_ < kRecentTime;
  return std::max(target, isRecent ? 1U : 0U);
}

bool
CreditWallet::IsLow(state::Instant aNow) const
{
  return aNow >= nextAhead_ && Held(aNow) < Target(aNow) * kLowShare;
}

bool
CreditWallet::IsUrgent(state::Instant aNow) const
{
  return Target(aNow) >= kUrgentTarget && IsLow(aNow);
}

bool
CreditWallet::IsIdle(state::Instant aNow) const
{
  return Held(aNow) == 0 && waiting == 0 && !isAsking &&
         aNow - countedAt_ >= kRecentTime;
}

void
CreditWallet::DeferAhead(state::Instant aNow)
{
  nextAhead_ = aNow + kDeferTime;
}

} // namespace teaselhold::coordination::quotas
