#include "Coordination/ConfigurationPuller.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// Long enough for a text of 1 MB, which is sent by a gRPC call and takes
/// longer than a datagram.
constexpr state::Duration kAnswerTimeout = std::chrono::milliseconds(400);
/// After the last attempt the pull is closed; the next head of a peer opens a
/// new one.
constexpr std::size_t kMaxAttempts = 6;
constexpr std::size_t kMaxSources = 6;

} // namespace

std::optional<PullRequest>
ConfigurationPuller::OnVersionOffered(state::Generation aGeneration,
                                      const Peer& aSource,
                                      state::Instant aNow)
{
  if (IsOpen() && aGeneration <= requestedGeneration_) {
    const bool isKnown =
      std::ranges::find(sources_, aSource.node, &Peer::node) != sources_.end();
    if (aGeneration == requestedGeneration_ && !isKnown &&
        sources_.size() < kMaxSources) {
      sources_.push_back(aSource);
    }
    return std::nullopt;
  }
  requestedGeneration_ = aGeneration;
  sources_ = { aSource };
  nextSource_ = 0;
  attempts_ = 0;
  wantsFullText_ = false;
  return Send(aNow);
}

std::optional<PullRequest>
ConfigurationPuller::OnUnusableData(state::Generation aGeneration,
                                    const Peer& aSource,
                                    state::Instant aNow)
{
  if (!IsOpen() || aGeneration > requestedGeneration_) {
    requestedGeneration_ = aGeneration;
    sources_ = { aSource };
    attempts_ = 0;
  } else if (wantsFullText_ && aNow < answerDeadline_) {
    // A request for the full text is already pending; a duplicated answer must
    // not cause a second one.
    return std::nullopt;
  }
  const auto source = std::ranges::find(sources_, aSource.node, &Peer::node);
  nextSource_ = source == sources_.end()
                  ? 0
                  : static_cast<std::size_t>(source - sources_.begin());
  wantsFullText_ = true;
  return Send(aNow);
}

std::optional<PullRequest>
ConfigurationPuller::Retry(state::Instant aNow)
{
  if (!IsOpen() || aNow < answerDeadline_) {
    return std::nullopt;
  }
  return Send(aNow);
}

void
ConfigurationPuller::OnHeld(state::Generation aHeld)
{
  if (aHeld >= requestedGeneration_) {
    sources_.clear();
  }
}

std::optional<PullRequest>
ConfigurationPuller::Send(state::Instant aNow)
{
  if (attempts_ == kMaxAttempts) {
    sources_.clear();
    return std::nullopt;
  }
  ++attempts_;
  answerDeadline_ = aNow + kAnswerTimeout;
  const auto& source = sources_[nextSource_ % sources_.size()];
  ++nextSource_;
  return PullRequest{ source, wantsFullText_ };
}

} // namespace teaselhold::coordination
