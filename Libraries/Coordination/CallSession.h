#pragma once

#include "Coordination/CallEnvironment.h"
#include "Coordination/KeyedCall.h"
#include "Coordination/RetryPolicy.h"
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
  std::string host;
  std::string tenant;
  /// Empty if the caller gave none. Ignored on idempotent routes.
  std::string idempotencyKey;
  std::uint64_t fingerprint = 0;
  /// The caller's own deadline, or Instant::max() if it gave none.
  state::Instant deadline = state::Instant::max();
  unsigned depth = 0;
  BodySize bodySize = BodySize::Small;
  /// Retries that the whole chain of calls below this one may still make.
  unsigned retriesLeft = 2;
};

/// What an attempt tells the executor of a keyed request.
struct ClaimTicket
{
  /// The incarnation that the claim names; another one answers WrongExecutor.
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;
  /// See state::RunLedger::Arrive().
  bool mayStart = false;

  bool operator==(const ClaimTicket&) const = default;
};

/// Send the request to this endpoint; then call Finish().
struct Attempt
{
  EndpointPointer endpoint;
  /// When this node gives up.
  state::Instant deadline;
  /// What the request carries: a little earlier, so that the peer's own word
  /// on a timeout arrives in time.
  state::Instant carriedDeadline;
  /// What the request carries in Teaselhold-Retries-Left.
  unsigned retriesLeft = 0;
  /// Set for keyed requests.
  std::optional<ClaimTicket> claim;
  /// How long the request may wait for a slot; not set leaves it to the node
  /// beside the upstream.
  std::optional<state::Duration> maxWait = std::nullopt;
  /// The caller has no time for another try, so it is served before others.
  bool isFinalTry = false;
};

/// Answer the caller.
struct Respond
{
  Outcome outcome;
  /// What the answer hands back in Teaselhold-Retries-Left.
  unsigned retriesLeft = 0;
  /// The outcome is that of an earlier attempt than the last one.
  bool isEarlierAnswer = false;
};

/// Call Resume() at this time.
struct BackoffStep
{
  state::Instant until;
};

using CallStep = std::variant<Attempt, Respond, BackoffStep, ClaimStep>;

/// Decides the steps of one call: which upstream, whether to try again, what
/// to tell the caller. The outcome in Respond is true for the whole call, not
/// only for its last attempt.
///
/// Every step except Respond is followed by exactly one call of the function
/// that its type names (ClaimStep: FinishClaim). Destroying the session gives
/// up the attempt in flight.
///
/// Retries of a whole chain share one allowance. A call keeps one retry for
/// itself and passes the others down with each attempt. An answer hands back
/// what is left of them; a lost answer, or one without the header, counts them
/// as used; after a certain not-run all of them are still there. So each retry
/// is held in one place only, and a chain of 22 calls with an allowance of R
/// makes at most 22 * (R + 1) attempts in total.
class CallSession
{
public:
  CallSession(CallFacts aFacts,
              RoutingSnapshotPointer aSnapshot,
              CallEnvironment& aEnvironment);
  ~CallSession();

  CallSession(const CallSession&) = delete;
  CallSession& operator=(const CallSession&) = delete;

  CallStep Start(state::Instant aNow);

  /// Takes the outcome of the last attempt.
  /// @param aRetriesHandedBack Teaselhold-Retries-Left of the answer, or 0.
  CallStep Finish(const Outcome& aOutcome,
                  state::Instant aNow,
                  unsigned aRetriesHandedBack = 0);

  /// Takes the store's answer to the last ClaimStep.
  CallStep FinishClaim(const StoreResult& aResult, state::Instant aNow);

  /// The time of the last BackoffStep has come.
  CallStep Resume(state::Instant aNow);

  /// @return nullptr before a route was found.
  const state::RouteSpec* Route() const { return route_; }

  /// The service that the call goes to; empty before a route was found.
  const std::string& Service() const { return service_; }

  unsigned Attempts() const { return attempts_; }
  unsigned Placements() const { return placements_; }

private:
  std::optional<NotRunReason> Refusal() const;
  bool IsReachable(const std::string& aService) const;
  bool IsKeyed() const;
  CallStep StartKeyed(state::Instant aNow);
  CallStep OnClaim(const KeyedCall::Step& aStep, state::Instant aNow);
  CallStep OnBound(const KeyedCall::Bound& aBound, state::Instant aNow);
  CallStep SendToExecutor(state::Instant aNow);
  CallStep FinishKeyed(const Outcome& aOutcome, state::Instant aNow);
  CallStep OnKeyRefused(NotRunReason aReason, state::Instant aNow);
  CallStep AskAgain(state::Instant aNow);
  EndpointPointer Locate(const ClaimBinding& aBinding) const;
  CallStep Retry(state::Instant aNow);
  CallStep RetryAt(EndpointPointer aEndpoint, state::Instant aNow);
  CallStep WaitOrEnd(state::Instant aNow);
  bool MayRetry(state::Instant aNow);
  bool IsFree() const;
  bool IsWorthRepeating(const Answered& aAnswer) const;
  unsigned MaxAttempts() const;
  std::optional<state::Duration> MaxWait(state::Instant aNow);
  state::Duration ServiceTime();
  void NoteRefusal(const Outcome& aOutcome);
  void SpendRetry(state::Instant aNow);
  EndpointPointer PickNext(state::Instant aNow);
  CallStep Send(state::Instant aNow);
  void ReturnRetries(const Outcome& aOutcome, unsigned aHandedBack);
  void Release();
  Respond End() const;

  CallFacts facts_;
  RoutingSnapshotPointer snapshot_;
  CallEnvironment& environment_;
  const state::RouteSpec* route_ = nullptr;
  std::string service_;
  /// When an answer loses part of its worth; max() if the route has no
  /// objective.
  state::Instant objective_ = state::Instant::max();
  bool isFinalTry_ = false;
  state::Instant deadline_{ 0 };
  /// The endpoint that the router counts for this call.
  EndpointPointer current_;
  std::vector<EndpointPointer> tried_;
  /// Every refusal since the last back-off was for load.
  bool onlyLoad_ = true;
  /// Deliveries that may have reached an upstream.
  unsigned attempts_ = 0;
  /// Nodes that were asked.
  unsigned placements_ = 0;
  /// The last refusal came from a node, before any delivery.
  bool isRefusedByNode_ = false;
  /// The shortest time after which a refusing node expects to have room.
  std::optional<state::Duration> retryAfter_;
  /// An answer of 500 or above that another attempt may better.
  std::optional<Answered> earlierAnswer_;
  unsigned backoffs_ = 0;
  unsigned retriesPassed_ = 0;
  /// Set while the request may have run without this call knowing its answer.
  std::optional<Unknown> doubt_;
  Outcome lastOutcome_ = NotRun{ NotRunReason::NoUpstream };
  std::optional<KeyedCall> keyed_;
  ClaimBinding binding_;
  bool mayStart_ = false;
  std::uint64_t keyHash_ = 0;
};

} // namespace teaselhold::coordination
