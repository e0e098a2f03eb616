#pragma once

#include "Tests/StandIns/StoreStandIn/StoreState.h"
#include "Transport/HttpServer.h"

namespace teaselhold::stand_in {

/// Speaks the platform's published store protocol over HTTP, and a protocol of
/// its own under /stand-in/ for faults and counters.
class StoreServer
{
public:
  StoreServer(boost::asio::io_context& aContext, StoreState& aState);

  boost::asio::awaitable<transport::HttpResponse> Serve(
    transport::HttpRequest aRequest);

  /// Ends leases whose time is over, until the context stops.
  boost::asio::awaitable<void> ExpireLeases();

private:
  using Response = transport::HttpResponse;
  template<typename Value>
  using Awaitable = boost::asio::awaitable<Value>;

  Response Control(const std::string& aPath, const std::string& aBody);
  Response ReadKey(const std::string& aTarget);
  Response ReadRange(const std::string& aTarget);
  Awaitable<Response> Watch(std::string aTarget);
  Response Transact(const std::string& aBody);
  Response GrantLease(const std::string& aBody);
  Response RenewLease(const std::string& aTarget);
  Response EndLease(const std::string& aTarget);
  Awaitable<void> ApplyLater(StoreTransaction aTransaction);
  void WakeWatches();

  boost::asio::io_context& context_;
  StoreState& state_;
  StoreFaults faults_;
  /// Cancelled and armed again at every change.
  boost::asio::steady_timer changed_;
  std::uint64_t outages_ = 0;
};

} // namespace teaselhold::stand_in
