#pragma once

#include "State/EndpointRecord.h"
#include "State/EnumNames.h"
#include "State/Instant.h"
#include "State/RequestClass.h"

#include <cstdint>
#include <string>
#include <variant>

namespace teaselhold::coordination {

/// Why a request was certainly not run.
enum class NotRunReason : std::uint8_t
{
  NotReady,
  NoRoute,
  ServiceNotReachable,
  NoUpstream,
  Starting,
  Draining,
  Full,
  Shed,
  TenantLimit,
  DeadlineExceeded,
  DepthExceeded,
  Quarantined,
  ConnectFailed,
  ClaimUnavailable,
  WrongExecutor,
  WrongService,
  BadRequest,
};

inline constexpr std::array<state::EnumName<NotRunReason>, 17>
  kNotRunReasonNames{ {
    { NotRunReason::NotReady, "not-ready" },
    { NotRunReason::NoRoute, "no-route" },
    { NotRunReason::ServiceNotReachable, "service-not-reachable" },
    { NotRunReason::NoUpstream, "no-upstream" },
    { NotRunReason::Starting, "starting" },
    { NotRunReason::Draining, "draining" },
    { NotRunReason::Full, "full" },
    { NotRunReason::Shed, "shed" },
    { NotRunReason::TenantLimit, "tenant-limit" },
    { NotRunReason::DeadlineExceeded, "deadline-exceeded" },
    { NotRunReason::DepthExceeded, "depth-exceeded" },
    { NotRunReason::Quarantined, "quarantined" },
    { NotRunReason::ConnectFailed, "connect-failed" },
    { NotRunReason::ClaimUnavailable, "claim-unavailable" },
    { NotRunReason::WrongExecutor, "wrong-executor" },
    { NotRunReason::WrongService, "wrong-service" },
    { NotRunReason::BadRequest, "bad-request" },
  } };

/// Why the outcome of a request is unknown.
enum class UnknownReason : std::uint8_t
{
  ConnectionLost,
  Timeout,
  PartialAnswer,
  CrossedAnswer,
  UpstreamCrashed,
  ExecutorGone,
};

inline constexpr std::array<state::EnumName<UnknownReason>, 6>
  kUnknownReasonNames{ {
    { UnknownReason::ConnectionLost, "connection-lost" },
    { UnknownReason::Timeout, "timeout" },
    { UnknownReason::PartialAnswer, "partial-answer" },
    { UnknownReason::CrossedAnswer, "crossed-answer" },
    { UnknownReason::UpstreamCrashed, "upstream-crashed" },
    { UnknownReason::ExecutorGone, "executor-gone" },
  } };

/// The upstream's whole answer arrived.
struct Answered
{
  unsigned status = 0;
};

struct NotRun
{
  NotRunReason reason;
};

struct Unknown
{
  UnknownReason reason;
};

using Outcome = std::variant<Answered, NotRun, Unknown>;

} // namespace teaselhold::coordination
