#pragma once

#include "Coordination/NodeEvents.h"
#include "Coordination/PeerDirectory.h"

#include <optional>
#include <vector>

namespace teaselhold::coordination {

/// One request for a version.
struct PullRequest
{
  Peer source;
  /// The sender wants the whole text, because a delta did not fit.
  bool wantsFullText = false;
};

/// Decides from which peer to pull and when to ask another one. At most one
/// pull is open at a time.
class ConfigurationPuller
{
public:
  /// A peer has a version that this node lacks.
  /// @return the request to send now, if any.
  std::optional<PullRequest> Want(state::Generation aGeneration,
                                  const Peer& aSource,
                                  state::Instant aNow);

  /// The answer of aSource was of no use.
  /// @return the request for the whole text, unless the attempts are used up.
  std::optional<PullRequest> Reject(state::Generation aGeneration,
                                    const Peer& aSource,
                                    state::Instant aNow);

  /// @return the request to send if the open one got no answer in time.
  std::optional<PullRequest> Retry(state::Instant aNow);

  /// Closes the pull if it is satisfied by aHeld.
  void OnHeld(state::Generation aHeld);

  bool IsOpen() const { return !sources_.empty(); }

private:
  std::optional<PullRequest> Send(state::Instant aNow);

  state::Generation wanted_ = 0;
  std::vector<Peer> sources_;
  std::size_t next_ = 0;
  std::size_t attempts_ = 0;
  bool wantsFullText_ = false;
  state::Instant timeout_{ 0 };
};

} // namespace teaselhold::coordination
