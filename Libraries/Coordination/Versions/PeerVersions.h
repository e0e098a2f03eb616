#pragma once

#include "State/Configuration.h"
#include "State/Instant.h"

namespace teaselhold::coordination {

/// Learns from the requests and answers of other nodes that a newer version of
/// the configuration exists. A watch of the store may miss a change without an
/// error, so without this each node has to poll the store for itself; with it,
/// the nodes of the fleet share the polls. Not thread-safe.
class PeerVersions
{
public:
  /// Records the newest generation that another node knows.
  void OnSeen(state::Generation aGeneration, state::Instant aNow);

  /// Returns whether this node hears from other nodes, so that a version that
  /// one of them has found would be known here.
  bool IsHearing(state::Instant aNow) const;

  /// Returns the newest generation that another node knew of; 0 if none did.
  state::Generation Newest() const { return newest_; }

  /// Returns whether the store should be asked for a newer version: another
  /// node knows of one, and this node did not get it in the usual way in time.
  /// For the same generation it is due again after twice the time, and so on.
  /// @param aActive the generation in force here.
  /// @param aUsualTime how long the usual way takes.
  bool TakeCheckDue(state::Generation aActive,
                    state::Duration aUsualTime,
                    state::Instant aNow);

private:
  state::Generation newest_ = 0;
  /// When newest_ was first seen.
  state::Instant newestSince_{ 0 };
  /// How often the store was asked for newest_.
  unsigned checks_ = 0;
  state::Instant lastSeen_ = state::Instant::min();
};

} // namespace teaselhold::coordination
