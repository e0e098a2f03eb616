#pragma once

#include "Coordination/CallTypes.h"
#include "Coordination/LoadReport.h"
#include "Coordination/Pace/UpstreamPace.h"
#include "Coordination/Room/QueueTurns.h"
#include "State/Configuration.h"

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace teaselhold::coordination {

/// A request for delivery to the upstream beside this node.
struct AdmissionRequest
{
  /// Unique within this process.
  std::uint64_t id = 0;
  state::RequestClass requestClass = state::RequestClass::Lookup;
  std::string tenant;
  /// Maximum number of running and queued requests of the tenant; 0 for no
  /// limit.
  std::uint32_t tenantLimit = 0;
  state::Instant deadline = state::Instant::max();
  /// The caller's deadline leaves no time for another retry. A running request
  /// often depends on such a request, so it has priority over all others.
  bool isFinalTry = false;
  /// Refuse the request immediately if its predicted wait is longer. If empty,
  /// the request class determines the longest wait.
  std::optional<state::Duration> maxWait = std::nullopt;
  /// The client account whose key the request carried; empty if it had none.
  std::string account = {};
  /// Rank among the requests that compete for the upstream, 0 first: the
  /// account's, or the route's if the account has none.
  std::uint32_t priority = state::kDefaultPriority;
  /// If the request starts after this wait, its answer misses the latency
  /// objective of its route. Within a class, requests that can still meet
  /// theirs go before those that cannot.
  std::optional<state::Duration> usefulWait = std::nullopt;
};

/// Deliver the request now.
struct Admit
{};

/// The request is queued; a later AdmissionRelease admits or refuses it.
struct Queued
{
  /// Latest time at which Expire() must be called.
  state::Instant until;
  /// A queued request of lower priority that was evicted to make room for this
  /// one. It is refused with NotRunReason::Shed and gets no release.
  std::optional<std::uint64_t> displaced;
};

using AdmissionDecision = std::variant<Admit, Queued, NotRun>;

/// The deferred decision on a queued request.
struct AdmissionRelease
{
  std::uint64_t id;
  /// Empty if the request is delivered now.
  std::optional<NotRunReason> refused;
};

/// The values that an admission decision is based on, for log lines.
struct AdmissionInputs
{
  state::EndpointState state = state::EndpointState::Starting;
  /// How long the upstream has been in this state.
  state::Duration stateAge{ 0 };
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::uint32_t slots = 0;
  state::Duration predictedWait{ 0 };
};

struct AdmissionOptions
{
  /// Maximum number of requests that the upstream runs concurrently.
  std::uint32_t slots = 1;
  /// Maximum number of requests that wait for a slot; with 0, a request that
  /// finds no free slot is refused immediately.
  std::uint32_t queueLimit = 0;
  /// The upstream guarantees that it did not run a request that it answers
  /// with status 400, 429 or 503 and marks as shed.
  bool shedAnswerIsNotRun = false;
  /// An upstream that started gets its slots by how it answers (UpstreamPace)
  /// and not all of them at once.
  bool isPaced = true;
};

/// Admission control on the node beside the upstream. It decides before a
/// request is delivered, so a refused request is known not to have run. Not
/// thread-safe.
///
/// Each request that was admitted, by Decide() or by a release, must be
/// followed by exactly one Finish().
class Admission
{
public:
  explicit Admission(std::uint32_t aSlots);
  explicit Admission(AdmissionOptions aOptions);

  AdmissionDecision Decide(const AdmissionRequest& aRequest,
                           state::Instant aNow);

  /// Predicts whether Decide() would refuse a request, without recording it.
  /// Checks neither the queue limit nor the longest wait of the request class.
  std::optional<NotRun> PredictRefusal(const AdmissionRequest& aRequest,
                                       state::Instant aNow) const;

  /// Returns the values that Decide() would use now.
  AdmissionInputs DecisionInputs(const AdmissionRequest& aRequest,
                                 state::Instant aNow) const;

  /// Removes a delivered request that ended, or a queued one that its caller
  /// abandoned. Returns decisions on queued requests.
  std::vector<AdmissionRelease> Finish(std::uint64_t aId, state::Instant aNow);

  /// Refuses queued requests that reached their deadline or longest wait, and
  /// admits those that have a slot now. Must also be called about every 100
  /// ms, because the number of usable slots also grows with time.
  std::vector<AdmissionRelease> Expire(state::Instant aNow);

  /// Sets the state of the upstream. Only a ready upstream gets new requests.
  /// A draining one still finishes its running and queued requests; in every
  /// other state the queued requests are refused.
  std::vector<AdmissionRelease> SetState(state::EndpointState aState,
                                         state::Instant aNow);

  /// Applies the number of slots that the upstream announced.
  std::vector<AdmissionRelease> SetSlots(std::uint32_t aSlots,
                                         state::Instant aNow);

  /// Another run of the upstream has begun, so what was learnt of the pace is
  /// void.
  void BeginRun(state::Instant aNow);

  /// Takes what the service's other upstreams show, which the pace of this one
  /// is compared with. See UpstreamPace::SetUsual().
  void SetUsual(state::Duration aServiceTime, double aFailureRate);

  /// Updates the smoothed service time, the failure share and the pace after a
  /// delivered request. Must be called before its Finish().
  /// @param aIsServed false if the upstream refused, failed or lost the
  ///        request.
  void RecordResult(state::Duration aServiceTime,
                    bool aIsServed,
                    state::Instant aNow);

  /// Returns the upstream's load in the form that other nodes get.
  LoadReport MakeLoadReport(state::Instant aNow) const;

  /// Returns the earliest time at which a queued request is refused, or
  /// Instant::max() if none is queued.
  state::Instant NextExpiry() const;

  /// Derives the outcome of a request from the response of the upstream.
  /// @param aSaysShed the upstream marked the response as shed.
  Outcome ClassifyAnswer(unsigned aStatus, bool aSaysShed) const;

  /// @return the latest deadline of a running request, if any runs.
  std::optional<state::Instant> LatestRunningDeadline() const;

  std::size_t InFlight() const { return running_; }
  std::size_t Waiting() const { return waiting_; }

  /// Returns the number of slots that may be used now, by the pace of an
  /// upstream that has started.
  std::uint32_t UsableSlots(state::Instant aNow) const;

private:
  struct Entry : boost::intrusive::list_base_hook<>
  {
    AdmissionRequest request;
    state::Instant until{ 0 };
    /// Latest start with which the answer meets the latency objective.
    state::Instant usefulUntil = state::Instant::max();
    bool isRunning = false;
  };
  using Queue = boost::intrusive::list<Entry>;
  using Releases = std::vector<AdmissionRelease>;

  static std::size_t QueueIndex(const AdmissionRequest& aRequest);
  static bool IsInTime(const AdmissionRequest& aRequest);
  static std::size_t CountInTime(const Queue& aQueue, state::Instant aNow);
  static Entry& NextOf(Queue& aQueue, state::Instant aNow);
  state::Duration PredictedWait(const AdmissionRequest& aRequest,
                                state::Instant aNow) const;
  std::optional<NotRunReason> RefusalReason(const AdmissionRequest& aRequest,
                                            state::Instant aNow) const;
  bool HasRoom(const AdmissionRequest& aRequest, state::Instant aNow) const;
  bool HasQueuedAhead(std::size_t aQueue) const;
  AdmissionDecision Enqueue(const AdmissionRequest& aRequest,
                            state::Instant aNow);
  std::optional<std::uint64_t> DisplaceLowerPriority(std::size_t aQueue);
  Entry& Add(const AdmissionRequest& aRequest);
  void MarkRunning(Entry& aEntry);
  void Dequeue(Entry& aEntry);
  void Remove(std::uint64_t aId);
  void RefuseQueued(NotRunReason aReason, Releases& aReleases);
  void RefuseExpired(state::Instant aNow, Releases& aReleases);
  QueueTurns::ReadyQueues FindReady(state::Instant aNow) const;
  void AdmitQueued(state::Instant aNow, Releases& aReleases);

  AdmissionOptions options_;
  state::EndpointState state_ = state::EndpointState::Starting;
  state::Instant stateSince_{ 0 };
  UpstreamPace pace_;
  std::unordered_map<std::uint64_t, Entry> entries_;
  /// One queue for final tries, then one per request class, each in order of
  /// arrival. The priority of a client account replaces the class. Declared
  /// after entries_, because the intrusive lists must be destroyed before their
  /// elements.
  std::array<Queue, QueueTurns::kQueueCount> queues_;
  QueueTurns turns_;
  std::unordered_map<std::string, std::uint32_t> requestsByTenant_;
  std::size_t running_ = 0;
  /// Running uploads and batches.
  std::size_t bulkRunning_ = 0;
  std::size_t waiting_ = 0;
  state::Duration serviceTime_{ 0 };
  double failureRate_ = 0;
};

} // namespace teaselhold::coordination
