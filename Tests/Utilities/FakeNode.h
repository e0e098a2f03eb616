#pragma once

#include "admin.grpc.pb.h"

#include <atomic>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>

namespace teaselhold::tool {

/// A node's admin address on loopback with scripted answers.
class FakeNode final : public wire::Admin::Service
{
public:
  FakeNode()
  {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(
      "127.0.0.1:0", grpc::InsecureServerCredentials(), &port_);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
  }
  ~FakeNode() override { server_->Shutdown(std::chrono::system_clock::now()); }

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

  template<typename Request, typename Response>
  using Handler = std::function<grpc::Status(const Request&, Response&)>;

  Handler<wire::ApplyRequest, wire::ApplyResponse> apply;
  Handler<wire::FindApplyRequest, wire::FindApplyResponse> findApply;
  Handler<wire::StatusRequest, wire::StatusResponse> status;
  wire::GetResponse inForce;
  wire::MetricsResponse metrics;
  std::atomic<int> applies = 0;
  std::atomic<int> finds = 0;

private:
  grpc::Status Apply(grpc::ServerContext* /*aContext*/,
                     const wire::ApplyRequest* aRequest,
                     wire::ApplyResponse* aResponse) override
  {
    ++applies;
    return apply(*aRequest, *aResponse);
  }
  grpc::Status FindApply(grpc::ServerContext* /*aContext*/,
                         const wire::FindApplyRequest* aRequest,
                         wire::FindApplyResponse* aResponse) override
  {
    ++finds;
    return findApply(*aRequest, *aResponse);
  }
  grpc::Status Status(grpc::ServerContext* /*aContext*/,
                      const wire::StatusRequest* aRequest,
                      wire::StatusResponse* aResponse) override
  {
    return status(*aRequest, *aResponse);
  }
  grpc::Status Get(grpc::ServerContext* /*aContext*/,
                   const wire::GetRequest* /*aRequest*/,
                   wire::GetResponse* aResponse) override
  {
    *aResponse = inForce;
    return grpc::Status::OK;
  }
  grpc::Status Metrics(grpc::ServerContext* /*aContext*/,
                       const wire::MetricsRequest* /*aRequest*/,
                       wire::MetricsResponse* aResponse) override
  {
    *aResponse = metrics;
    return grpc::Status::OK;
  }

  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

} // namespace teaselhold::tool
