#pragma once

#include "Coordination/NodeEvents.h"
#include "Coordination/Rollouts/RolloutGate.h"
#include "Services/teaselholdd/Clock.h"
#include "Services/teaselholdd/HttpHeaders.h"

#include <functional>

namespace teaselhold::daemon {

/// Carries roll-outs and the evidence for them between nodes, in the headers of
/// the messages that they exchange anyway. Used on the data thread.
class RolloutExchange
{
public:
  using Sink = std::function<void(coordination::RolloutsSeen)>;

  RolloutExchange(const Clock& aClock,
                  coordination::RolloutGateOptions aOptions,
                  Sink aSink)
    : clock_(aClock)
    , gate_(aOptions)
    , sink_(std::move(aSink))
  {
  }

  coordination::RolloutGate& Gate() { return gate_; }

  /// Takes what the control plane knows.
  void Set(const std::vector<coordination::Rollout>& aRollouts);

  /// Writes into a message to another node what it may not know: the roll-outs
  /// after a change and while others know different ones, else their digest.
  void Tell(HttpFields& aMessage) const;

  /// Takes what a message from another node says.
  void Learn(const HttpFields& aMessage);

  /// Writes the order and the route into a request to the node beside an
  /// upstream.
  void MarkRequest(HttpFields& aRequest,
                   const std::string& aService,
                   std::string_view aRoute,
                   std::uint64_t aOrder) const;

  /// @return true if the upstream beside this node must not get the request.
  bool IsRefused(const HttpFields& aRequest,
                 const std::string& aService,
                 const std::string& aVersion) const;

  /// Counts a run of the upstream beside this node.
  /// @param aLabel the route's label from the request; empty if nobody asks.
  void RecordRun(std::string_view aLabel,
                 const coordination::Outcome& aOutcome,
                 std::optional<state::Duration> aTime);

  /// The upstream beside this node is another one than before.
  void ForgetRuns() { evidence_.Clear(); }

  /// Writes the evidence of the upstream beside this node into an answer.
  void Report(HttpFields& aAnswer, const std::string& aService);

  /// Takes the evidence that came with an answer.
  void LearnEvidence(const state::EndpointRecord& aUpstream,
                     const HttpFields& aAnswer);

  /// Judges versions. Call it at each message; most calls do nothing.
  void Tick();

private:
  void Announce();

  const Clock& clock_;
  coordination::RolloutGate gate_;
  Sink sink_;
  coordination::VersionEvidence evidence_;
  state::Instant nextTick_{ 0 };
  state::Instant tellAllUntil_{ 0 };
};

} // namespace teaselhold::daemon
