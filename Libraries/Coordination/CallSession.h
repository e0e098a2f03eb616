#pragma once

#include "Coordination/CallTypes.h"
#include "Coordination/Router.h"
#include "Coordination/RoutingSnapshot.h"

#include <string>
#include <variant>
#include <vector>

namespace teaselhold::coordination {

/// What the node that a caller reached knows of one request.
struct CallFacts
{
  std::string method;
  std::string target;
  std::string tenant;
  /// Empty if the caller gave none.
  std::string idempotencyKey;
  std::uint64_t fingerprint = 0;
  /// The caller's own deadline, or Instant::max() if it gave none.
  state::Instant deadline = state::Instant::max();
  unsigned depth = 0;
  /// Retries that the calls above this one have left.
  unsigned retriesLeft = 2;
};

/// Send the request to this endpoint.
struct Attempt
{
  state::EndpointRecord endpoint;
  state::Instant deadline;
  unsigned retriesLeft = 0;
};

/// Answer the caller.
struct Respond
{
  Outcome outcome;
};

using CallStep = std::variant<Attempt, Respond>;

/// Decides the steps of one call: which upstream, whether to try again, what
/// to tell the caller.
class CallSession
{
public:
  CallSession(CallFacts aFacts,
              RoutingSnapshotPointer aSnapshot,
              Router& aRouter);

  CallStep Start(state::Instant aNow);

  /// Takes the outcome of the last attempt.
  CallStep Finish(const Outcome& aOutcome, state::Instant aNow);

  /// @return nullptr before a route was found.
  const state::RouteSpec* Route() const { return route_; }

private:
  CallStep Next(state::Instant aNow);

  CallFacts facts_;
  RoutingSnapshotPointer snapshot_;
  Router& router_;
  const state::RouteSpec* route_ = nullptr;
  state::Instant deadline_{ 0 };
  std::vector<std::string> tried_;
  std::string current_;
  Outcome lastOutcome_ = NotRun{ NotRunReason::NoUpstream };
};

} // namespace teaselhold::coordination
