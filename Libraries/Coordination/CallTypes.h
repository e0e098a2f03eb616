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
  /// The peer says on a fresh connection that the request never arrived, and
  /// refuses it if it arrives later.
  NeverArrived,
  /// The executor refuses this send of a keyed request, and every later one
  /// under the same epoch of its claim.
  KeyRefused,
  /// The idempotency key belongs to a request with another content.
  KeyMismatch,
};

inline constexpr std::array<state::EnumName<NotRunReason>, 20>
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
    { NotRunReason::NeverArrived, "never-arrived" },
    { NotRunReason::KeyRefused, "key-refused" },
    { NotRunReason::KeyMismatch, "key-mismatch" },
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
  /// The executor does not remember the key any more, or not the answer.
  Forgotten,
};

inline constexpr std::array<state::EnumName<UnknownReason>, 7>
  kUnknownReasonNames{ {
    { UnknownReason::ConnectionLost, "connection-lost" },
    { UnknownReason::Timeout, "timeout" },
    { UnknownReason::PartialAnswer, "partial-answer" },
    { UnknownReason::CrossedAnswer, "crossed-answer" },
    { UnknownReason::UpstreamCrashed, "upstream-crashed" },
    { UnknownReason::ExecutorGone, "executor-gone" },
    { UnknownReason::Forgotten, "forgotten" },
  } };

/// The upstream's whole answer arrived.
struct Answered
{
  unsigned status = 0;
};

/// The request certainly did not run and will not. For a send with an
/// idempotency key it covers every send that ended before this one began, with
/// two exceptions that cover this send alone: ClaimUnavailable, because the
/// claim was not read, and KeyMismatch.
struct NotRun
{
  NotRunReason reason;
  /// After this time another try may be accepted; 0 if nothing is known.
  state::Duration retryAfter{ 0 };
};

/// The request may have run, may be running or may not have run.
struct Unknown
{
  UnknownReason reason;
};

using Outcome = std::variant<Answered, NotRun, Unknown>;

} // namespace teaselhold::coordination
