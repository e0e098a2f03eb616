#pragma once

#include "Coordination/NodeEvents.h"
#include "Protocol/StoreClient.h"
#include "Transport/BoundedRing.h"

#include <functional>
#include <memory>
#include <thread>

namespace teaselhold::daemon {

/// Runs the store's blocking calls on threads of its own: one for watches,
/// which wait for long, and one for all other calls.
class StoreWorker
{
public:
  using Answer = std::function<void(coordination::StoreAnswered)>;

  StoreWorker(std::unique_ptr<protocol::StoreClient> aClient, Answer aAnswer);
  ~StoreWorker();

  /// Queues a call. A call that finds the ring full is answered at once as
  /// unavailable.
  void Submit(coordination::CallStore aCall);

  void Stop();

private:
  using Ring = transport::BoundedRing<coordination::CallStore>;

  void Run(Ring& aRing);
  coordination::StoreResult Execute(const coordination::CallStore& aCall);

  std::unique_ptr<protocol::StoreClient> client_;
  Answer answer_;
  Ring calls_{ 256 };
  Ring watches_{ 4 };
  std::thread callThread_;
  std::thread watchThread_;
};

} // namespace teaselhold::daemon
