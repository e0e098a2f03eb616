#pragma once

#include "State/EndpointRecord.h"
#include "State/EnumNames.h"
#include "State/Instant.h"
#include "State/RequestClass.h"

#include <cstdint>
#include <string>
#include <variant>

namespace teaselhold::coordination {

/// Reason why a request is known not to have run.
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
  /// The peer confirmed on a new connection that it never received the
  /// request, and refuses it if it arrives later.
  NeverArrived,
  /// The executor refused this send of a keyed request, and refuses every
  /// later one under the same epoch of its claim.
  KeyRefused,
  /// The idempotency key was already used for a request with different
  /// content.
  KeyMismatch,
  /// The outgoing link of the upstream's host could not send the large answer
  /// in time.
  LinkBusy,
  /// The client account's limit over all nodes is used up.
  QuotaExceeded,
  /// The route needs the key of a client account.
  AccountKeyMissing,
  /// No client account holds the key, or the header that carries it is
  /// malformed.
  AccountKeyUnknown,
  /// This node has not heard recently enough that its configuration is the
  /// newest, so the key may have been withdrawn.
  AccountsUnverified,
};

inline constexpr std::array<state::EnumName<NotRunReason>, 25>
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
    { NotRunReason::LinkBusy, "link-busy" },
    { NotRunReason::QuotaExceeded, "quota-exceeded" },
    { NotRunReason::AccountKeyMissing, "account-key-missing" },
    { NotRunReason::AccountKeyUnknown, "account-key-unknown" },
    { NotRunReason::AccountsUnverified, "accounts-unverified" },
  } };

/// Reason why the outcome of a request is unknown.
enum class UnknownReason : std::uint8_t
{
  ConnectionLost,
  Timeout,
  PartialAnswer,
  CrossedAnswer,
  UpstreamCrashed,
  ExecutorGone,
  /// The executor no longer stores the key or the response.
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

/// The complete response of the upstream was received.
struct Answered
{
  unsigned status = 0;
};

/// The request did not run and never will. With an idempotency key, this also
/// holds for every send of the key that ended before this one began. Two
/// reasons cover this send only: ClaimUnavailable, because the claim was not
/// read, and KeyMismatch.
struct NotRun
{
  NotRunReason reason;
  /// Time after which a retry may be accepted; 0 if there is no estimate.
  state::Duration retryAfter{ 0 };
};

/// The request may have run, may still be running or may not have run.
struct Unknown
{
  UnknownReason reason;
};

using Outcome = std::variant<Answered, NotRun, Unknown>;

} // namespace teaselhold::coordination
