#pragma once

#include "Tests/Coordination/Session.h"

namespace teaselhold::tests {

/// A simulated fleet in which tests change the configuration, with checks of
/// the invariants of its distribution.
class VersionFleet
{
public:
  /// Adds aNodesEach nodes named "a0", "a1", ... in each data centre.
  VersionFleet(std::uint64_t aSeed,
               const std::vector<std::string>& aDataCentres,
               unsigned aNodesEach);

  /// Starts all nodes with generation 1 in the store and runs until that
  /// generation is in force on all of them and readers watch the store.
  void Settle();

  /// Returns a valid configuration text that is unique to aMark.
  static std::string Text(const std::string& aMark);

  /// Asks a node to apply Text(aMark) within aTime. aMark is also the apply id.
  void Apply(const std::string& aNode,
             const std::string& aMark,
             state::Generation aBase = 0,
             state::Duration aTime = std::chrono::seconds(5));

  /// Writes Text(aMark) directly to the store, bypassing the nodes.
  void WriteToStore(const std::string& aMark) { session.Accept(Text(aMark)); }

  /// Returns the generation that a node has in force; 0 if none.
  state::Generation Active(const std::string& aNode);
  bool IsRunning(const std::string& aNode);
  bool AllActive(state::Generation aGeneration);
  /// Returns true if every apply has an outcome.
  bool AreAppliesFinished() const
  {
    return session.finishedApplies.size() == marks_.size();
  }
  /// Returns true if all running nodes have the store's value in force.
  bool IsConverged();
  state::Generation StoreGeneration();

  /// Returns the first node other than aExcept that is a relay or a leaf, as
  /// requested, and not a reader; empty if there is none.
  std::string FindNode(bool aIsRelay, const std::string& aExcept = "");
  std::string FindReader();
  /// Returns a relay in the leaf's data centre to which it is not attached.
  std::string FindOtherRelay(const std::string& aLeaf);

  /// Describes every violated invariant: a node that went back to an older
  /// version, an active text that was never accepted, an accepted change that
  /// was lost, or an outcome that does not match the store.
  std::vector<std::string> Violations();

  /// Adds a line to the transcript with the nodes of each version in force.
  void LogVersions();

  Session session;

private:
  void CheckTexts(std::vector<std::string>& aViolations);
  void CheckOutcomes(std::vector<std::string>& aViolations);

  std::vector<std::string> marks_;
};

} // namespace teaselhold::tests
