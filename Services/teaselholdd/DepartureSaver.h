#pragma once

#include "Coordination/NodeEvents.h"
#include "Services/teaselholdd/AdmissionQueue.h"

#include <functional>
#include <map>
#include <memory>

namespace teaselhold::daemon {

/// Hands departures of upstreams to the control plane, which writes them to the
/// store, and waits for that. Used on the data thread.
class DepartureSaver
{
public:
  using Sink = std::function<void(coordination::UpstreamDeparted)>;

  DepartureSaver(boost::asio::io_context& aContext, Sink aSink)
    : context_(aContext)
    , sink_(std::move(aSink))
  {
  }

  /// Starts to save a departure beside a node.
  /// @return the number to wait for.
  std::uint64_t Start(const std::string& aNode,
                      const state::UpstreamIdentity& aUpstream);

  /// @return true once the store holds the departure with this number; false if
  ///         it does not within aTimeout.
  Awaitable<bool> Wait(std::uint64_t aNumber,
                       std::chrono::milliseconds aTimeout);

  /// Ends the waits for this number before their timeout; they return false.
  void EndWait(std::uint64_t aNumber);

  bool IsSaved(std::uint64_t aNumber) const
  {
    return !waiting_.contains(aNumber);
  }

  /// The store holds the departure with this number, or nobody needs it any
  /// more.
  void OnSaved(std::uint64_t aNumber);

private:
  using Timer = boost::asio::steady_timer;

  boost::asio::io_context& context_;
  Sink sink_;
  std::uint64_t nextNumber_ = 1;
  /// The departures that are not in the store yet, with the timers of those
  /// that wait for them.
  std::map<std::uint64_t, std::vector<std::shared_ptr<Timer>>> waiting_;
};

} // namespace teaselhold::daemon
