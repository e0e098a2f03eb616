#include "Coordination/TableComparison.h"

#include "Coordination/EndpointCodec.h"
#include "State/Configuration.h"

namespace teaselhold::coordination {

std::size_t
BucketOf(const std::string& aService)
{
  return state::DigestOfText(aService) % kTableBuckets;
}

std::vector<std::uint64_t>
BucketDigests(const state::EndpointTable& aTable)
{
  std::vector<std::uint64_t> digests(kTableBuckets, 0);
  for (const auto& service : aTable.Services()) {
    digests[BucketOf(service)] ^= aTable.Digest(service);
  }
  return digests;
}

wire::EndpointPull
MakeBucketPull(const state::EndpointTable& aTable,
               const wire::RelayExchange& aExchange)
{
  wire::EndpointPull pull;
  const auto own = BucketDigests(aTable);
  std::set<std::size_t> differing;
  for (std::size_t i = 0; i < kTableBuckets; ++i) {
    if (aExchange.buckets(static_cast<int>(i)) != own[i]) {
      differing.insert(i);
      pull.add_buckets(static_cast<std::uint32_t>(i));
    }
  }
  for (const auto& service : aTable.Services()) {
    if (differing.contains(BucketOf(service))) {
      auto& known = *pull.add_known();
      known.set_service(service);
      known.set_digest(aTable.Digest(service));
    }
  }
  return pull;
}

std::vector<std::string>
DifferingServices(const state::EndpointTable& aTable,
                  const wire::EndpointPull& aPull)
{
  std::vector<std::string> services;
  std::set<std::string> named;
  for (const auto& known : aPull.known()) {
    named.insert(known.service());
    if (aTable.Digest(known.service()) != known.digest()) {
      services.push_back(known.service());
    }
  }
  const std::set<std::size_t> buckets(aPull.buckets().begin(),
                                      aPull.buckets().end());
  for (const auto& service : aTable.Services()) {
    if (buckets.contains(BucketOf(service)) && !named.contains(service)) {
      services.push_back(service);
    }
  }
  return services;
}

void
AddServiceData(const state::EndpointTable& aTable,
               const std::string& aService,
               wire::EndpointData& aData)
{
  auto& digest = *aData.add_digests();
  digest.set_service(aService);
  digest.set_digest(aTable.Digest(aService));
  for (const auto* record : aTable.OfService(aService)) {
    *aData.add_endpoints() = ToWire(*record);
  }
}

} // namespace teaselhold::coordination
