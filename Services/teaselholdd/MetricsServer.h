#pragma once

#include "Services/teaselholdd/MetricsSource.h"
#include "Transport/HttpServer.h"

#include <thread>

namespace teaselhold::daemon {

/// Serves GET /metrics on a thread of its own, so that a slow reader does not
/// hold up requests.
class MetricsServer
{
public:
  /// aSource must outlive the server.
  static tl::expected<std::unique_ptr<MetricsServer>, transport::TransportError>
  Listen(const std::string& aAddress, const MetricsSource& aSource);

  ~MetricsServer();

private:
  explicit MetricsServer(const MetricsSource& aSource)
    : source_(aSource)
  {
  }

  boost::asio::awaitable<transport::HttpResponse> Serve(
    transport::HttpRequest aRequest);

  const MetricsSource& source_;
  boost::asio::io_context context_{ 1 };
  std::unique_ptr<transport::HttpServer> server_;
  std::thread thread_;
};

} // namespace teaselhold::daemon
