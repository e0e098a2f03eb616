#include "Services/teaselholdd/AdminServer.h"

#include "admin.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace teaselhold::daemon {

namespace {

using namespace coordination;

constexpr std::chrono::milliseconds kDefaultApplyDeadline{ 5000 };
constexpr std::chrono::milliseconds kMaxApplyDeadline{ 60000 };

std::string
ToText(std::string_view aName)
{
  return std::string(aName);
}

} // namespace

class AdminServer::Implementation final : public wire::Admin::Service
{
public:
  Implementation(ControlPlane& aControlPlane, const Clock& aClock)
    : controlPlane_(aControlPlane)
    , clock_(aClock)
  {
  }

  bool Listen(const std::string& aAddress)
  {
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(
      aAddress, grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(2 * 1024 * 1024);
    builder.SetResourceQuota(grpc::ResourceQuota("admin").SetMaxThreads(4));
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
    return server_ != nullptr && port != 0;
  }

  void Stop()
  {
    server_->Shutdown(std::chrono::system_clock::now() +
                      std::chrono::milliseconds(200));
  }

  grpc::Status Apply(grpc::ServerContext* /*aContext*/,
                     const wire::ApplyRequest* aRequest,
                     wire::ApplyResponse* aResponse) override
  {
    auto deadline =
      std::chrono::milliseconds(aRequest->deadline_milliseconds());
    if (deadline.count() == 0) {
      deadline = kDefaultApplyDeadline;
    }
    const auto finish = controlPlane_.Apply(
      { 0,
        aRequest->text(),
        aRequest->base_generation(),
        aRequest->apply_id(),
        clock_.Now() + std::min(deadline, kMaxApplyDeadline) });
    aResponse->set_result(
      static_cast<wire::ApplyResponse::Result>(finish.outcome));
    aResponse->set_generation(finish.generation);
    aResponse->set_message(finish.message);
    aResponse->set_current_text(finish.currentText);
    return grpc::Status::OK;
  }

  grpc::Status Get(grpc::ServerContext* /*aContext*/,
                   const wire::GetRequest* /*aRequest*/,
                   wire::GetResponse* aResponse) override
  {
    const auto snapshot = controlPlane_.Snapshot();
    if (snapshot != nullptr && snapshot->configuration != nullptr) {
      aResponse->set_generation(snapshot->configuration->GetGeneration());
      aResponse->set_text(snapshot->configuration->Text());
    }
    return grpc::Status::OK;
  }

  grpc::Status Status(grpc::ServerContext* /*aContext*/,
                      const wire::StatusRequest* /*aRequest*/,
                      wire::StatusResponse* aResponse) override
  {
    const auto status = controlPlane_.Status();
    aResponse->set_store_generation(status.storeGeneration);
    aResponse->set_store_reachable(status.storeReachable);
    aResponse->set_highest_generation(status.highestGeneration);
    for (const auto& node : status.nodes) {
      auto& row = *aResponse->add_nodes();
      row.set_node(node.node);
      row.set_service(node.service);
      row.set_data_centre(node.dataCentre);
      row.set_state(
        ToText(state::FindEnumName(state::kEndpointStateNames, node.state)));
      row.set_role(node.role);
      row.set_active_generation(node.activeGeneration);
      row.set_refused_generation(node.refusedGeneration);
      row.set_refused_reason(node.refusedReason);
    }
    for (const auto& alarm : status.alarms) {
      aResponse->add_alarms(alarm);
    }
    return grpc::Status::OK;
  }

  grpc::Status Metrics(grpc::ServerContext* /*aContext*/,
                       const wire::MetricsRequest* /*aRequest*/,
                       wire::MetricsResponse* aResponse) override
  {
    const auto counters = controlPlane_.Counters();
    aResponse->set_text("teaselhold_control_sent_bytes " +
                        std::to_string(counters.sentBytes) +
                        "\nteaselhold_control_received_bytes " +
                        std::to_string(counters.receivedBytes) + "\n");
    return grpc::Status::OK;
  }

private:
  ControlPlane& controlPlane_;
  const Clock& clock_;
  std::unique_ptr<grpc::Server> server_;
};

tl::expected<std::unique_ptr<AdminServer>, transport::TransportError>
AdminServer::Listen(const std::string& aAddress,
                    ControlPlane& aControlPlane,
                    const Clock& aClock)
{
  auto implementation = std::make_unique<Implementation>(aControlPlane, aClock);
  if (!implementation->Listen(aAddress)) {
    return tl::make_unexpected(transport::TransportError{
      transport::TransportErrorCode::BindFailed,
      "cannot listen on " + aAddress + " for teaselctl" });
  }
  return std::unique_ptr<AdminServer>(
    new AdminServer(std::move(implementation)));
}

AdminServer::AdminServer(std::unique_ptr<Implementation> aImplementation)
  : implementation_(std::move(aImplementation))
{
}

AdminServer::~AdminServer()
{
  implementation_->Stop();
}

} // namespace teaselhold::daemon
