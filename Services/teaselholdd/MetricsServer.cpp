#include "Services/teaselholdd/MetricsServer.h"

namespace teaselhold::daemon {

namespace http = boost::beast::http;

tl::expected<std::unique_ptr<MetricsServer>, transport::TransportError>
MetricsServer::Listen(const std::string& aAddress, const MetricsSource& aSource)
{
  std::unique_ptr<MetricsServer> metrics(new MetricsServer(aSource));
  auto server = transport::HttpServer::Listen(
    metrics->context_,
    aAddress,
    [self = metrics.get()](transport::HttpRequest aRequest) {
      return self->Serve(std::move(aRequest));
    });
  if (!server) {
    return tl::make_unexpected(server.error());
  }
  metrics->server_ = std::move(*server);
  metrics->thread_ =
    std::thread([self = metrics.get()] { self->context_.run(); });
  return metrics;
}

MetricsServer::~MetricsServer()
{
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

boost::asio::awaitable<transport::HttpResponse>
MetricsServer::Serve(transport::HttpRequest aRequest)
{
  transport::HttpResponse response;
  response.set(http::field::content_type, "text/plain; version=0.0.4");
  const auto target = aRequest.target();
  const auto path = target.substr(0, target.find('?'));
  if (path != "/metrics") {
    response.result(http::status::not_found);
    response.body() = "expected GET /metrics\n";
  } else if (aRequest.method() != http::verb::get) {
    response.result(http::status::method_not_allowed);
    response.set(http::field::allow, "GET");
    response.body() = "expected GET\n";
  } else {
    response.result(http::status::ok);
    response.body() = FormatMetrics(source_.Collect());
  }
  co_return response;
}

} // namespace teaselhold::daemon
