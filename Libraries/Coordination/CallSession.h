#pragma once

#include "Coordination/CallEnvironment.h"
#include "Coordination/KeyedCall.h"
#include "Coordination/RetryPolicy.h"
#include "Coordination/RoutingSnapshot.h"

#include <string>
#include <variant>
#include <vector>

namespace teaselhold::coordination {

/// Properties of one request at the node that received it from its caller.
struct CallParameters
{
  std::string method;
  std::string target;
  std::string host;
  std::string tenant;
  /// Empty if the caller sent none. Ignored on idempotent routes.
  std::string idempotencyKey;
  std::uint64_t fingerprint = 0;
  /// The caller's own deadline, or Instant::max() if it set none.
  state::Instant deadline = state::Instant::max();
  unsigned depth = 0;
  BodySize bodySize = BodySize::Small;
  /// A request that the upstream beside this node runs expires no earlier, so
  /// that this one may be a call of it.
  bool mayBeNested = true;
  /// Retries that this call and all calls below it in the chain may still make
  /// in total.
  unsigned retriesLeft = 2;
  /// The client account whose key the request carried; empty if it had none.
  std::string account = {};
  /// The account's; empty leaves it to the route.
  std::optional<std::uint32_t> priority = std::nullopt;
};

/// The part of a claim that an attempt sends to the executor of a keyed
/// request.
struct ClaimTicket
{
  /// The incarnation that the claim names; any other incarnation refuses the
  /// request with WrongExecutor.
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  /// See state::RunLedger::Arrive().
  bool mayStart = false;

  bool operator==(const ClaimTicket&) const = default;
};

/// A large answer that is expected for a request.
struct LargeAnswer
{
  std::uint64_t bytes = 0;
  /// Longest useful time until the node beside the upstream has sent it.
  state::Duration maxTime{ 0 };
};

/// Send the request to this endpoint, then call Finish().
struct Attempt
{
  EndpointPointer endpoint;
  /// Time at which this node stops waiting for the response.
  state::Instant deadline;
  /// Deadline that the request carries. It is slightly earlier, so that the
  /// peer's own timeout response arrives before this node stops waiting.
  state::Instant carriedDeadline;
  /// Value of Teaselhold-Retries-Left in the request.
  unsigned retriesLeft = 0;
  /// Set for keyed requests only.
  std::optional<ClaimTicket> claim;
  /// Longest wait for a slot; if empty, the node beside the upstream decides.
  std::optional<state::Duration> maxWait = std::nullopt;
  /// The wait after which the answer misses its latency objective; empty if
  /// there is none.
  std::optional<state::Duration> usefulWait = std::nullopt;
  /// The caller's deadline leaves no time for another retry, so the request is
  /// served before others.
  bool isFinalTry = false;
  /// Empty if the answer is expected to be small.
  std::optional<LargeAnswer> largeAnswer = std::nullopt;
  /// The order of the service's roll-out that this node knows; 0 if there is
  /// none.
  std::uint64_t rolloutOrder = 0;
};

/// Send the response to the caller.
struct Respond
{
  Outcome outcome;
  /// Value of Teaselhold-Retries-Left in the response.
  unsigned retriesLeft = 0;
  /// The outcome is a server error that was kept while the call was retried.
  bool isKeptServerError = false;
};

/// Call Resume() at this time.
struct BackoffStep
{
  state::Instant until;
};

using CallStep = std::variant<Attempt, Respond, BackoffStep, ClaimStep>;

/// State machine of one call: selects the upstream for each attempt, decides
/// on retries and determines the outcome for the caller. The outcome in
/// Respond holds for the whole call, not only for its last attempt.
///
/// Every step except Respond must be followed by exactly one call: Attempt by
/// Finish(), ClaimStep by FinishClaim(), BackoffStep by Resume(). Destroying
/// the session abandons the attempt in flight.
///
/// All calls of a chain share one retry allowance. A call keeps one retry for
/// itself and passes the others down with each attempt. The response returns
/// the unused ones. If the response is lost or lacks the header, they count as
/// used; after NotRun, all of them are returned. Each retry is thus held in
/// one place only, and a chain of 22 calls with an allowance of R makes at
/// most 22 * (R + 1) attempts in total.
class CallSession
{
public:
  CallSession(CallParameters aFacts,
              RoutingSnapshotPointer aSnapshot,
              CallEnvironment& aEnvironment);
  ~CallSession();

  CallSession(const CallSession&) = delete;
  CallSession& operator=(const CallSession&) = delete;

  CallStep Start(state::Instant aNow);

  /// Processes the outcome of the last attempt.
  /// @param aReturnedRetries Teaselhold-Retries-Left of the response, or 0.
  CallStep Finish(const Outcome& aOutcome,
                  state::Instant aNow,
                  unsigned aReturnedRetries = 0);

