#pragma once

#include "Coordination/CallTypes.h"
#include "Coordination/LoadReport.h"

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace teaselhold::coordination {

/// A request that asks to be delivered to the upstream beside this node.
struct AdmissionRequest
{
  /// Unique within this process.
  std::uint64_t id = 0;
  state::RequestClass requestClass = state::RequestClass::Lookup;
  std::string tenant;
  /// 0 means that the tenant has no limit of its own.
  std::uint32_t tenantLimit = 0;
  state::Instant deadline = state::Instant::max();
  /// The caller has no time for another try; often a running request waits for
  /// this one. It goes before all others.
  bool isFinalTry = false;
  /// Refuse at once rather than wait for longer. If not set, the class decides.
  std::optional<state::Duration> maxWait = std::nullopt;
};

/// Deliver the request now.
struct Admit
{};

/// The request waits; a later AdmissionRelease decides it.
struct Wait
{
  /// Call Expire() at this time at the latest.
  state::Instant until;
  /// A waiting request of a lower class that gave its place to this one. It is
  /// refused with NotRunReason::Shed and gets no release.
  std::optional<std::uint64_t> displaced;
};

using AdmissionDecision = std::variant<Admit, Wait, NotRun>;

/// The late decision on a request that waited.
struct AdmissionRelease
{
  std::uint64_t id;
  /// Empty means that the request is delivered now.
  std::optional<NotRunReason> refused;
};

/// What a decision goes by, for the logs.
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
  /// Requests that the upstream runs at the same time.
  std::uint32_t slots = 1;
  /// Requests that wait for a slot; 0 refuses them at once.
  std::uint32_t queueLimit = 0;
  /// The upstream's contract says that a 503 marked as shed ran nothing.
  bool shedAnswerIsNotRun = false;
  /// Time in which a ready upstream gets all its slots; 0 for at once.
  state::Duration coldStart = std::chrono::seconds(10);
};

/// Decides beside the upstream, before delivery, so that every refusal is
/// certain. Belongs to one thread.
///
/// A request that was admitted, by Decide() or by a release, ends with exactly
/// one Finish().
class Admission
{
public:
  explicit Admission(std::uint32_t aSlots);
  explicit Admission(AdmissionOptions aOptions);

  AdmissionDecision Decide(const AdmissionRequest& aRequest,
                           state::Instant aNow);

  /// Tells whether Decide() would refuse a request, without taking it.
  std::optional<NotRun> Preview(const AdmissionRequest& aRequest,
                                state::Instant aNow) const;

  /// What Decide() would go by.
  AdmissionInputs Inputs(const AdmissionRequest& aRequest,
                         state::Instant aNow) const;

  /// A delivered request ended, or a waiting one was given up by its caller.
  /// Returns decisions on waiting requests.
  std::vector<AdmissionRelease> Finish(std::uint64_t aId, state::Instant aNow);

  /// Returns decisions on requests that waited for too long and on those that
  /// the growing number of slots lets in. Call it also every 100 ms or so.
  std::vector<AdmissionRelease> Expire(state::Instant aNow);

  /// Only a ready upstream gets new work. A draining one finishes what runs
  /// and what waits; in every other state the waiting requests are refused.
  std::vector<AdmissionRelease> SetState(state::EndpointState aState,
                                         state::Instant aNow);

  /// Takes the number of slots that the upstream announced.
  std::vector<AdmissionRelease> SetSlots(std::uint32_t aSlots,
                                         state::Instant aNow);

  /// Learns from the end of a delivered request.
  /// @param aIsServed false if the upstream refused, failed or lost it.
  void Learn(state::Duration aServiceTime, bool aIsServed);

  /// What other nodes should know of the upstream's load.
  LoadReport Report(state::Instant aNow) const;

  /// The earliest time at which a waiting request is refused; Instant::max()
  /// if none waits.
  state::Instant NextExpiry() const;

  /// Reads an answer of the upstream.
  /// @param aSaysShed the answer is marked as shed by the upstream.
  Outcome ClassifyAnswer(unsigned aStatus, bool aSaysShed) const;

  std::size_t InFlight() const { return running_; }
  std::size_t Waiting() const { return waiting_; }

  /// Slots that are in use now; they grow from 2 while the upstream is cold.
  std::uint32_t UsableSlots(state::Instant aNow) const;

private:
  struct Entry : boost::intrusive::list_base_hook<>
  {
    AdmissionRequest request;
    state::Instant until{ 0 };
    bool isRunning = false;
  };
  using Queue = boost::intrusive::list<Entry>;
  using Releases = std::vector<AdmissionRelease>;

  static std::size_t QueueOf(const AdmissionRequest& aRequest);
  state::Duration PredictedWait(std::size_t aQueue, state::Instant aNow) const;
  std::optional<NotRunReason> Refusal(const AdmissionRequest& aRequest,
                                      state::Instant aNow) const;
  bool HasRoom(const AdmissionRequest& aRequest, state::Instant aNow) const;
  bool IsOvertaking(std::size_t aQueue) const;
  AdmissionDecision Enqueue(const AdmissionRequest& aRequest,
                            state::Instant aNow);
  std::optional<std::uint64_t> Displace(std::size_t aQueue);
  Entry& Add(const AdmissionRequest& aRequest);
  void Run(Entry& aEntry);
  void Unqueue(Entry& aEntry);
  void Remove(std::uint64_t aId);
  void RefuseWaiting(NotRunReason aReason, Releases& aReleases);
  void RefuseOverdue(state::Instant aNow, Releases& aReleases);
  void Promote(state::Instant aNow, Releases& aReleases);

  AdmissionOptions options_;
  state::EndpointState state_ = state::EndpointState::Starting;
  state::Instant stateSince_{ 0 };
  state::Instant readySince_{ 0 };
  std::unordered_map<std::uint64_t, Entry> entries_;
  /// One queue for final tries, then one for each class, in order of
  /// arrival; destroyed before the entries.
  std::array<Queue, state::kRequestClassNames.size() + 1> queues_;
  std::unordered_map<std::string, std::uint32_t> perTenant_;
  std::size_t running_ = 0;
  /// Uploads and batches among the running ones.
  std::size_t bulkRunning_ = 0;
  std::size_t waiting_ = 0;
  state::Duration serviceTime_{ 0 };
  double failureShare_ = 0;
};

} // namespace teaselhold::coordination
