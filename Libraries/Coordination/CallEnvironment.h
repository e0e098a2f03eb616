#pragma once

#include "Coordination/CallPolicy.h"
#include "Coordination/CallerDeadlines.h"
#include "Coordination/RetryBudget.h"
#include "Coordination/Rollouts/RolloutGate.h"
#include "Coordination/Room/NestedRoutes.h"
#include "Coordination/RouteAverages.h"
#include "Coordination/Router.h"
#include "Coordination/SharedClaimState.h"
#include "Coordination/TargetPicker.h"

namespace teaselhold::coordination {

/// State shared by all calls that one node receives from callers. Not
/// thread-safe.
struct CallEnvironment
{
  CallEnvironment(RouterOptions aOptions,
                  std::uint64_t aIncarnation,
                  std::string aService)
    : claims(aOptions.node, aIncarnation)
    , service(std::move(aService))
    , random(
        static_cast<std::minstd_rand::result_type>(aOptions.randomSeed + 1))
    , targets(aOptions.randomSeed + 2)
    , router(std::move(aOptions))
  {
  }

  RetryBudget budget;
  SharedClaimState claims;
  /// The service of the upstream beside this node; calls may reach only its
  /// dependencies and entry services. Empty if there is no upstream, which
  /// leaves the entry services only.
  std::string service;
  std::minstd_rand random;
  TargetPicker targets;
  CallPolicy policy;
  CallerDeadlines callerDeadlines;
  ServiceTimes serviceTimes;
  AnswerSizes answerSizes;
  NestedRoutes nestedRoutes;
  Router router;
  /// nullptr if there are no roll-outs.
  RolloutGate* rollouts = nullptr;
};

} // namespace teaselhold::coordination
