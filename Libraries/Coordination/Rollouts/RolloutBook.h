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

  bool IsFinal() const
  {
    return stored == protocol::RolloutState::Completed ||
           stored == protocol::RolloutState::RolledBack;
  }

  /// @return the stored state, or "ordered" if there is none.
  std::string_view StateName() const;

  /// Compares everything but the times.
  bool IsSame(const Rollout& aOther) const;
};

/// The newest roll-out of each service. Knowledge from the store, from other
/// nodes and from this node is merged in any order with the same result: a
/// later order replaces an earlier one, a state of a higher revision an earlier
/// one, and a node's finding that the version is bad is never taken back.
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

  /// @return true if the service has a roll-out and it was not known as bad.
  bool MarkBad(const std::string& aService, std::uint64_t aOrder);

  /// @return nullptr if there is no order for the service.
  const Rollout* Find(std::string_view aService) const;

  bool IsEmpty() const { return rollouts_.empty(); }
  std::vector<Rollout> All() const;

  /// @return a number that differs for books that differ in more than times.
  std::uint32_t Digest() const;

private:
  std::map<std::string, Rollout, std::less<>> rollouts_;
};

/// Formats roll-outs for the header that carries them between nodes.
std::string
FormatRollouts(const std::vector<Rollout>& aRollouts, state::Instant aNow);

/// @return the well-formed roll-outs in the text.
std::vector<Rollout>
ParseRollouts(std::string_view aText, state::Instant aNow);

} // namespace teaselhold::coordination
