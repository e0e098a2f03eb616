#pragma once

#include "State/Configuration.h"
#include "State/Instant.h"

#include <deque>
#include <optional>

namespace teaselhold::coordination {

/// Learns from the requests and answers of other nodes that a newer version of
/// the configuration exists. A watch of the store may miss a change without an
/// error, so without this each node has to check the store for itself; with it,
/// the nodes of the fleet share the checks. Not thread-safe.
class PeerVersions
{
public:
  /// Records the newest generation that another node knows.
  void OnSeen(state::Generation aGeneration, state::Instant aNow);

  /// Returns the newest generation that another node knew of; 0 if none did.
  state::Generation Newest() const { return newest_; }

  /// Returns when this node first heard of a version that is missing here;
  /// nullopt if none is.
  /// @param aActive the generation in force here.
  std::optional<state::Instant> MissingSince(state::Generation aActive);

  /// Returns whether this node should ask for newer versions: other nodes know
  /// of one, and this node did not get it in the usual way in time. The time
  /// runs from the oldest version that is missing here, however many came after
  /// it. While no newer version comes into force it is due again after twice
  /// the time, and so on.
  /// @param aActive the generation in force here.
  /// @param aUsualTime how long the usual way takes.
  bool TakeCheckDue(state::Generation aActive,
                    state::Duration aUsualTime,
                    state::Instant aNow);

private:
  struct Heard
  {
    state::Generation generation;
    state::Instant time;
  };

  /// Drops the generations that are in force or older.
  void SetActive(state::Generation aActive);

  state::Generation newest_ = 0;
  /// The generations that may be missing here, with the time at which each was
  /// first heard of; oldest first.
  std::deque<Heard> heard_;
  /// How often a check was due since the version in force.
  unsigned checks_ = 0;
  state::Generation active_ = 0;
};

} // namespace teaselhold::coordination
