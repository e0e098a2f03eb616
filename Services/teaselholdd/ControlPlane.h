#pragma once

#include "Coordination/DirectCore.h"
#include "Coordination/RelayCore.h"
#include "Services/teaselholdd/Adapters.h"
#include "Services/teaselholdd/Clock.h"
#include "Services/teaselholdd/Settings.h"
#include "Services/teaselholdd/StoreWorker.h"
#include "Transport/BoundedRing.h"
#include "Transport/ControlChannel.h"

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <thread>
#include <variant>

namespace teaselhold::daemon {

/// Runs the decision logic of the node on one thread: events come in over a
/// bounded ring, commands are carried out.
class ControlPlane
{
public:
  /// What the data plane takes from the control plane, on the control thread.
  struct Sinks
  {
    std::function<void(coordination::RoutingSnapshotPointer)> snapshot;
    std::function<void(std::uint64_t aSaveNumber)> departureSaved;
    std::function<void(const coordination::RestoreUpstream&)> restoreUpstream;
    std::function<void(const coordination::AskReader&)> askReader;
    std::function<void(coordination::ReaderRole)> setReaderRole;
    std::function<void(const coordination::AskChanges&)> askChanges;
    std::function<void(const coordination::SetRecentChanges&)> setRecentChanges;
    std::function<void(const coordination::Attestation&)> attested;
    /// This node checked the store at this time.
    std::function<void(state::Instant)> checked;
    std::function<void(const coordination::SetRollouts&)> setRollouts;
  };

  ControlPlane(const Settings& aSettings,
               const Adapters& aAdapters,
               const Clock& aClock,
               std::uint64_t aIncarnation,
               Sinks aSinks);
  ~ControlPlane();

  tl::expected<void, transport::TransportError> Start();
  void Stop();

  /// Queues an event. Safe on any thread.
  /// @return false if the ring is full; the event is dropped.
  bool Post(coordination::Event aEvent);

  /// Runs one apply and waits for its end.
  coordination::FinishApply Apply(coordination::ApplyRequested aRequest);

  /// Asks the relays and takes the status on the control thread.
  coordination::FleetStatus Status();

  /// Takes the status as this node knows it, without asking other nodes. For
  /// metrics, which would otherwise load every relay at every scrape.
  coordination::FleetStatus LocalStatus();

  coordination::RoutingSnapshotPointer Snapshot() const;

  transport::ControlCounters Counters() const;

  StoreCounters StoreCalls() const { return store_->Counters(); }

private:
  using Core = std::variant<coordination::RelayCore, coordination::DirectCore>;
  using StatusPromise =
    std::shared_ptr<std::promise<coordination::FleetStatus>>;
  using Item = std::variant<coordination::Event, StatusPromise>;

  struct Executor;

  void Run();
  static void LogLateness(Clock::Steady::duration aLateness);
  void Handle(const coordination::Event& aEvent);

  const Clock& clock_;
  std::string controlAddress_;
  protocol::StoreClientFactory storeFactory_;
  Sinks sinks_;
  Core core_;
  transport::BoundedRing<Item> ring_{ 4096 };
  std::unique_ptr<transport::ControlChannel> channel_;
  std::unique_ptr<StoreWorker> store_;
  std::atomic<coordination::RoutingSnapshotPointer> snapshot_;
  std::mutex appliesMutex_;
  std::map<std::uint64_t, std::promise<coordination::FinishApply>> applies_;
  std::uint64_t nextApply_ = 1;
  std::thread thread_;
};

} // namespace teaselhold::daemon
