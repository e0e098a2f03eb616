#pragma once

#include "Coordination/RandomSource.h"
#include "Coordination/Versions/PeerChanges.h"
#include "Coordination/Versions/PeerVersions.h"
#include "State/EndpointTable.h"

namespace teaselhold::coordination {

/// How a node stands with its own way to new versions.
struct VersionProgress
{
  /// The generation in force; 0 if there is none.
  state::Generation active = 0;
  /// The newest one that was in force or refused.
  state::Generation known = 0;
  /// How long the node's own way takes for a version that others have.
  state::Duration usualTime{ 0 };
  /// It learns of versions by the changes that readers write.
  bool isFollowing = false;
  /// The data address of a reader that is known to be alive; empty if none is.
  std::string reader;
  /// Since when its watch of the store has been pending; nullopt if none is.
  std::optional<state::Instant> watchingSince;
  /// How long a pending watch may take to report a version that others have.
  state::Duration reportTime{ 0 };
  /// Its calls of the store are held back.
  bool isHeldBack = false;
};

/// Gets the versions from other nodes that they know of and that did not reach
/// this node in its own way: notices that one is missing, and asks for the
/// changes that lead to it. Not thread-safe.
class PeerCatchUp
{
public:
  PeerCatchUp(std::string aOwnNode, RandomSource& aRandom)
    : ownNode_(std::move(aOwnNode))
    , random_(aRandom)
  {
  }

  /// Records the newest generation that another node knows.
  void OnSeen(state::Generation aGeneration, state::Instant aNow)
  {
    versions_.OnSeen(aGeneration, aNow);
  }

  /// Returns the newest generation that another node knew of; 0 if none did.
  state::Generation Newest() const { return versions_.Newest(); }

  /// Asks other nodes if a version is missing for too long.
  /// @return true if they had nothing newer, so that the store is to be asked.
  bool Tick(const VersionProgress& aProgress,
            const state::EndpointTable& aNodes,
            state::Instant aNow,
            Commands& aCommands);

  /// Processes the answer of another node.
  /// @return its changes if they lead to a version newer than aActive.
  std::optional<ConfigurationChangeLog> OnAnswer(const ChangesAnswered& aAnswer,
                                                 state::Generation aActive)
  {
    return changes_.OnAnswer(aAnswer, aActive);
  }

private:
  /// How long a version may be missing before other nodes are asked for it.
  state::Duration WaitFor(const VersionProgress& aProgress);
  std::vector<std::string> SelectNodes(const std::string& aReader,
                                       const state::EndpointTable& aNodes);
  void Log(const VersionProgress& aProgress, Commands& aCommands) const;

  std::string ownNode_;
  RandomSource& random_;
  PeerVersions versions_;
  PeerChanges changes_;
};

} // namespace teaselhold::coordination
