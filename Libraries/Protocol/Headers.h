#pragma once

/// Names of the HTTP headers that nodes read and write.
namespace teaselhold::protocol::headers {

/// answered, not-run or unknown.
inline constexpr const char* kOutcome = "Teaselhold-Outcome";
/// Why a request was not run or its outcome is unknown.
inline constexpr const char* kReason = "Teaselhold-Reason";
/// The configuration generation that routed the request.
inline constexpr const char* kGeneration = "Teaselhold-Generation";
/// In answers between nodes, where keys have to be verified: a generation, ";"
/// and the milliseconds from the time at which it was the newest to the arrival
/// of the request, negative if that arrived first.
inline constexpr const char* kNewest = "Teaselhold-Newest";
/// In answers between nodes: the milliseconds from the last check of the store
/// for a newer version, by any node, to the arrival of the request, negative if
/// that arrived first.
inline constexpr const char* kChecked = "Teaselhold-Checked";
inline constexpr const char* kTenant = "Teaselhold-Tenant";
/// The key of the caller's client account, where callers need one.
inline constexpr const char* kAccountKey = "Teaselhold-Key";
/// Remaining time in milliseconds.
inline constexpr const char* kDeadline = "Teaselhold-Deadline-Ms";
inline constexpr const char* kRetriesLeft = "Teaselhold-Retries-Left";
inline constexpr const char* kDepth = "Teaselhold-Depth";
/// Identity of a request between nodes; the answer echoes it.
inline constexpr const char* kRequestId = "Teaselhold-Request-Id";
/// Between nodes only: the target service, its class and its tenant's limit.
inline constexpr const char* kService = "Teaselhold-Service";
inline constexpr const char* kClass = "Teaselhold-Class";
inline constexpr const char* kTenantLimit = "Teaselhold-Tenant-Limit";
inline constexpr const char* kIdempotent = "Teaselhold-Idempotent";
/// Rank among the requests that compete for an upstream, 0 first; left out if
/// it is state::kDefaultPriority.
inline constexpr const char* kPriority = "Teaselhold-Priority";
/// Milliseconds that a request may wait for a slot beside the upstream.
inline constexpr const char* kMaxWait = "Teaselhold-Max-Wait-Ms";
/// Milliseconds of wait after which the answer misses its latency objective.
inline constexpr const char* kUsefulWait = "Teaselhold-Useful-Wait-Ms";
/// Expected size of the answer's body, if it is large.
inline constexpr const char* kAnswerBytes = "Teaselhold-Answer-Bytes";
/// With the above: milliseconds until the answer must be sent to be useful.
inline constexpr const char* kAnswerTime = "Teaselhold-Answer-Ms";
/// "yes": the caller has no time for another try after a refusal.
inline constexpr const char* kFinalTry = "Teaselhold-Final-Try";
/// The order of the service's roll-out that the sender knows.
inline constexpr const char* kRolloutOrder = "Teaselhold-Rollout-Order";
/// During a roll-out: the label of the route, by which evidence is kept.
inline constexpr const char* kRouteLabel = "Teaselhold-Route-Label";
/// The roll-outs that the sender knows, or a digest of them.
inline constexpr const char* kRollouts = "Teaselhold-Rollouts";
/// In an answer during a roll-out: what the upstream did with recent requests.
inline constexpr const char* kEvidence = "Teaselhold-Evidence";
/// The load of the upstream beside the answering node.
inline constexpr const char* kLoad = "Teaselhold-Load";
/// With not-run: milliseconds after which another try may be accepted.
inline constexpr const char* kRetryAfter = "Teaselhold-Retry-After-Ms";
inline constexpr const char* kIdempotencyKey = "Idempotency-Key";
/// The incarnation that must run a keyed request; others refuse it.
inline constexpr const char* kExecutor = "Teaselhold-Executor";
/// The epoch of the claim, followed by ";start" if this delivery may start the
/// run.
inline constexpr const char* kClaim = "Teaselhold-Claim";

/// Set by an upstream that refused a request before it ran any of it.
inline constexpr const char* kShed = "Teaselhold-Shed";

/// Paths that a node itself answers on its data address. The requests carry no
/// Teaselhold-Service.
inline constexpr const char* kProbePath = "/.teaselhold/probe";
/// Asks whether the request in Teaselhold-Request-Id ever arrived.
inline constexpr const char* kArrivalPath = "/.teaselhold/arrival";
/// Asks whether a node reads the configuration for the others. With the second
/// path, one that does answers only once that may have changed.
inline constexpr const char* kReaderPath = "/.teaselhold/reader";
inline constexpr const char* kReaderWaitPath = "/.teaselhold/reader-wait";
inline constexpr const char* kReader = "Teaselhold-Reader";
/// Milliseconds for which the next question should be held back (answer), or
/// this one may be (request).
inline constexpr const char* kReaderWait = "Teaselhold-Reader-Wait";
/// Asks for the changes of the configuration that lead from Teaselhold-After to
/// the generation in force. The answer's body is a serialized
/// ConfigurationChanges; it has none if there is nothing newer.
inline constexpr const char* kChangesPath = "/.teaselhold/changes";
inline constexpr const char* kAfter = "Teaselhold-After";
/// Questions about the quotas of client accounts; see quotas::QuestionMessage.
inline constexpr const char* kCreditPath = "/.teaselhold/credit";
/// Hands over the departure of the upstream beside Teaselhold-Node. Answered
/// with 200 once the store holds it, or 202 if the answering node keeps it.
inline constexpr const char* kDeparturePath = "/.teaselhold/departure";
inline constexpr const char* kNode = "Teaselhold-Node";
inline constexpr const char* kUpstream = "Teaselhold-Upstream";
/// The start time of the upstream in milliseconds; 0 if it is not known.
inline constexpr const char* kUpstreamBorn = "Teaselhold-Upstream-Born";

} // namespace teaselhold::protocol::headers
