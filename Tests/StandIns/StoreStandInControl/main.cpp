#include "store_stand_in.grpc.pb.h"

#include <gflags/gflags.h>
#include <grpcpp/grpcpp.h>
#include <iostream>

DEFINE_string(address, "127.0.0.1:7000", "address of the store's stand-in");
DEFINE_bool(counters, false, "print the counters as JSON and set no fault");
DEFINE_bool(down, false, "refuse every call");
DEFINE_uint32(delay_milliseconds, 0, "delay every call");
DEFINE_uint32(lose_write_answers, 0, "lose the answers of the next writes");
DEFINE_bool(lapse_leases, false, "revoke every lease once");
DEFINE_string(restore_previous_value_of, "", "restore this key's last value");

namespace {

using namespace teaselhold;

int
PrintCounters(wire::StoreStandInControl::Stub& aStub)
{
  grpc::ClientContext context;
  wire::StoreCounters counters;
  const auto status =
    aStub.GetCounters(&context, wire::StoreCountersRequest(), &counters);
  if (!status.ok()) {
    std::cerr << status.error_message() << "\n";
    return 1;
  }
  std::cout << "{\"reads\":" << counters.reads()
            << ",\"writes\":" << counters.writes()
            << ",\"watches\":" << counters.watches()
            << ",\"waiting_watches\":" << counters.waiting_watches()
            << ",\"refused_over_rate\":" << counters.refused_over_rate()
            << ",\"bytes\":" << counters.bytes() << "}\n";
  return 0;
}

int
SetFaults(wire::StoreStandInControl::Stub& aStub)
{
  wire::StoreFaults faults;
  faults.set_down(FLAGS_down);
  faults.set_delay_milliseconds(FLAGS_delay_milliseconds);
  faults.set_lose_write_answers(FLAGS_lose_write_answers);
  faults.set_lapse_leases(FLAGS_lapse_leases);
  faults.set_restore_previous_value_of(FLAGS_restore_previous_value_of);
  grpc::ClientContext context;
  wire::StoreFaultsResponse response;
  const auto status = aStub.SetFaults(&context, faults, &response);
  if (!status.ok()) {
    std::cerr << status.error_message() << "\n";
  }
  return status.ok() ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  const auto stub =
    wire::StoreStandInControl::NewStub(grpc::CreateCustomChannel(
      FLAGS_address, grpc::InsecureChannelCredentials(), arguments));
  return FLAGS_counters ? PrintCounters(*stub) : SetFaults(*stub);
}
