#include "Transport/GrpcStoreClient.h"

#include "store.grpc.pb.h"

#include <algorithm>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <set>

namespace teaselhold::transport {

namespace {

using protocol::StoreEntry;
using protocol::StoreError;
using protocol::StoreErrorCode;

/// A watch is answered at the end of its wait, so its call may take longer.
constexpr std::chrono::milliseconds kWatchGrace{ 2000 };
constexpr int kMaxReconnectMilliseconds = 2000;
/// A watch must not wait for a connection for as long as for an answer: a wait
/// for a connection cannot be ended early.
constexpr std::chrono::milliseconds kConnectTimeout{ 1500 };

StoreError
ToStoreError(const grpc::Status& aStatus)
{
  StoreErrorCode code = StoreErrorCode::Unknown;
  if (aStatus.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED) {
    code = StoreErrorCode::RateLimited;
  } else if (aStatus.error_code() == grpc::StatusCode::INVALID_ARGUMENT) {
    code = StoreErrorCode::TooLarge;
  } else if (aStatus.error_code() == grpc::StatusCode::FAILED_PRECONDITION) {
    code = StoreErrorCode::Unavailable;
  }
  return { code, aStatus.error_message() };
}

StoreEntry
ToEntry(const wire::StoreValue& aValue)
{
  return { aValue.value(), aValue.exists() ? aValue.revision() : 0 };
}

} // namespace

class GrpcStoreClient::Implementation
{
public:
  explicit Implementation(const std::string& aAddress)
  {
    grpc::ChannelArguments arguments;
    // The default back-off grows to two minutes, far over the 7 s in which a
    // change must be in force after an outage.
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                     kMaxReconnectMilliseconds);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    channel_ = grpc::CreateCustomChannel(
      aAddress, grpc::InsecureChannelCredentials(), arguments);
    stub_ = wire::Store::NewStub(channel_);
  }

  /// Runs one unary call. A call on a channel without a connection is refused
  /// before it is sent, so that its outcome is certain.
  template<typename Request, typename Response>
  tl::expected<Response, StoreError> Call(
    grpc::Status (wire::Store::Stub::*aMethod)(grpc::ClientContext*,
                                               const Request&,
                                               Response*),
    const Request& aRequest,
    std::chrono::milliseconds aTimeout)
  {
    const auto now = std::chrono::system_clock::now();
    if (!channel_->WaitForConnected(now +
                                    std::min(aTimeout, kConnectTimeout))) {
      return tl::make_unexpected(
        StoreError{ StoreErrorCode::Unavailable, "the store is unreachable" });
    }
    grpc::ClientContext context;
    context.set_deadline(now + aTimeout);
    if (!Open(context)) {
      return tl::make_unexpected(
        StoreError{ StoreErrorCode::Unavailable, "the client is closed" });
    }
    Response response;
    const auto status = (stub_.get()->*aMethod)(&context, aRequest, &response);
    Finish(context);
    if (!status.ok()) {
      return tl::make_unexpected(ToStoreError(status));
    }
    return response;
  }

  void Close()
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    for (auto* context : open_) {
      context->TryCancel();
    }
  }

private:
  bool Open(grpc::ClientContext& aContext)
  {
    const std::lock_guard lock(mutex_);
    if (!closed_) {
      open_.insert(&aContext);
    }
    return !closed_;
  }

  void Finish(grpc::ClientContext& aContext)
  {
    const std::lock_guard lock(mutex_);
    open_.erase(&aContext);
  }

  std::shared_ptr<grpc::Channel> channel_;
  std::unique_ptr<wire::Store::Stub> stub_;
  std::mutex mutex_;
  std::set<grpc::ClientContext*> open_;
  bool closed_ = false;
};

GrpcStoreClient::GrpcStoreClient(const std::string& aAddress)
  : implementation_(std::make_unique<Implementation>(aAddress))
{
}

GrpcStoreClient::~GrpcStoreClient() = default;

void
GrpcStoreClient::Close()
{
  implementation_->Close();
}

tl::expected<StoreEntry, StoreError>
GrpcStoreClient::Get(const std::string& aKey,
                     std::chrono::milliseconds aTimeout)
{
  wire::StoreGetRequest request;
  request.set_key(aKey);
  return implementation_->Call(&wire::Store::Stub::Get, request, aTimeout)
    .map(ToEntry);
}

tl::expected<protocol::SwapResult, StoreError>
GrpcStoreClient::CompareAndSwap(const std::string& aKey,
                                std::uint64_t aExpectedRevision,
                                const std::string& aValue,
                                protocol::LeaseId aLease,
                                std::chrono::milliseconds aTimeout)
{
  wire::StoreCompareAndSwapRequest request;
  request.set_key(aKey);
  request.set_expected_revision(aExpectedRevision);
  request.set_value(aValue);
  request.set_lease(aLease);
  return implementation_
    ->Call(&wire::Store::Stub::CompareAndSwap, request, aTimeout)
    .map([](const wire::StoreCompareAndSwapResponse& aResponse) {
      return protocol::SwapResult{ aResponse.swapped(),
                                   ToEntry(aResponse.current()) };
    });
}

tl::expected<protocol::LeaseId, StoreError>
GrpcStoreClient::GrantLease(std::chrono::milliseconds aTimeToLive,
                            std::chrono::milliseconds aTimeout)
{
  wire::StoreGrantLeaseRequest request;
  request.set_time_to_live_milliseconds(
    static_cast<std::uint32_t>(aTimeToLive.count()));
  return implementation_
    ->Call(&wire::Store::Stub::GrantLease, request, aTimeout)
    .map([](const wire::StoreGrantLeaseResponse& aResponse) {
      return protocol::LeaseId{ aResponse.lease() };
    });
}

tl::expected<bool, StoreError>
GrpcStoreClient::KeepAlive(protocol::LeaseId aLease,
                           std::chrono::milliseconds aTimeout)
{
  wire::StoreKeepAliveRequest request;
  request.set_lease(aLease);
  return implementation_->Call(&wire::Store::Stub::KeepAlive, request, aTimeout)
    .map([](const wire::StoreKeepAliveResponse& aResponse) {
      return aResponse.alive();
    });
}

tl::expected<StoreEntry, StoreError>
GrpcStoreClient::Watch(const std::string& aKey,
                       std::uint64_t aKnownRevision,
                       std::chrono::milliseconds aWait)
{
  wire::StoreWatchRequest request;
  request.set_key(aKey);
  request.set_known_revision(aKnownRevision);
  request.set_wait_milliseconds(static_cast<std::uint32_t>(aWait.count()));
  return implementation_
    ->Call(&wire::Store::Stub::Watch, request, aWait + kWatchGrace)
    .map(ToEntry);
}

} // namespace teaselhold::transport
