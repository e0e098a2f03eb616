#pragma once

#include "Coordination/Quotas/QuotaLimits.h"

#include <array>
#include <cstdint>
#include <optional>

namespace teaselhold::coordination::quotas {

/// Credit for one request.
struct Credit
{
  /// The part whose lender lent it; nothing: the account has no limit.
  std::optional<std::uint32_t> part;
  std::uint64_t term = 0;
};

/// What one node holds of an account's credit, and how much it needs.
class CreditWallet
{
public:
  /// What the lender of one part has told.
  struct Lot
  {
    std::uint64_t term = 0;
    std::uint32_t held = 0;
    state::Instant expiry{ 0 };
    /// No credit is expected before this time.
    state::Instant emptyUntil{ 0 };
  };

  void RecordDemand(state::Instant aNow);

  /// Takes credit for one request.
  std::optional<Credit> Take(state::Instant aNow);

  /// The request did not run. Credit of an ended term is not given back.
  void GiveBack(const Credit& aCredit, state::Instant aNow);

  /// The limit was lowered to this fraction of what it was.
  void Shrink(double aFraction);

  /// @return unused credit of all parts.
  std::uint32_t Held(state::Instant aNow) const;

  /// How much the node should hold to rarely wait for credit: recent demand
  /// over the time until the next ask.
  std::uint32_t Target(state::Instant aNow) const;

  /// @return true if credit should be asked for before it is needed.
  bool IsLow(state::Instant aNow) const;

  /// @return true if it is low and runs out before the next usual ask.
  bool IsUrgent(state::Instant aNow) const;

  /// @return true if it holds nothing and saw no request for some time.
  bool IsIdle(state::Instant aNow) const;

  /// The lender had nothing to lend ahead of need.
  void DeferAhead(state::Instant aNow);

  Lot& LotOf(std::uint32_t aPart) { return lots_[aPart]; }
  const Lot& LotOf(std::uint32_t aPart) const { return lots_[aPart]; }

  /// Requests that wait for credit.
  std::uint32_t waiting = 0;
  /// An ask for this account has no answer yet.
  bool isAsking = false;

private:
  double Demand(state::Instant aNow) const;

  std::array<Lot, kParts> lots_;
  /// Decaying count of requests.
  double recent_ = 0;
  state::Instant countedAt_{ 0 };
  state::Instant nextAhead_{ 0 };
};

} // namespace teaselhold::coordination::quotas
