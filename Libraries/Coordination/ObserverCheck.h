#pragma once

#include "State/Instant.h"

#include <cstddef>
#include <deque>

namespace teaselhold::coordination {

/// Decides whether this node may mark a silent node down. If other nodes were
/// available for indirect probes, one of them must have got no answer either.
/// Without such nodes, the fault may be this node's own: it then marks no node
/// for kWindow after its event loop was late, and at most kMaxMarkedPercent
/// percent of the watched nodes per kWindow.
class ObserverCheck
{
public:
  /// Called when this node's event loop was late by more than its limit.
  void OnEventLoopLate(state::Instant aNow)
  {
    suspendedUntil_ = aNow + kWindow;
  }

  /// @param aIsConfirmed another node got no answer either.
  /// @param aHasHelpers other nodes were available for indirect probes. If none
  /// of them confirms, this node is probably cut off.
  /// @param aPopulation number of nodes that this node watches.
  bool MayMarkDown(bool aIsConfirmed,
                   bool aHasHelpers,
                   std::size_t aPopulation,
                   state::Instant aNow)
  {
    while (!markTimes_.empty() && aNow - markTimes_.front() > kWindow) {
      markTimes_.pop_front();
    }
    if (aIsConfirmed || aHasHelpers) {
      return aIsConfirmed;
    }
    const bool isMany =
      (markTimes_.size() + 1) * 100 > aPopulation * kMaxMarkedPercent;
    return aNow >= suspendedUntil_ && !isMany;
  }

  void RecordMark(state::Instant aNow) { markTimes_.push_back(aNow); }

private:
  static constexpr state::Duration kWindow = std::chrono::seconds(5);
  static constexpr std::size_t kMaxMarkedPercent = 30;

  std::deque<state::Instant> markTimes_;
  state::Instant suspendedUntil_{ 0 };
};

} // namespace teaselhold::coordination