  /// Processes the store's response to the last ClaimStep.
  CallStep FinishClaim(const StoreResult& aResult, state::Instant aNow);

  /// Continues the call at the time of the last BackoffStep.
  CallStep Resume(state::Instant aNow);

  /// Returns the matched route, or nullptr before one was found.
  const state::RouteSpec* Route() const { return route_; }

  /// Returns the service that the call is routed to; empty before a route was
  /// found.
  const std::string& Service() const { return service_; }

  /// Returns the rank of the call among those that compete for an upstream, 0
  /// first. Must not be called before a route was found.
  std::uint32_t Priority() const
  {
    return facts_.priority.value_or(route_->priority);
  }

  unsigned Attempts() const { return attempts_; }
  unsigned Placements() const { return placements_; }

private:
  std::optional<NotRunReason> RefusalReason() const;
  bool IsReachable(const std::string& aService) const;
  bool IsKeyed() const;
  CallStep StartKeyed(state::Instant aNow);
  CallStep OnClaimStep(const KeyedCall::Step& aStep, state::Instant aNow);
  CallStep OnClaimed(const KeyedCall::Claimed& aClaimed, state::Instant aNow);
  CallStep SendToExecutor(state::Instant aNow);
  CallStep FinishKeyed(const Outcome& aOutcome, state::Instant aNow);
  CallStep OnKeyedRefusal(NotRunReason aReason, state::Instant aNow);
  CallStep ResendToExecutor(state::Instant aNow);
  EndpointPointer FindExecutor(const ClaimBinding& aBinding) const;
  CallStep Retry(state::Instant aNow);
  CallStep RetryAt(EndpointPointer aEndpoint, state::Instant aNow);
  CallStep BackOffOrEnd(state::Instant aNow);
  bool MayRetry(state::Instant aNow);
  bool IsRefusalFree() const;
  bool ShouldRetryAnswer(const Answered& aAnswer) const;
  unsigned MaxAttempts() const;
  std::optional<state::Duration> MaxWait(state::Instant aNow);
  std::optional<state::Duration> UsefulWait(state::Instant aNow);
  std::optional<LargeAnswer> ExpectedLargeAnswer(state::Instant aNow);
  state::Duration ServiceTime();
  void RecordRefusal(const Outcome& aOutcome);
  void SpendRetry(state::Instant aNow);
  TransferSizes Sizes() const;
  EndpointPointer PickNext(state::Instant aNow);
  EndpointPointer PickVersion(state::Instant aNow);
  void RecordArrival(const Outcome& aOutcome);
  CallStep Send(state::Instant aNow);
  void ReclaimRetries(const Outcome& aOutcome, unsigned aReturnedRetries);
  void ReleaseEndpoint();
  Respond End() const;

  CallParameters facts_;
  RoutingSnapshotPointer snapshot_;
  CallEnvironment& environment_;
  const state::RouteSpec* route_ = nullptr;
  std::string service_;
  /// Time by which the response meets the latency objective of the route;
  /// max() if there is none.
  state::Instant objective_ = state::Instant::max();
  bool isFinalTry_ = false;
  /// Expected size of the answer; 0 if it is unknown.
  std::uint64_t answerBytes_ = 0;
  state::Instant deadline_{ 0 };
  /// The endpoint on which the router counts this call as in flight.
  EndpointPointer currentEndpoint_;
  std::vector<EndpointPointer> triedEndpoints_;
  /// All attempts that failed were refused because of load.
  bool onlyLoadRefusals_ = true;
  /// Deliveries that may have reached an upstream.
  unsigned attempts_ = 0;
  /// Attempts including those that a node refused before delivery.
  unsigned placements_ = 0;
  /// A node refused the last attempt before delivery to its upstream.
  bool wasRefusedByNode_ = false;
  /// The shortest retry-after time of all refusals.
  std::optional<state::Duration> retryAfter_;
  /// The latest response of status 500 or above; returned if no other attempt
  /// succeeds.
  std::optional<Answered> earlierAnswer_;
  unsigned backoffs_ = 0;
  unsigned retriesPassedDown_ = 0;
  /// Set while the request may have run and this call does not have its
  /// response.
  std::optional<Unknown> unknownOutcome_;
  Outcome lastOutcome_ = NotRun{ NotRunReason::NoUpstream };
  std::optional<KeyedCall> keyed_;
  ClaimBinding binding_;
  bool mayStart_ = false;
  std::uint64_t keyHash_ = 0;
  /// The attempt in flight was taken from the share of a roll-out.
  bool isRolloutShare_ = false;
};

} // namespace teaselhold::coordination
