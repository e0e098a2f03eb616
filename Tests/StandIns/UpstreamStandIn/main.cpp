#include "Tests/StandIns/UpstreamStandIn/StandInServer.h"
#include "Transport/SocketAddress.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(address, "127.0.0.1:7100", "IP:port to listen on");
DEFINE_string(name, "upstream", "written into each answer");
DEFINE_uint32(slots, 12, "requests that run at the same time; more are shed");
DEFINE_uint32(max_connections, 130, "connections; more are closed at once");
DEFINE_uint32(work_milliseconds, 1, "time that a request takes");
DEFINE_uint32(slow_milliseconds, 500, "time that a request to /…/slow takes");
DEFINE_uint32(cold_start_milliseconds, 0, "time until the upstream is ready");
DEFINE_uint32(health_lag_milliseconds, 0, "age of the health and load told");
DEFINE_string(health, "honest", "honest, healthy or unhealthy");
DEFINE_string(run_log, "", "file that gets the X-Run-Id of each request run");

int
main(int aCount, char** aArguments)
{
  using namespace teaselhold;
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const auto address = transport::ParseSocketAddress(FLAGS_address);
  if (!address) {
    std::cerr << "upstream_stand_in: " << address.error().message << "\n";
    return 1;
  }
  stand_ins::UpstreamOptions options;
  options.name = FLAGS_name;
  options.slots = FLAGS_slots;
  options.work = std::chrono::milliseconds(FLAGS_work_milliseconds);
  options.slowWork = std::chrono::milliseconds(FLAGS_slow_milliseconds);
  options.coldStart = std::chrono::milliseconds(FLAGS_cold_start_milliseconds);
  options.healthLag = std::chrono::milliseconds(FLAGS_health_lag_milliseconds);
  options.health = FLAGS_health;
  options.runLog = FLAGS_run_log;
  boost::asio::io_context context(1);
  try {
    stand_ins::Upstream upstream(context, options);
    stand_ins::StandInServer server(
      context, address->host, address->port, FLAGS_max_connections, upstream);
    boost::asio::co_spawn(context, server.Accept(), boost::asio::detached);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
  } catch (const std::exception& exception) {
    std::cerr << "upstream_stand_in: " << FLAGS_address << ": "
              << exception.what() << "\n";
    return 1;
  }
  return 0;
}
