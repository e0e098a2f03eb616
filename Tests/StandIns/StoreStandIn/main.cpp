#include "Tests/StandIns/StoreStandIn/StoreState.h"
#include "store.grpc.pb.h"
#include "store_stand_in.grpc.pb.h"

#include <csignal>
#include <gflags/gflags.h>
#include <grpcpp/grpcpp.h>
#include <iostream>
#include <pthread.h>
#include <thread>

DEFINE_string(address, "127.0.0.1:7000", "IP:port to listen on");
DEFINE_uint32(reads_per_second, 2000, "reads and watches a second");
DEFINE_uint32(writes_per_second, 300, "writes a second");

namespace {

using namespace teaselhold;
using stand_in::CallVerdict;
using stand_in::StoreState;

/// The answer is held back for longer than any client waits.
constexpr std::chrono::seconds kLostAnswerDelay{ 8 };

grpc::Status
ToStatus(CallVerdict aVerdict)
{
  switch (aVerdict) {
    case CallVerdict::Done:
      return grpc::Status::OK;
    case CallVerdict::OverRate:
      return { grpc::StatusCode::RESOURCE_EXHAUSTED, "over the rate" };
    case CallVerdict::TooLarge:
      return { grpc::StatusCode::INVALID_ARGUMENT, "value over 1 MB" };
    case CallVerdict::AnswerLost:
      std::this_thread::sleep_for(kLostAnswerDelay);
      break;
    case CallVerdict::Down:
      break;
  }
  return { grpc::StatusCode::UNAVAILABLE, "the store is down" };
}

class StoreService final : public wire::Store::Service
{
public:
  explicit StoreService(StoreState& aState)
    : state_(aState)
  {
  }

  grpc::Status Get(grpc::ServerContext* /*aContext*/,
                   const wire::StoreGetRequest* aRequest,
                   wire::StoreValue* aValue) override
  {
    return ToStatus(state_.Get(aRequest->key(), *aValue));
  }

  grpc::Status CompareAndSwap(
    grpc::ServerContext* /*aContext*/,
    const wire::StoreCompareAndSwapRequest* aRequest,
    wire::StoreCompareAndSwapResponse* aResponse) override
  {
    return ToStatus(state_.CompareAndSwap(*aRequest, *aResponse));
  }

  grpc::Status GrantLease(grpc::ServerContext* /*aContext*/,
                          const wire::StoreGrantLeaseRequest* aRequest,
                          wire::StoreGrantLeaseResponse* aResponse) override
  {
    std::uint64_t lease = 0;
    const auto verdict = state_.GrantLease(
      std::chrono::milliseconds(aRequest->time_to_live_milliseconds()), lease);
    aResponse->set_lease(lease);
    return ToStatus(verdict);
  }

  grpc::Status KeepAlive(grpc::ServerContext* /*aContext*/,
                         const wire::StoreKeepAliveRequest* aRequest,
                         wire::StoreKeepAliveResponse* aResponse) override
  {
    bool alive = false;
    const auto verdict = state_.KeepAlive(aRequest->lease(), alive);
    aResponse->set_alive(alive);
    return ToStatus(verdict);
  }

  grpc::Status Watch(grpc::ServerContext* /*aContext*/,
                     const wire::StoreWatchRequest* aRequest,
                     wire::StoreValue* aValue) override
  {
    return ToStatus(state_.Watch(*aRequest, *aValue));
  }

private:
  StoreState& state_;
};

class ControlService final : public wire::StoreStandInControl::Service
{
public:
  explicit ControlService(StoreState& aState)
    : state_(aState)
  {
  }

  grpc::Status SetFaults(grpc::ServerContext* /*aContext*/,
                         const wire::StoreFaults* aFaults,
                         wire::StoreFaultsResponse* /*aResponse*/) override
  {
    state_.SetFaults(*aFaults);
    return grpc::Status::OK;
  }

  grpc::Status GetCounters(grpc::ServerContext* /*aContext*/,
                           const wire::StoreCountersRequest* /*aRequest*/,
                           wire::StoreCounters* aCounters) override
  {
    *aCounters = state_.Counters();
    return grpc::Status::OK;
  }

private:
  StoreState& state_;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  StoreState state(FLAGS_reads_per_second, FLAGS_writes_per_second);
  StoreService store(state);
  ControlService control(state);
  int port = 0;
  grpc::ServerBuilder builder;
  builder.AddListeningPort(
    FLAGS_address, grpc::InsecureServerCredentials(), &port);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.RegisterService(&store);
  builder.RegisterService(&control);
  const auto server = builder.BuildAndStart();
  if (server == nullptr || port == 0) {
    std::cerr << "store_stand_in: cannot listen on " << FLAGS_address << "\n";
    return 1;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  server->Shutdown(std::chrono::system_clock::now());
  return 0;
}
