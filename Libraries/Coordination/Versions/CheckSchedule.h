#pragma once

#include "Coordination/RandomSource.h"
#include "State/Instant.h"

#include <cstddef>

namespace teaselhold::coordination {

/// Decides when this node checks the store for a newer version of the
/// configuration. The nodes of a fleet tell each other when the store was last
/// checked, and each has a turn: the first node in their order checks soon
/// after the last check, the next ones only if it did not. So the fleet checks
/// at intervals that are short and bounded, with few calls, whichever nodes are
/// lost. Touches neither network nor clock. Not thread-safe.
class CheckSchedule
{
public:
  explicit CheckSchedule(RandomSource& aRandom)
    : random_(aRandom)
  {
  }

  /// What the turn of a node depends on.
  struct Place
  {
    /// How many nodes come before it in the common order.
    std::size_t position = 0;
    /// The number of nodes.
    std::size_t nodes = 0;
    /// It follows the changes of others, so a check that finds a version costs
    /// it a read of the whole configuration.
    bool isFollowing = false;
  };

  /// Sets the turn of this node.
  /// @param aBound the time within which a version must be in force.
  void SetTurn(const Place& aPlace, state::Duration aBound);

  /// Lets this node check at a fixed interval, as long as it does not know its
  /// turn.
  void SetInterval(state::Duration aInterval);

  /// Records that this node begins a check.
  void OnAttempt(state::Instant aNow);

  /// Records that the store was checked at this time, by any node.
  void OnCheck(state::Instant aTime);

  /// Returns when the store was last checked; the epoch if that is not known.
  state::Instant LastCheck() const { return lastCheck_; }

  /// Requests a check by this node, whenever the store was last checked.
  void Request() { isRequested_ = true; }
  bool IsRequested() const { return isRequested_; }

  /// Returns whether it is this node's turn.
  bool IsDue(state::Instant aNow) const;

private:
  void SetRange(state::Duration aEarliest, state::Duration aLatest);
  void Draw();

  RandomSource& random_;
  state::Instant lastCheck_{ 0 };
  state::Instant lastAttempt_{ 0 };
  /// From the last check to the next one of this node, drawn between these.
  state::Duration earliest_{ 0 };
  state::Duration latest_{ 0 };
  state::Duration wait_{ 0 };
  bool isRequested_ = false;
};

} // namespace teaselhold::coordination
