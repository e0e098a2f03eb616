#include "Services/teaselholdd/MetricsServer.h"

namespace teaselhold::daemon {

namespace http = boost::beast::http;

namespace {

/// Some collectors at the same time.
constexpr std::size_t kMaxConnections = 16;
/// The server has limits of its own, because it runs on another thread than the
/// connections that could make way for its own.
constexpr std::uint64_t kMemoryBytes = 1024ULL * 1024;

transport::HttpServerOptions
MakeOptions()
{
  transport::HttpServerOptions options;
  options.limits = std::make_shared<transport::PeerLimits>(kMemoryBytes, 0);
  options.maxConnections = kMaxConnections;
  options.maxBodyBytes = 0;
  return options;
}

} // namespace

tl::expected<std::unique_ptr<MetricsServer>, transport::TransportError>
MetricsServer::Listen(const std::string& aAddress, const MetricsSource& aSource)
{
  std::unique_ptr<MetricsServer> metrics(new MetricsServer(aSource));
  auto server = transport::HttpServer::Listen(
    metrics->context_,
    aAddress,
    [self = metrics.get()](transport::HttpRequest aRequest) {
      return self->Serve(std::move(aRequest));
    },
    MakeOptions());
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
