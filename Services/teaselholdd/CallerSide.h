#pragma once

#include "Coordination/CallMetrics.h"
#include "Services/teaselholdd/Adapters.h"
#include "Services/teaselholdd/NodeHop.h"
#include "Services/teaselholdd/QuotaExchange.h"
#include "Services/teaselholdd/RequestLines.h"
#include "Services/teaselholdd/StoreCalls.h"

namespace teaselhold::daemon {

/// The part that callers reach: carries a call to the node beside an upstream,
/// as CallSession decides.
class CallerSide
{
public:
  CallerSide(boost::asio::io_context& aContext,
             const Settings& aSettings,
             const Adapters& aAdapters,
             const Clock& aClock,
             std::uint64_t aIncarnation,
             UpstreamSide& aUpstreamSide,
             VersionExchange& aVersions,
             QuotaExchange& aQuotas,
             coordination::CallMetrics& aCallMetrics);

  /// Takes a new snapshot for the calls that start from now on.
  void SetSnapshot(coordination::RoutingSnapshotPointer aSnapshot);

  /// A configuration is in force.
  bool IsConfigured() const
  {
    return snapshot_ != nullptr && snapshot_->configuration != nullptr;
  }

  /// The settings have changed.
  void OnSettings();

  /// Serves one call and records its outcome.
  Awaitable<Response> Serve(Request aRequest,
                            transport::CancellationPointer aCancellation);

  /// The time at which the process ends; later deadlines are brought forward.
  void SetStopTime(state::Instant aTime) { stopTime_ = aTime; }

  /// Refuses new calls as draining, except those that the upstream beside this
  /// node makes for requests that it still runs.
  void Drain();

  /// Calls that were not refused for draining and have no answer yet.
  std::size_t InFlight() const { return *inFlight_; }

  /// Logs each call that is still in flight; the process ends without it.
  void LogBrokenOff() const;

  /// Ends the threads that call the store.
  void Stop() { store_.Stop(); }

private:
  struct Call;
  struct Calls;

  void FinishAnswer(Response& aResponse, const coordination::Outcome& aOutcome);
  void ShareRetryBudget();
  void RecordAnswerSize(const Call& aCall, const Exchange& aExchange);
  static CallEnd Describe(const Call& aCall);
  Response Refuse(const Request& aRequest,
                  const coordination::NotRun& aOutcome,
                  state::Duration aTime);
  bool IsRefusedForDraining(const coordination::CallParameters& aFacts) const;
  std::optional<coordination::CallParameters> ReadFacts(
    const Request& aRequest,
    state::Instant aNow) const;
  /// Replaces the key in a request by its client account.
  /// @return why the request must not run, if it must not.
  std::optional<coordination::NotRunReason> TakeAccount(
    Request& aRequest,
    coordination::CallParameters& aFacts) const;
  Awaitable<coordination::CallStep> TakeStep(
    Call& aCall,
    const coordination::CallStep& aStep,
    transport::CancellationPointer aCancellation);
  Awaitable<coordination::CallStep> CallStore(
    Call& aCall,
    const coordination::ClaimStep& aStep);
  Response Finish(Call& aCall, const coordination::Respond& aRespond);
  std::uint32_t TenantLimit(const std::string& aTenant) const;

  boost::asio::io_context& context_;
  const Settings& settings_;
  const Adapters& adapters_;
  const Clock& clock_;
  UpstreamSide& upstreamSide_;
  QuotaExchange& quotas_;
  coordination::CallMetrics& callMetrics_;
  NodeHop hop_;
  StoreCalls store_;
  coordination::CallEnvironment environment_;
  coordination::RoutingSnapshotPointer snapshot_;
  bool draining_ = false;
  state::Instant stopTime_ = state::Instant::max();
  /// Shared with the calls, which may outlive this object at shutdown.
  std::shared_ptr<std::size_t> inFlight_ = std::make_shared<std::size_t>(0);
  /// The same calls; they leave it on their own.
  std::shared_ptr<Calls> calls_;
};

} // namespace teaselhold::daemon
