#pragma once

#include "Coordination/ConfigurationChangeLog.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/RandomSource.h"

namespace teaselhold::coordination {

/// Asks other nodes when the store was last checked, and for a newer version if
/// they have one, where no messages of other nodes tell it: a node that few
/// requests reach would otherwise have to check for itself. Not thread-safe.
class CheckNews
{
public:
  explicit CheckNews(RandomSource& aRandom)
    : random_(aRandom)
  {
  }

  /// Nodes that may know of a later check, by their data addresses.
  struct Nodes
  {
    /// One that reads and is known to be alive; empty if none is known.
    std::string reader;
    /// Those that check before this node, in this order.
    const std::vector<std::string>& before;
  };

  /// Asks a node if the last known check is too long ago: in turn the reader,
  /// or one of those that check first, and any other one in case they are lost.
  /// @param aActive the generation in force here.
  /// @param aBound the time within which a version must be in force.
  void Tick(state::Instant aLastCheck,
            const Nodes& aNodes,
            state::Generation aActive,
            state::Duration aBound,
            state::Instant aNow,
            Commands& aCommands);

  /// Processes an answer.
  /// @return its changes if they lead to a version newer than aActive.
  static std::optional<ConfigurationChangeLog> OnAnswer(
    const ChangesAnswered& aAnswer,
    state::Generation aActive);

  /// The number of all its calls: any answer is welcome. Those of PeerChanges
  /// count from 1.
  static constexpr std::uint64_t kCall = 0;

private:
  const std::string& Choose(const Nodes& aNodes);

  RandomSource& random_;
  state::Instant nextQuestion_{ 0 };
  bool isFirstNext_ = true;
};

} // namespace teaselhold::coordination
