#pragma once

#include "admin.grpc.pb.h"

#include <chrono>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <ostream>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace teaselhold::tool {

struct CallError
{
  /// The call certainly never reached the node.
  bool notSent = false;
  /// Names the node's address.
  std::string message;
};

/// Calls one node's admin address.
class NodeClient
{
public:
  explicit NodeClient(std::string aAddress);

  const std::string& Address() const { return address_; }

  template<typename Request, typename Response>
  tl::expected<Response, CallError> Call(
    grpc::Status (wire::Admin::Stub::*aMethod)(grpc::ClientContext*,
                                               const Request&,
                                               Response*),
    const Request& aRequest,
    std::chrono::milliseconds aTimeout)
  {
    // A request on a channel that never connected was certainly not sent.
    if (!Connect(aTimeout)) {
      return tl::make_unexpected(NotConnected());
    }
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + aTimeout);
    Response response;
    const auto status = (stub_.get()->*aMethod)(&context, aRequest, &response);
    if (!status.ok()) {
      return tl::make_unexpected(
        CallError{ false, "node " + address_ + ": " + status.error_message() });
    }
    return response;
  }

private:
  bool Connect(std::chrono::milliseconds aTimeout);
  CallError NotConnected() const;

  std::string address_;
  std::shared_ptr<grpc::Channel> channel_;
  std::unique_ptr<wire::Admin::Stub> stub_;
};

/// The nodes that the operator named.
class NodeClients
{
public:
  /// aErrors gets a line for each node that did not answer while others are
  /// left to try.
  NodeClients(const std::vector<std::string>& aAddresses,
              std::ostream& aErrors);

  std::vector<std::unique_ptr<NodeClient>>& All() { return clients_; }

  /// Calls the nodes in turn until one answers. For calls that change nothing.
  template<typename Request, typename Response>
  tl::expected<Response, CallError> Call(
    grpc::Status (wire::Admin::Stub::*aMethod)(grpc::ClientContext*,
                                               const Request&,
                                               Response*),
    const Request& aRequest,
    std::chrono::milliseconds aTimeout)
  {
    for (const auto& client : clients_) {
      auto response = client->Call(aMethod, aRequest, aTimeout);
      if (response) {
        answered_ = client->Address();
        return response;
      }
      if (client == clients_.back()) {
        return response;
      }
      errors_ << response.error().message << "; trying the next node\n";
    }
    return tl::make_unexpected(CallError{ true, "no node is named" });
  }

  /// The address of the node that answered last.
  const std::string& Answered() const { return answered_; }

private:
  std::ostream& errors_;
  std::vector<std::unique_ptr<NodeClient>> clients_;
  std::string answered_;
};

} // namespace teaselhold::tool
