#pragma once

#include "Coordination/ControlMessages.h"
#include "Coordination/EndpointDistribution.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/PeerDirectory.h"
#include "Coordination/RandomSource.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// The leaf's side of an attachment: finds a relay, attaches to it, sends it
/// heartbeats, and looks for another one when it stops answering.
class Attachment
{
public:
  Attachment(const NodeOptions& aOptions,
             EndpointDistribution& aEndpoints,
             RandomSource& aRandom);

  /// Starts to look for a relay. The endpoint table is kept meanwhile.
  void Join(state::Instant aNow);

  /// Ends the attachment because this node became a relay.
  void Stop();

  void Tick(const StepContext& aStep);

  void OnAttachAnswer(const wire::Envelope& aEnvelope,
                      const StepContext& aStep);
  void OnHeartbeatAnswer(const wire::Envelope& aEnvelope,
                         const StepContext& aStep);

  /// Adds a relay to the candidates or updates it. Ignores new relays if the
  /// list is full.
  void AddRelay(const wire::RelayAddress& aRelay);

  /// Restarts the timeout of the relay after this node's event loop was late.
  void OnEventLoopLate(state::Instant aNow);

  /// Schedules a heartbeat that sends the changed reach to the relay.
  void OnReachChanged()
  {
    isReachDue_ = true;
    isReachSent_ = false;
  }

  void SetRefusal(state::Generation aGeneration, const std::string& aReason);

  /// Returns true if no relay accepted this node in kRoundsBeforeRelayRole
  /// rounds, or if its relay asked it to become a relay.
  bool WantsRelayRole() const { return wantsRelayRole_; }

  const std::optional<Peer>& Relay() const { return relay_; }

  /// Returns the candidates that are known to be relays.
  std::vector<wire::RelayAddress> KnownRelays() const;

  /// Returns the control addresses of all known relays and seeds.
  std::vector<std::string> ContactAddresses() const;

private:
  struct Candidate
  {
    wire::RelayAddress relay;
    bool isSeed = false;
    bool isTried = false;
  };

  void TryNextCandidate(const StepContext& aStep);
  Candidate* PickCandidate();
  void EndRound(state::Instant aNow);
  void SendAttach(const std::string& aAddress, const StepContext& aStep);
  void SendHeartbeat(const StepContext& aStep);
  void OnAccepted(const wire::Envelope& aEnvelope, const StepContext& aStep);

  const NodeOptions& options_;
  EndpointDistribution& endpoints_;
  RandomSource& random_;
  /// Keyed by control address.
  std::map<std::string, Candidate> candidates_;
  bool isJoining_ = false;
  bool wantsRelayRole_ = false;
  std::string attemptAddress_;
  state::Instant attemptDeadline_{ 0 };
  state::Instant nextAttempt_{ 0 };
  unsigned failedRounds_ = 0;
  bool isAnyRelayBusy_ = false;
  state::Duration backOff_{ 0 };

  std::optional<Peer> relay_;
  state::Instant lastAnswer_{ 0 };
  state::Instant nextHeartbeat_{ 0 };
  state::Instant nextPull_{ 0 };
  std::uint64_t lastHeartbeatNumber_ = 0;
  std::uint64_t knownSequence_ = 0;
  std::uint64_t sentSequence_ = 0;
  std::uint64_t reachHeartbeatNumber_ = 0;
  bool isReachDue_ = false;
  bool isReachSent_ = false;
  state::Generation refusedGeneration_ = 0;
  std::string refusedReason_;
  bool isRefusalDue_ = false;
};

} // namespace teaselhold::coordination
