#pragma once

#include "Coordination/Quotas/QuotaMessages.h"

#include <deque>
#include <map>
#include <string>

namespace teaselhold::coordination::quotas {

/// A lender's part of the limit of one account. What was used in the last
/// window and the unused credit that nodes hold never exceed what the part
/// allows in a window. An account that sends evenly may use all of that in each
/// window, so credit comes back faster than at the limit's rate. The credit at
/// hand is at most the part's capacity, which bounds what a lender that ends
/// leaves to its successor: that begins with none, and for a window lends at
/// the rate only. Answers the loads "hot account" (credit goes to requests that
/// wait, none is reserved for idle nodes) and "many accounts far below their
/// limit" (nodes hold enough for a second or more and rarely ask).
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
  double Total() const { return Available() + held_; }

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
  double Available() const;
  void Spend(double aCredit, state::Instant aNow);
  void Unspend(double aCredit);
  state::Duration EmptyTime(state::Instant aNow) const;

  PartLimit limit_;
  std::uint64_t term_;
  state::Instant lentSince_;
  double available_ = 0;
  /// Credit used in the last window, by when.
  struct Used
  {
    state::Instant time;
    double credit;
  };
  std::deque<Used> used_;
  double usedInWindow_ = 0;
  /// The sum over the borrowers.
  double held_ = 0;
  state::Instant refilledAt_;
  state::Instant nextExpiry_ = state::Instant::max();
  std::map<std::string, Borrower> borrowers_;
};

} // namespace teaselhold::coordination::quotas
