#pragma once

#include "Tests/Coordination/Session.h"

namespace teaselhold::tests {

/// A fleet in which versions are changed, and the checks that hold for it at
/// any time.
class VersionFleet
{
public:
  /// Adds aNodesEach nodes named "a0", "a1", ... in each data centre.
  VersionFleet(std::uint64_t aSeed,
               const std::vector<std::string>& aDataCentres,
               unsigned aNodesEach);

  /// Starts all nodes with generation 1 in the store and runs until it is in
  /// force everywhere and readers watch the store.
  void Settle();

  /// A text that differs from all texts with another aMark.
  static std::string Text(const std::string& aMark);

  /// Asks a node to apply Text(aMark); aMark is also the apply id.
  void Apply(const std::string& aNode,
             const std::string& aMark,
             state::Generation aBase = 0,
             state::Duration aTime = std::chrono::seconds(5));

  /// Writes Text(aMark) to the store behind the nodes' backs.
  void Accept(const std::string& aMark) { session.Accept(Text(aMark)); }

  /// The generation that a node has in force; 0 if none.
  state::Generation Active(const std::string& aNode);
  bool IsRunning(const std::string& aNode);
  bool AllActive(state::Generation aGeneration);
  /// Each change has an outcome.
  bool AreAppliesFinished() const
  {
    return session.applies.size() == marks_.size();
  }
  /// All running nodes have the store's value in force.
  bool IsConverged();
  state::Generation StoreGeneration();

  /// The first node that is a relay, or is not, outside aExcept.
  std::string FindNode(bool aIsRelay, const std::string& aExcept = "");
  std::string FindReader();
  /// A relay of the leaf's data centre that it is not attached to.
  std::string FindOtherRelay(const std::string& aLeaf);

  /// Names every broken promise: a version that went back, an active text that
  /// was never accepted, an accepted change that is lost, or an outcome that
  /// does not match the store.
  std::vector<std::string> Violations();

  /// Adds a line of the versions in force.
  void NoteVersions();

  Session session;

private:
  void CheckTexts(std::vector<std::string>& aViolations);
  void CheckOutcomes(std::vector<std::string>& aViolations);

  std::vector<std::string> marks_;
};

} // namespace teaselhold::tests
