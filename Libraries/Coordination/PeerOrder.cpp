#include "Coordination/PeerOrder.h"

#include <algorithm>
#include <map>

namespace teaselhold::coordination {

std::vector<std::string>
OrderPeers(const state::EndpointTable& aTable,
           std::string_view aOwnNode,
           RandomSource& aRandom)
{
  auto records = aTable.All();
  std::erase_if(records, [&](const auto* aRecord) {
    return aRecord->node == aOwnNode || aRecord->dataAddress.empty();
  });
  const auto count = records.size();
  records = aRandom.Sample(std::move(records), count);
  // A node's turn is its position among the nodes of its data centre.
  std::map<std::string_view, std::size_t> turns;
  std::vector<std::pair<std::size_t, std::string>> ordered;
  ordered.reserve(count);
  for (const auto* record : records) {
    ordered.emplace_back(turns[record->dataCentre]++, record->dataAddress);
  }
  std::ranges::stable_sort(
    ordered, {}, [](const auto& aPeer) { return aPeer.first; });
  std::vector<std::string> addresses;
  addresses.reserve(count);
  for (auto& peer : ordered) {
    addresses.push_back(std::move(peer.second));
  }
  return addresses;
}

} // namespace teaselhold::coordination
