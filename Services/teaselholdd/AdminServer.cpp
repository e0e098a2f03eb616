#include "Services/teaselholdd/AdminServer.h"

#include "admin.grpc.pb.h"

#include <algorithm>
#include <grpcpp/grpcpp.h>
#include <spdlog/spdlog.h>

namespace teaselhold::daemon {

namespace {

using namespace coordination;

constexpr std::chrono::milliseconds kDefaultApplyDeadline{ 5000 };
constexpr std::chrono::milliseconds kMaxApplyDeadline{ 60000 };

constexpr std::chrono::milliseconds kFindTimeout{ 1500 };

/// Some calls of the largest text at the same time.
constexpr std::size_t kMaxMemoryBytes = std::size_t{ 16 } * 1024 * 1024;

std::string
ToText(std::string_view aName)
{
  return std::string(aName);
}

void
FillCalls(const CallMetricsSnapshot& aCalls, wire::MetricsResponse& aResponse)
{
  for (const auto bound : kLatencyBounds) {
    aResponse.add_bucket_bounds_microseconds(bound);
  }
  for (const auto& [key, figures] : aCalls.rows) {
    auto& row = *aResponse.add_calls();
    row.set_request_class(
      ToText(state::FindEnumName(state::kRequestClassNames, key.first)));
    row.set_tenant(key.second);
    row.set_answered(figures.answered);
    row.set_not_run(figures.notRun);
    row.set_unknown(figures.unknown);
    if (figures.answered > 0) {
      const auto& latencies = figures.latencies;
      row.set_mean_microseconds(
        static_cast<std::uint64_t>(boost::accumulators::mean(latencies)));
      row.set_max_microseconds(
        static_cast<std::uint64_t>(boost::accumulators::max(latencies)));
    }
    row.mutable_buckets()->Add(figures.buckets.begin(), figures.buckets.end());
  }
}

template<std::size_t Size, typename Enum>
void
FillReasons(const char* aKind,
            const CallMetricsSnapshot::CountsByClass<Size>& aCounts,
            const std::array<state::EnumName<Enum>, Size>& aNames,
            wire::MetricsResponse& aResponse)
{
  for (const auto& requestClass : state::kRequestClassNames) {
    for (const auto& reason : aNames) {
      const auto count = aCounts[static_cast<std::size_t>(requestClass.value)]
                                [static_cast<std::size_t>(reason.value)];
      if (count > 0) {
        auto& row = *aResponse.add_reasons();
        row.set_kind(aKind);
        row.set_request_class(ToText(requestClass.name));
        row.set_reason(ToText(reason.name));
        row.set_count(count);
      }
    }
  }
}

} // namespace

class AdminServer::Implementation final : public wire::Admin::Service
{
public:
  Implementation(const Settings& aSettings,
                 const Adapters& aAdapters,
                 ControlPlane& aControlPlane,
                 const MetricsSource& aMetrics,
                 const Clock& aClock)
    : controlPlane_(aControlPlane)
    , metrics_(aMetrics)
    , clock_(aClock)
    , nodeName_(aSettings.nodeName)
    , store_(aAdapters.store())
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
    builder.SetResourceQuota(
      grpc::ResourceQuota("admin").SetMaxThreads(4).Resize(kMaxMemoryBytes));
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
    const auto start = clock_.Now();
    const auto finish = controlPlane_.Apply(
      { 0,
        aRequest->text(),
        aRequest->base_generation(),
        aRequest->apply_id(),
        clock_.Now() + std::min(deadline, kMaxApplyDeadline) });
    spdlog::info("[admin] Apply finished. apply_id={} base={} outcome=\"{}\" "
                 "generation={} milliseconds={}",
                 aRequest->apply_id(),
                 aRequest->base_generation(),
                 state::FindEnumName(kApplyOutcomeNames, finish.outcome),
                 finish.generation,
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                   clock_.Now() - start)
                   .count());
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
    aResponse->set_answering_node(nodeName_);
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
    const auto copy = metrics_.Collect();
    aResponse->set_node(copy.node);
    aResponse->set_text(FormatMetrics(copy));
    FillCalls(copy.calls, *aResponse);
    FillReasons("not-run", copy.calls.notRun, kNotRunReasonNames, *aResponse);
    FillReasons("unknown", copy.calls.unknown, kUnknownReasonNames, *aResponse);
    FillReasons("refused", copy.calls.refused, kNotRunReasonNames, *aResponse);
    return grpc::Status::OK;
  }

  grpc::Status FindApply(grpc::ServerContext* /*aContext*/,
                         const wire::FindApplyRequest* aRequest,
                         wire::FindApplyResponse* aResponse) override
  {
    // Read from the store, because nodes forget and lag.
    const auto entry = store_->Get(protocol::kConfigurationKey, kFindTimeout);
    wire::StoredConfiguration stored;
    if (!entry || !stored.ParseFromString(entry->value)) {
      aResponse->set_result(wire::FindApplyResponse::UNAVAILABLE);
      aResponse->set_message(entry ? "the store's value cannot be read"
                                   : "the store cannot be read: " +
                                       entry.error().message);
      return grpc::Status::OK;
    }
    const auto& id = aRequest->apply_id();
    const bool found = stored.apply_id() == id ||
                       std::ranges::find(stored.recent_applies(), id) !=
                         stored.recent_applies().end();
    aResponse->set_result(found ? wire::FindApplyResponse::FOUND
                                : wire::FindApplyResponse::NOT_FOUND);
    aResponse->set_generation(stored.generation());
    if (!found) {
      aResponse->set_current_text(stored.text());
    }
    spdlog::info("[admin] Apply looked up. apply_id={} found={} generation={}",
                 id,
                 found,
                 stored.generation());
    return grpc::Status::OK;
  }

private:
  ControlPlane& controlPlane_;
  const MetricsSource& metrics_;
  const Clock& clock_;
  std::string nodeName_;
  std::unique_ptr<protocol::StoreClient> store_;
  std::unique_ptr<grpc::Server> server_;
};

tl::expected<std::unique_ptr<AdminServer>, transport::TransportError>
AdminServer::Listen(const Settings& aSettings,
                    const Adapters& aAdapters,
                    ControlPlane& aControlPlane,
                    const MetricsSource& aMetrics,
                    const Clock& aClock)
{
  const auto& address = aSettings.adminAddress;
  auto implementation = std::make_unique<Implementation>(
    aSettings, aAdapters, aControlPlane, aMetrics, aClock);
  if (!implementation->Listen(address)) {
    return tl::make_unexpected(transport::TransportError{
      transport::TransportErrorCode::BindFailed,
      "cannot listen on " + address + " for teaselctl" });
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
