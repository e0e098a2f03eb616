#include "Transport/HttpServer.h"

#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <set>

DEFINE_string(address, "127.0.0.1:7100", "IP:port to listen on");
DEFINE_string(name, "upstream", "written into each answer");
DEFINE_uint32(slots, 12, "requests that run at the same time; more are shed");
DEFINE_uint32(work_milliseconds, 1, "time that a request takes");
DEFINE_uint32(cold_start_milliseconds, 0, "time until the upstream is ready");
DEFINE_string(run_log, "", "file that gets the X-Run-Id of each request run");

namespace {

using namespace teaselhold::transport;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;

/// Runs requests like an upstream of the mesh. The path decides the fault:
/// /…/crash ends the process, /…/hang never answers.
class Upstream
{
public:
  explicit Upstream(asio::io_context& aContext)
    : context_(aContext)
    , runLog_(FLAGS_run_log, std::ios::app)
  {
  }

  asio::awaitable<HttpResponse> Handle(HttpRequest aRequest)
  {
    const std::string target(aRequest.target().data(),
                             aRequest.target().size());
    if (target == "/health") {
      co_return Answer(IsReady() ? http::status::ok
                                 : http::status::service_unavailable,
                       "health\n");
    }
    if (running_ >= FLAGS_slots) {
      co_return Answer(http::status::service_unavailable, "shed\n");
    }
    ++running_;
    RecordRun(aRequest);
    if (target.ends_with("/crash")) {
      std::_Exit(1);
    }
    asio::steady_timer timer(context_);
    timer.expires_after(target.ends_with("/hang")
                          ? std::chrono::milliseconds(3600000)
                          : std::chrono::milliseconds(FLAGS_work_milliseconds));
    co_await timer.async_wait(asio::use_awaitable);
    --running_;
    co_return Answer(http::status::ok,
                     FLAGS_name + " " + target + " " + aRequest.body() + "\n");
  }

private:
  static HttpResponse Answer(http::status aStatus, std::string aBody)
  {
    HttpResponse response;
    response.result(aStatus);
    response.body() = std::move(aBody);
    return response;
  }

  bool IsReady() const
  {
    return Clock::now() - started_ >=
           std::chrono::milliseconds(FLAGS_cold_start_milliseconds);
  }

  void RecordRun(const HttpRequest& aRequest)
  {
    const auto id = aRequest["X-Run-Id"];
    if (runLog_ && !id.empty()) {
      runLog_ << id << std::endl;
    }
  }

  asio::io_context& context_;
  std::ofstream runLog_;
  Clock::time_point started_ = Clock::now();
  std::uint32_t running_ = 0;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  asio::io_context context(1);
  Upstream upstream(context);
  const auto server =
    HttpServer::Listen(context, FLAGS_address, [&](HttpRequest aRequest) {
      return upstream.Handle(std::move(aRequest));
    });
  if (!server) {
    std::cerr << "upstream_stand_in: " << server.error().message << "\n";
    return 1;
  }
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, auto) { context.stop(); });
  context.run();
  return 0;
}
