#pragma once

#include "Coordination/NodeEvents.h"
#include "Protocol/StoreClient.h"
#include "Transport/BoundedRing.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace teaselhold::daemon {

/// Calls of the store since the start.
struct StoreCounters
{
  std::uint64_t watches = 0;
  std::uint64_t others = 0;
  /// Of both kinds.
  std::uint64_t failures = 0;
};

/// Runs the store's blocking calls on threads of its own: one for watches,
/// which wait for long, one for reads, and one for writes and leases.
class StoreWorker
{
public:
  using Answer = std::function<void(coordination::StoreAnswered)>;

  StoreWorker(std::unique_ptr<protocol::StoreClient> aClient, Answer aAnswer);
  ~StoreWorker();

  /// Queues a call. A call that finds the ring full is answered at once as
  /// unavailable. A watch ends the one before it, which is answered as
  /// cancelled.
  void Submit(coordination::CallStore aCall);

  void Stop();

  /// Safe on any thread.
  StoreCounters Counters() const;

private:
  using Ring = transport::BoundedRing<coordination::CallStore>;

  void Run(Ring& aRing);
  /// Marks whether the watch thread is in a call.
  void SetWatching(bool aIsWatching);
  void EndEarlierWatch();
  Ring& RingOf(const coordination::CallStore& aCall);
  coordination::StoreResult Execute(const coordination::CallStore& aCall);

  void Count(const coordination::CallStore& aCall,
             const coordination::StoreResult& aResult,
             std::chrono::milliseconds aTime);
  void LogFailure(const coordination::CallStore& aCall,
                  const protocol::StoreError& aError,
                  std::chrono::milliseconds aTime) const;

  std::unique_ptr<protocol::StoreClient> client_;
  Answer answer_;
  Ring writes_{ 256 };
  Ring watches_{ 4 };
  Ring reads_{ 4 };
  std::mutex watchMutex_;
  bool isWatching_ = false;
  std::atomic<std::uint64_t> watchCount_ = 0;
  std::atomic<std::uint64_t> otherCount_ = 0;
  std::atomic<std::uint64_t> failureCount_ = 0;
  /// Whether the last call failed; its changes are logged.
  std::atomic<bool> failing_ = false;
  std::thread writeThread_;
  std::thread watchThread_;
  std::thread readThread_;
};

} // namespace teaselhold::daemon
