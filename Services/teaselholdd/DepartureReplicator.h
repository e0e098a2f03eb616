#pragma once

#include "Coordination/RandomSource.h"
#include "Coordination/RoutingSnapshot.h"
#include "Services/teaselholdd/DepartureSaver.h"
#include "Services/teaselholdd/Settings.h"
#include "Transport/HttpClientPool.h"

namespace teaselhold::daemon {

/// Makes departures outlast this process before they are acknowledged. Usually
/// the store holds them within milliseconds. If it does not answer this node,
/// other nodes write them to the store, or keep them until it answers, and
/// meanwhile remind this node in case it was restarted. Used on the data
/// thread.
class DepartureReplicator
{
public:
  DepartureReplicator(boost::asio::io_context& aContext,
                      const Settings& aSettings,
                      std::uint64_t aSeed,
                      DepartureSaver& aSaver);

  /// Takes the nodes that departures can be handed to.
  void SetSnapshot(coordination::RoutingSnapshotPointer aSnapshot);

  /// Saves a departure beside this node.
  /// @param aNumber the number that the saver gave to it.
  /// @return true once a restart of this node would not lose it; false if there
  ///         is nobody to keep it within the time that the upstream waits.
  Awaitable<bool> Secure(std::uint64_t aNumber,
                         const state::UpstreamIdentity& aUpstream);

  /// Serves a departure that the node beside its upstream hands over.
  Awaitable<Response> Serve(const Request& aRequest);

  /// @return the departure in a request if its upstream is beside this node: a
  ///         reminder of what a previous process handed over.
  std::optional<state::UpstreamIdentity> ReadReminder(
    const Request& aRequest) const;

private:
  using Clock = std::chrono::steady_clock;
  struct Handover;
  using HandoverPointer = std::shared_ptr<Handover>;

  /// A departure beside another node.
  struct RemoteDeparture
  {
    std::string node;
    state::UpstreamIdentity upstream;
  };

  static std::optional<RemoteDeparture> ReadDeparture(const Request& aRequest);
  static std::string KeyOf(const RemoteDeparture& aDeparture);
  void Start(const HandoverPointer& aHandover);
  void StartReminding(const RemoteDeparture& aDeparture, std::uint64_t aNumber);
  Awaitable<void> AskPeers(HandoverPointer aHandover);
  Awaitable<void> Remind(std::string aNode,
                         state::UpstreamIdentity aUpstream,
                         std::uint64_t aNumber);
  Request MakeRequest(const std::string& aAddress,
                      const std::string& aNode,
                      const state::UpstreamIdentity& aUpstream) const;

  boost::asio::io_context& context_;
  std::string nodeName_;
  DepartureSaver& saver_;
  coordination::RandomSource random_;
  coordination::RoutingSnapshotPointer snapshot_;
  transport::HttpClientPool pool_;
  /// The saver's numbers of the departures that this node keeps for others.
  std::map<std::string, std::uint64_t> kept_;
};

} // namespace teaselhold::daemon
