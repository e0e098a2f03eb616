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
  /// Asks nodes, unless questions are open.
  /// @param aAddresses their data addresses.
  /// @param aActive the generation in force here.
  void Ask(const std::vector<std::string>& aAddresses,
           state::Generation aActive,
           Commands& aCommands);

  /// Returns whether answers are missing.
  bool IsAsking() const { return !open_.empty(); }

  /// Processes an answer.
  /// @return its changes if they lead to a version newer than aActive.
  std::optional<ConfigurationChangeLog> OnAnswer(const ChangesAnswered& aAnswer,
                                                 state::Generation aActive);

private:
  std::set<std::uint64_t> open_;
  std::uint64_t nextCall_ = 1;
};

} // namespace teaselhold::coordination
