#pragma once

#include "Coordination/NodeEvents.h"
#include "Services/teaselholdd/Clock.h"
#include "Services/teaselholdd/HttpHeaders.h"
#include "Services/teaselholdd/RolloutExchange.h"
#include "State/Configuration.h"

#include <algorithm>
#include <functional>
#include <optional>

namespace teaselhold::daemon {

/// Tells other nodes in each message the newest configuration generation that
/// this node knows, in force here or learnt from them, so that the number
/// spreads faster than the version itself. Where keys have to be verified,
/// answers also tell how long ago which version was the newest, so that few
/// reads of the store serve all nodes. Used on the data thread.
class VersionExchange
{
public:
  /// Called with what other nodes know: at once when the generation rises, the
  /// attestation is much younger or another check of the store was made, and
  /// otherwise about once a second while messages arrive.
  using Sink = std::function<void(const coordination::PeerVersionSeen&)>;

  VersionExchange(const Clock& aClock,
                  coordination::KeyRule aKeyRule,
                  Sink aSink,
                  coordination::RolloutGateOptions aRollouts,
                  RolloutExchange::Sink aRolloutSink)
    : clock_(aClock)
    , keyRule_(aKeyRule)
    , sink_(std::move(aSink))
    , rollouts_(aClock, aRollouts, std::move(aRolloutSink))
  {
  }

  /// The software versions that services move to, told in the same messages.
  RolloutExchange& Rollouts() { return rollouts_; }

  /// Sets the generation in force here.
  void SetOwn(state::Generation aGeneration);

  /// Writes the newest known generation into a message to another node.
  void Tell(HttpFields& aMessage) const;

  /// Takes what a message from another node says.
  void Learn(const HttpFields& aMessage);

  /// Takes what a read of this node said of the newest version.
  void Add(const coordination::Attestation& aAttestation)
  {
    attestations_.Add(aAttestation);
  }

  /// Writes into an answer which version was the newest.
  void TellAttested(HttpFields& aAnswer, state::Instant aArrived) const;

  /// Takes what another node's answer says of it. One-way messages may have
  /// been delayed and say nothing about it.
  /// @param aSent when the request was sent.
  void LearnAttested(const HttpFields& aAnswer, state::Instant aSent);

  /// Takes that this node checked the store for a newer version at this time.
  void AddCheck(state::Instant aTime) { checked_ = std::max(checked_, aTime); }

  /// Writes into an answer when the store was last checked.
  void TellChecked(HttpFields& aAnswer, state::Instant aArrived) const;

  /// Takes what another node's answer says of it, as with LearnAttested().
  /// @param aSent when the request was sent.
  void LearnChecked(const HttpFields& aAnswer, state::Instant aSent);

  /// @param aActive the generation in force.
  bool MayUseKeys(state::Generation aActive, state::Instant aNow) const
  {
    return keyRule_.MayUseKeys(attestations_, aActive, aNow);
  }

private:
  const Clock& clock_;
  coordination::KeyRule keyRule_;
  coordination::Attestations attestations_;
  Sink sink_;
  RolloutExchange rollouts_;
  state::Generation newest_ = 0;
  state::Instant nextReport_{ 0 };
  /// The time of the last attestation that was reported.
  state::Instant reported_{ 0 };
  /// When the store was last checked; the epoch if that is not known.
  state::Instant checked_{ 0 };
  state::Instant reportedCheck_{ 0 };
};

} // namespace teaselhold::daemon
