#pragma once

#include "Coordination/ConfigurationChangeLog.h"
#include "Coordination/NodeEvents.h"

#include <set>

namespace teaselhold::coordination {

/// Asks other nodes for the changes that lead to the version that they have in
/// force. A node that knows of a newer version thus gets it also when the
/// store's answers do not reach it, and without reading a large configuration
/// whole. Not thread-safe.
class PeerChanges
{
public:
  /// Asks nodes. Answers to earlier questions no longer count.
  /// @param aAddresses their data addresses.
  /// @param aActive the generation in force here.
  void Ask(const std::vector<std::string>& aAddresses,
           state::Generation aActive,
           state::Instant aNow,
           Commands& aCommands);

  /// Returns true once after each Ask() that brought nothing newer: no node
  /// could be asked, all have answered, or one has not for some time.
  bool TakeFailed(state::Instant aNow);

  /// Processes an answer.
  /// @return its changes if they lead to a version newer than aActive.
  std::optional<ConfigurationChangeLog> OnAnswer(const ChangesAnswered& aAnswer,
                                                 state::Generation aActive);

private:
  std::set<std::uint64_t> open_;
  /// When Ask() has failed at the latest; empty once that was told, or a node
  /// had newer changes.
  std::optional<state::Instant> failTime_;
  std::uint64_t nextCall_ = 1;
};

} // namespace teaselhold::coordination
