#pragma once

#include "Coordination/Admission.h"
#include "Services/teaselholdd/Clock.h"
#include "Services/teaselholdd/Exchange.h"
#include "Transport/Cancellation.h"

#include <map>
#include <memory>

namespace teaselhold::daemon {

/// Lets requests wait for the decision of Admission.
class AdmissionQueue : public std::enable_shared_from_this<AdmissionQueue>
{
public:
  /// A slot of the upstream, held until the end of its scope.
  class Slot
  {
  public:
    Slot(std::shared_ptr<AdmissionQueue> aQueue, std::uint64_t aId)
      : queue_(std::move(aQueue))
      , id_(aId)
    {
    }
    ~Slot() { queue_->Leave(id_); }
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

  private:
    std::shared_ptr<AdmissionQueue> queue_;
    std::uint64_t id_;
  };

  AdmissionQueue(boost::asio::io_context& aContext,
                 const Clock& aClock,
                 coordination::AdmissionOptions aOptions);

  /// Waits until the request may be delivered. After Admit the caller holds a
  /// Slot until the request's end.
  /// @return a refusal, or nothing if the request is admitted.
  Awaitable<std::optional<coordination::NotRun>> Enter(
    const coordination::AdmissionRequest& aRequest,
    transport::CancellationPointer aCancellation);

  /// See Admission::PredictRefusal().
  std::optional<coordination::NotRun> PredictRefusal(
    const coordination::AdmissionRequest& aRequest) const
  {
    return admission_.PredictRefusal(aRequest, clock_.Now());
  }

  /// See Admission::DecisionInputs().
  coordination::AdmissionInputs DecisionInputs(
    const coordination::AdmissionRequest& aRequest) const
  {
    return admission_.DecisionInputs(aRequest, clock_.Now());
  }

  void SetState(state::EndpointState aState);

  /// Takes the number of slots that the upstream announced.
  void SetSlots(std::uint32_t aSlots);

  /// Learns from the end of a delivered request; see Admission::RecordResult().
  void RecordResult(state::Duration aServiceTime, bool aIsServed)
  {
    admission_.RecordResult(aServiceTime, aIsServed, clock_.Now());
  }

  /// See Admission::BeginRun() and Admission::SetUsual().
  void BeginRun() { admission_.BeginRun(clock_.Now()); }
  void SetUsual(state::Duration aServiceTime, double aFailureRate)
  {
    admission_.SetUsual(aServiceTime, aFailureRate);
  }

  coordination::LoadReport Report() const
  {
    return admission_.MakeLoadReport(clock_.Now());
  }

  /// Requests that wait or run.
  std::size_t InFlight() const
  {
    return admission_.InFlight() + admission_.Waiting();
  }

  /// @return true if a running request expires at or after this time. The call
  ///         of a request expires no later than the request itself.
  bool MayHaveMade(state::Instant aDeadline) const;

  /// Tells what an answer of the upstream means.
  coordination::Outcome Classify(unsigned aStatus, bool aSaysShed) const
  {
    return admission_.ClassifyAnswer(aStatus, aSaysShed);
  }

private:
  struct Waiter
  {
    boost::asio::steady_timer released;
    std::optional<coordination::AdmissionRelease> decision;
  };

  Awaitable<std::optional<coordination::NotRun>> WaitForRelease(
    std::uint64_t aId,
    transport::CancellationPointer aCancellation);
  Awaitable<void> ExpireWhileWaiting();
  void Leave(std::uint64_t aId);
  void Release(const std::vector<coordination::AdmissionRelease>& aReleases);

  boost::asio::io_context& context_;
  const Clock& clock_;
  coordination::Admission admission_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiting_;
  bool expiring_ = false;
};

} // namespace teaselhold::daemon
