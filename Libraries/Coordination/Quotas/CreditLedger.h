#pragma once

#include "Coordination/Quotas/QuotaMessages.h"

#include <map>
#include <string>

namespace teaselhold::coordination::quotas {

/// A lender's part of the limit of one account. The credit that the ledger has
/// and the unused credit that nodes hold never exceed the part's capacity
/// together, and only time adds to it. So the requests that run in any span are
/// at most capacity + rate x span, however the nodes use what they hold.
/// Answers the loads "hot account" (credit goes to requests that wait, none is
/// reserved for idle nodes) and "many accounts far below their limit" (nodes
/// hold enough for a second or more and rarely ask).
class CreditLedger
{
public:
  /// @param aLentSince since when this node is the lender. Before that another
  ///        node may have lent all there was.
  CreditLedger(const PartLimit& aLimit,
               std::uint64_t aTerm,
               state::Instant aLentSince,
               state::Instant aNow);

  void SetLimit(const PartLimit& aLimit, state::Instant aNow);

  Grant Serve(const std::string& aNode, const Ask& aAsk, state::Instant aNow);

  /// Unused credit, here and at the nodes.
  double Total() const { return available_ + held_; }

private:
  struct Borrower
  {
    double held = 0;
    state::Instant expiry{ 0 };
    state::Instant asked{ 0 };
  };

  void Refill(state::Instant aNow);
  void EndExpired(state::Instant aNow);
  double Capacity(state::Instant aNow) const;
  state::Duration EmptyTime(state::Instant aNow) const;

  PartLimit limit_;
  std::uint64_t term_;
  state::Instant lentSince_;
  double available_ = 0;
  /// The sum over the borrowers.
  double held_ = 0;
  state::Instant refilledAt_;
  state::Instant nextExpiry_ = state::Instant::max();
  std::map<std::string, Borrower> borrowers_;
};

} // namespace teaselhold::coordination::quotas
