#pragma once

#include "State/Instant.h"

#include <cstddef>
#include <deque>

namespace teaselhold::coordination {

/// Lets an observer doubt itself before it doubts others: one that was paused,
/// or that sees many nodes fail at once, may itself be what fails. It then
/// marks nodes down only when another node confirms each of them.
class ObserverCheck
{
public:
  /// The loop of this node was late by more than its limit.
  void OnLate(state::Instant aNow) { doubtUntil_ = aNow + kWindow; }

  /// @param aIsConfirmed another node got no answer either.
  /// @param aHasHelpers other nodes were asked; if none of them said anything,
  /// this observer is probably cut off.
  /// @param aPopulation the nodes that this observer watches.
  bool MayMark(bool aIsConfirmed,
               bool aHasHelpers,
               std::size_t aPopulation,
               state::Instant aNow)
  {
    while (!marks_.empty() && aNow - marks_.front() > kWindow) {
      marks_.pop_front();
    }
    if (aIsConfirmed || aHasHelpers) {
      return aIsConfirmed;
    }
    const bool isMany =
      (marks_.size() + 1) * 100 > aPopulation * kMaxPercentInWindow;
    return aNow >= doubtUntil_ && !isMany;
  }

  void Marked(state::Instant aNow) { marks_.push_back(aNow); }

private:
  static constexpr state::Duration kWindow = std::chrono::seconds(5);
  static constexpr std::size_t kMaxPercentInWindow = 30;

  std::deque<state::Instant> marks_;
  state::Instant doubtUntil_{ 0 };
};

} // namespace teaselhold::coordination
