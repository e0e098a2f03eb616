#pragma once

#include "Coordination/Accounts/Attestations.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/RandomSource.h"

namespace teaselhold::coordination {

/// Keeps the keys of a node usable: decides when the node has to ask the store
/// itself because neither its reads nor its peers have told it recently enough
/// that its configuration is the newest. Touches neither network nor clock.
class KeyVerification
{
public:
  /// @param aBound see KeyRule; 0 turns this off.
  KeyVerification(state::Duration aBound, RandomSource& aRandom);

  /// Takes what a read of this node or another node said.
  void Add(const Attestation& aAttestation) { attestations_.Add(aAttestation); }

  /// Logs when keys stop or start to be usable.
  /// @param aConfiguration the one in force.
  /// @return true if the store should be asked now.
  bool Tick(const state::ConfigurationPointer& aConfiguration,
            state::Instant aNow,
            Commands& aCommands);

private:
  void LogState(bool aIsUsable,
                const state::Configuration& aConfiguration,
                state::Instant aNow,
                Commands& aCommands);

  KeyRule rule_;
  RandomSource& random_;
  Attestations attestations_;
  /// The attestation for which pollAge_ was drawn.
  state::Instant drawnFor_ = state::Instant::min();
  state::Duration pollAge_{ 0 };
  std::optional<bool> wasUsable_;
};

} // namespace teaselhold::coordination
