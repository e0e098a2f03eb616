#pragma once

#include "Services/teaselholdd/Clock.h"
#include "Services/teaselholdd/HttpHeaders.h"
#include "Services/teaselholdd/RolloutExchange.h"
#include "State/Configuration.h"

#include <functional>
#include <optional>

namespace teaselhold::daemon {

/// Tells other nodes in each message the newest configuration generation that
/// this node knows, in force here or learnt from them, so that the number
/// spreads faster than the version itself. Used on the data thread.
class VersionExchange
{
public:
  /// Called with the newest generation that other nodes know: at once when it
  /// rises, and otherwise about once a second while messages arrive.
  using Sink = std::function<void(state::Generation)>;

  VersionExchange(const Clock& aClock,
                  Sink aSink,
                  coordination::RolloutGateOptions aRollouts,
                  RolloutExchange::Sink aRolloutSink)
    : clock_(aClock)
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

private:
  const Clock& clock_;
  Sink sink_;
  RolloutExchange rollouts_;
  state::Generation newest_ = 0;
  state::Instant nextReport_{ 0 };
};

} // namespace teaselhold::daemon
