#include "Coordination/Room/NestedRoutes.h"

namespace teaselhold::coordination {

namespace {

constexpr std::size_t kMaxRoutes = 1024;
/// A single request may belong to a run that ended while it was on its way.
constexpr std::uint32_t kMinClientRequests = 2;
/// Requests after which the evidence counts half. In a busy period few requests
/// of clients can be told from nested calls, so it must outlast such a period.
constexpr std::uint32_t kMemoryRequests = 4096;

} // namespace

bool
NestedRoutes::Record(std::string_view aRoute, bool aMayBeNested)
{
  auto found = routes_.find(aRoute);
  if (found == routes_.end()) {
    if (routes_.size() >= kMaxRoutes) {
      routes_.clear();
    }
    found = routes_.try_emplace(std::string(aRoute)).first;
  }
  auto& evidence = found->second;
  ++evidence.requests;
  evidence.clientRequests += aMayBeNested ? 0 : 1;
  if (evidence.requests >= kMemoryRequests) {
    evidence.requests /= 2;
    evidence.clientRequests /= 2;
  }
  return aMayBeNested && evidence.clientRequests < kMinClientRequests;
}

} // namespace teaselhold::coordination
