#pragma once

#include "Coordination/NodeEvents.h"
#include "Coordination/PeerDirectory.h"

#include <optional>
#include <vector>

namespace teaselhold::coordination {

/// A request for a version, to be sent to source.
struct PullRequest
{
  Peer source;
  /// Asks for the full text, because the received data could not be used.
  bool wantsFullText = false;
};

/// Decides which peer to pull a version from and when to try another one. At
/// most one pull is open at a time.
class ConfigurationPuller
{
public:
  /// Records that a peer has a version that this node lacks.
  /// @return the request to send now, if any.
  std::optional<PullRequest> OnVersionOffered(state::Generation aGeneration,
                                              const Peer& aSource,
                                              state::Instant aNow);

  /// Records that the data from aSource could not be used.
  /// @return the request for the full text, unless it is already pending or the
  /// attempts are exhausted.
  std::optional<PullRequest> OnUnusableData(state::Generation aGeneration,
                                            const Peer& aSource,
                                            state::Instant aNow);

  /// @return the request to send next if the open one timed out.
  std::optional<PullRequest> Retry(state::Instant aNow);

  /// Closes the pull if this node now holds the requested version or a newer
  /// one.
  void OnHeld(state::Generation aHeld);

  bool IsOpen() const { return !sources_.empty(); }

private:
  std::optional<PullRequest> Send(state::Instant aNow);

  state::Generation requestedGeneration_ = 0;
  std::vector<Peer> sources_;
  std::size_t nextSource_ = 0;
  std::size_t attempts_ = 0;
  bool wantsFullText_ = false;
  state::Instant answerDeadline_{ 0 };
};

} // namespace teaselhold::coordination
