#pragma once

#include "Coordination/RetryDelay.h"
#include "State/RequestClass.h"

#include <string>
#include <vector>

namespace teaselhold::model {

/// The load of one route. All routes lead to the same service.
struct RouteLoad
{
  std::string name;
  state::RequestClass requestClass = state::RequestClass::Lookup;
  bool isIdempotent = true;
  /// Rate of first requests of callers, as a total over all nodes.
  double requestsPerSecond = 0;
  /// Mean time that a request occupies a slot. The times are distributed
  /// uniformly from half of it to one and a half times it.
  state::Duration serviceTime{ 0 };
  state::Duration objective{ 0 };
  state::Duration timeout{ 0 };
  /// Time within which a caller needs a response, from its first request on.
  state::Duration deadline{ 0 };
  /// Maximum number of retries of a caller after refusals.
  unsigned retries = 0;
  /// Value of a response within the latency objective, and of a later one.
  double inTimeValue = 1;
  double lateValue = 0;
};

/// A period in which the request rate is multiplied by a factor.
struct Burst
{
  double factor = 1;
  state::Duration from{ 0 };
  state::Duration until{ 0 };
};

/// One service with a node beside each upstream. Callers send to these nodes.
struct Scenario
{
  unsigned nodes = 4;
  unsigned slots = 12;
  /// One-way latency of a message between two nodes.
  state::Duration hopLatency = std::chrono::milliseconds(1);
  state::Duration duration = std::chrono::seconds(30);
  Burst burst;
  /// Fraction of the callers that retry without delay. These have four times as
  /// many retries.
  double impatientShare = 0;
  coordination::RetryDelayPolicy retryDelays;
  std::vector<RouteLoad> routes;
  std::uint64_t seed = 1;
};

/// Results of the callers of one route. Each caller counts once, however many
/// requests it sent.
struct RouteResult
{
  unsigned callers = 0;
  unsigned inTime = 0;
  unsigned late = 0;
  /// Callers that were refused and had no retry or no time left.
  unsigned refused = 0;
  /// Refused retries.
  unsigned refusedAgain = 0;
  /// Callers that got neither a response nor a refusal.
  unsigned unknown = 0;
};

struct ModelResult
{
  std::vector<RouteResult> routes;
  /// Value of all responses as a fraction of the value if all were in time.
  double credit = 0;
  /// Fraction of the callers that got a response, in time or late.
  double served = 0;
};

} // namespace teaselhold::model
