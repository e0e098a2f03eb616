#pragma once

#include "Coordination/ReturnTime.h"
#include "State/RequestClass.h"

#include <string>
#include <vector>

namespace teaselhold::model {

/// Requests of one kind, all to the same service.
struct RouteLoad
{
  std::string name;
  state::RequestClass requestClass = state::RequestClass::Lookup;
  bool isIdempotent = true;
  /// First sends of callers, over all nodes.
  double perSecond = 0;
  /// Mean time that a request holds a slot; times vary by half of it.
  state::Duration work{ 0 };
  state::Duration objective{ 0 };
  state::Duration timeout{ 0 };
  /// What callers give a first send.
  state::Duration deadline{ 0 };
  /// How often callers send again after a refusal.
  unsigned retries = 0;
  /// Worth of an answer within the objective, and of a later one.
  double worth = 1;
  double lateWorth = 0;
};

/// More requests than usual for a while.
struct Burst
{
  double factor = 1;
  state::Duration from{ 0 };
  state::Duration until{ 0 };
};

/// One service, the nodes beside its upstreams, and callers at the same nodes.
struct Scenario
{
  unsigned nodes = 4;
  unsigned slots = 12;
  /// Way of a message between two nodes.
  state::Duration hop = std::chrono::milliseconds(1);
  state::Duration length = std::chrono::seconds(30);
  Burst burst;
  /// Share of the callers that return at once, and four times as often.
  double impatientShare = 0;
  coordination::ReturnPolicy returns;
  std::vector<RouteLoad> routes;
  std::uint64_t seed = 1;
};

/// What the callers of one route got. A caller counts once, however often it
/// sent.
struct RouteResult
{
  unsigned callers = 0;
  unsigned inTime = 0;
  unsigned late = 0;
  /// Refused for good, after all of its sends.
  unsigned refused = 0;
  /// Sends that were refused although they had been refused before.
  unsigned refusedAgain = 0;
  /// Answered with neither an answer nor a refusal.
  unsigned unknown = 0;
};

struct ModelResult
{
  std::vector<RouteResult> routes;
  /// Earned of all that was owed, 0 to 1.
  double credit = 0;
  /// Answered in time or late, 0 to 1.
  double served = 0;
};

} // namespace teaselhold::model
