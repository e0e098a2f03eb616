#pragma once

#include "Coordination/CallPolicy.h"
#include "Coordination/CallerDeadlines.h"
#include "Coordination/ClaimKeeper.h"
#include "Coordination/RetryBudget.h"
#include "Coordination/Router.h"
#include "Coordination/ServiceTimes.h"
#include "Coordination/TargetPicker.h"

namespace teaselhold::coordination {

/// What all calls that enter at one node share. Belongs to one thread.
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
  ClaimKeeper claims;
  /// The service of the upstream beside this node, whose reach limits the
  /// calls; empty for none, so that only entry services are reached.
  std::string service;
  std::minstd_rand random;
  TargetPicker targets;
  CallPolicy policy;
  CallerDeadlines callerDeadlines;
  ServiceTimes serviceTimes;
  Router router;
};

} // namespace teaselhold::coordination
