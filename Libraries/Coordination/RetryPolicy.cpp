#include "Coordination/RetryPolicy.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// A few times the service time of a lookup request.
constexpr state::Duration kFirstBackoff = std::chrono::milliseconds(5);
constexpr unsigned kMaxDoublings = 4;

} // namespace

bool
RetryPolicy::MayRetry(const Outcome& aOutcome, bool aIsIdempotent)
{
  if (const auto* notRun = std::get_if<NotRun>(&aOutcome)) {
    return IsRetryUseful(notRun->reason);
  }
  const auto* unknown = std::get_if<Unknown>(&aOutcome);
  // A request that crashed one upstream may crash the next one.
  return unknown != nullptr && aIsIdempotent &&
         unknown->reason != UnknownReason::UpstreamCrashed;
}

bool
RetryPolicy::IsRetryUseful(NotRunReason aReason)
{
  switch (aReason) {
    case NotRunReason::NoRoute:
    case NotRunReason::ServiceNotReachable:
    case NotRunReason::NoUpstream:
    // Retries would spread the load of a tenant that exceeds its limit to all
    // upstreams.
    case NotRunReason::TenantLimit:
    case NotRunReason::DeadlineExceeded:
    case NotRunReason::DepthExceeded:
    case NotRunReason::Quarantined:
    case NotRunReason::ClaimUnavailable:
    case NotRunReason::BadRequest:
    case NotRunReason::KeyMismatch:
    case NotRunReason::QuotaExceeded:
    case NotRunReason::AccountKeyMissing:
    case NotRunReason::AccountKeyUnknown:
    case NotRunReason::AccountsUnverified:
      return false;
    case NotRunReason::NotReady:
    case NotRunReason::Starting:
    case NotRunReason::Draining:
    case NotRunReason::Full:
    case NotRunReason::Shed:
    case NotRunReason::ConnectFailed:
    case NotRunReason::WrongExecutor:
    case NotRunReason::WrongService:
    case NotRunReason::NeverArrived:
    case NotRunReason::KeyRefused:
    case NotRunReason::LinkBusy:
      break;
  }
  return true;
}

bool
RetryPolicy::IsLoadRefusal(NotRunReason aReason)
{
  return aReason == NotRunReason::Full || aReason == NotRunReason::Shed ||
         aReason == NotRunReason::LinkBusy;
}

bool
RetryPolicy::IsRefusedBeforeDelivery(NotRunReason aReason)
{
  return aReason != NotRunReason::Shed &&
         aReason != NotRunReason::WrongExecutor;
}

bool
RetryPolicy::ProvesKeyNotRun(NotRunReason aReason, bool aMayStart)
{
  // If another request may have started the run, only a refusal by the run
  // ledger is proof; other refusals may be made without consulting it.
  return aMayStart || aReason == NotRunReason::KeyRefused;
}

bool
RetryPolicy::MayQueryResultAgain(UnknownReason aReason)
{
  switch (aReason) {
    case UnknownReason::ConnectionLost:
    case UnknownReason::Timeout:
    case UnknownReason::PartialAnswer:
    case UnknownReason::CrossedAnswer:
      return true;
    case UnknownReason::UpstreamCrashed:
    case UnknownReason::ExecutorGone:
    case UnknownReason::Forgotten:
      break;
  }
  return false;
}

state::Duration
RetryPolicy::Backoff(unsigned aRound, double aJitter)
{
  const auto base = kFirstBackoff * (1U << std::min(aRound, kMaxDoublings));
  const auto jitter = static_cast<state::Duration::rep>(
    static_cast<double>(base.count()) * aJitter);
  return base / 2 + state::Duration(jitter);
}

} // namespace teaselhold::coordination
