#include "Tests/StandIns/StoreStandIn/StoreServer.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(address, "127.0.0.1:7000", "IP:port to listen on");
DEFINE_uint32(reads_per_second, 2000, "reads and watches a second");
DEFINE_uint32(writes_per_second, 300, "writes a second");

int
main(int aCount, char** aArguments)
{
  using namespace teaselhold;
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  boost::asio::io_context context(1);
  stand_in::StoreState state(FLAGS_reads_per_second, FLAGS_writes_per_second);
  stand_in::StoreServer store(context, state);
  const auto server = transport::HttpServer::Listen(
    context, FLAGS_address, [&](transport::HttpRequest aRequest) {
      return store.Serve(std::move(aRequest));
    });
  if (!server) {
    std::cerr << "store_stand_in: " << server.error().message << "\n";
    return 1;
  }
  boost::asio::co_spawn(context, store.ExpireLeases(), boost::asio::detached);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, auto) { context.stop(); });
  context.run();
  return 0;
}
