#pragma once

#include "Protocol/StoreClient.h"

#include <memory>
#include <string>

namespace teaselhold::transport {

/// The store's client over gRPC. The only file that knows the store's wire
/// format.
class GrpcStoreClient final : public protocol::StoreClient
{
public:
  explicit GrpcStoreClient(const std::string& aAddress);
  ~GrpcStoreClient() override;

  tl::expected<protocol::StoreEntry, protocol::StoreError> Get(
    const std::string& aKey,
    std::chrono::milliseconds aTimeout) override;

  tl::expected<protocol::SwapResult, protocol::StoreError> CompareAndSwap(
    const std::string& aKey,
    std::uint64_t aExpectedRevision,
    const std::string& aValue,
    protocol::LeaseId aLease,
    std::chrono::milliseconds aTimeout) override;

  tl::expected<protocol::LeaseId, protocol::StoreError> GrantLease(
    std::chrono::milliseconds aTimeToLive,
    std::chrono::milliseconds aTimeout) override;

  tl::expected<bool, protocol::StoreError> KeepAlive(
    protocol::LeaseId aLease,
    std::chrono::milliseconds aTimeout) override;

  tl::expected<protocol::StoreEntry, protocol::StoreError> Watch(
    const std::string& aKey,
    std::uint64_t aKnownRevision,
    std::chrono::milliseconds aWait) override;

  void Close() override;

private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

} // namespace teaselhold::transport
