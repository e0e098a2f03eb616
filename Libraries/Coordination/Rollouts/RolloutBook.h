#pragma once

#include "Protocol/RolloutText.h"
#include "State/Instant.h"

#include <map>
#include <vector>

namespace teaselhold::coordination {

/// How far the roll-out of a service is, as one node knows it.
struct Rollout
{
  std::string service;
  std::string target;
  /// Revision of the operator's order; a later order replaces this one.
  std::uint64_t order = 0;
  state::Duration duration{ 0 };
  /// When the order was written, as far as known.
  state::Instant begin{ 0 };
  /// As the store holds it; nothing until a state for this order is there.
  std::optional<protocol::RolloutState> stored;
  /// Revision of the key of the state, which may belong to an earlier order.
  std::uint64_t storedRevision = 0;
  /// Some node found the target version bad. Holds until the next order.
  bool isBad = false;
  /// Positions of this order in earlier eras of the store, as far as known.
  std::vector<std::uint64_t> earlierPositions = {};
  /// Revision within its era of the order that this one replaced.
  std::uint64_t replacedRevision = 0;
  /// The store came back without the state, so it is written again.
  bool isStateLost = false;

  bool IsFinal() const
  {
    return stored == protocol::RolloutState::Completed ||
           stored == protocol::RolloutState::RolledBack;
  }

  /// @return the stored state, or "ordered" if there is none.
  std::string_view StateName() const;

  /// Returns whether a state names this order. In a later era a state of an
  /// earlier one counts if the target is the same.
  bool IsOwn(const protocol::RolloutStatus& aStatus) const;

  /// Returns whether another order is this one, which the store shows or the
  /// operator has written again after the return of an earlier copy.
  bool IsRepeatedBy(const Rollout& aOther) const;

  /// Returns whether another order was replaced by this one and is back with an
  /// earlier copy of the store.
  bool HasReplaced(const Rollout& aOther) const;

  /// Returns whether the state is a later one than that of another roll-out.
  bool IsAheadOf(const Rollout& aOther) const;

  /// Compares everything but the times.
  bool IsSame(const Rollout& aOther) const;
};

/// The newest roll-out of each service. Knowledge from the store, from other
/// nodes and from this node is merged in any order with the same result: a
/// later order replaces an earlier one, a state of a higher revision an earlier
/// one, and a node's finding that the version is bad is never taken back. No
/// return of the store from an earlier copy takes a state back.
class RolloutBook
{
public:
  /// @return true if anything but a time changed.
  bool Merge(const Rollout& aRollout);

  /// Merges what the store holds under the key of a state.
  /// @return true if anything changed.
  bool MergeStored(const std::string& aService,
                   const std::optional<protocol::RolloutStatus>& aStatus,
                   std::uint64_t aRevision);

  /// Records that the store has no state of a service at this position.
  /// @return true if it had one in an earlier era, which is to be written
  /// again.
  bool LoseState(const std::string& aService, std::uint64_t aRevision);

  /// @return true if the service has a roll-out and it was not known as bad.
  bool MarkBad(const std::string& aService, std::uint64_t aOrder);

  /// @return nullptr if there is no order for the service.
  const Rollout* Find(std::string_view aService) const;

  bool IsEmpty() const { return rollouts_.empty(); }
  std::vector<Rollout> All() const;

  /// @return a number that differs for books that differ in more than times.
  std::uint32_t Digest() const;

private:
  static void MergeRepeated(const Rollout& aRollout, Rollout& aKnown);
  static void MergeSame(const Rollout& aRollout, Rollout& aKnown);

  std::map<std::string, Rollout, std::less<>> rollouts_;
};

/// Formats roll-outs for the header that carries them between nodes.
std::string
FormatRollouts(const std::vector<Rollout>& aRollouts, state::Instant aNow);

/// @return the well-formed roll-outs in the text.
std::vector<Rollout>
ParseRollouts(std::string_view aText, state::Instant aNow);

} // namespace teaselhold::coordination
