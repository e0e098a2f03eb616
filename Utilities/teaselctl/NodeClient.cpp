#include "Utilities/teaselctl/NodeClient.h"

#include <algorithm>

namespace teaselhold::tool {

namespace {

/// Loopback and the same region connect within milliseconds; this covers a lost
/// packet and its repetition.
constexpr std::chrono::milliseconds kConnectTimeout{ 2000 };

} // namespace

NodeClient::NodeClient(std::string aAddress)
  : address_(std::move(aAddress))
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  // gRPC would otherwise send a failed call again without asking.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
  channel_ = grpc::CreateCustomChannel(
    address_, grpc::InsecureChannelCredentials(), arguments);
  stub_ = wire::Admin::NewStub(channel_);
}

bool
NodeClient::Connect(std::chrono::milliseconds aTimeout)
{
  const auto deadline =
    std::chrono::system_clock::now() + std::min(aTimeout, kConnectTimeout);
  auto state = channel_->GetState(true);
  while (state != GRPC_CHANNEL_READY) {
    // A refused connection is not tried again: the next node may answer.
    if (state == GRPC_CHANNEL_TRANSIENT_FAILURE ||
        !channel_->WaitForStateChange(state, deadline)) {
      return false;
    }
    state = channel_->GetState(true);
  }
  return true;
}

CallError
NodeClient::NotConnected() const
{
  return { true,
           "node " + address_ +
             ": cannot connect; check that the node runs and that this is its "
             "admin_address" };
}

NodeClients::NodeClients(const std::vector<std::string>& aAddresses,
                         std::ostream& aErrors)
  : errors_(aErrors)
{
  for (const auto& address : aAddresses) {
    clients_.push_back(std::make_unique<NodeClient>(address));
  }
}

} // namespace teaselhold::tool
