#include "Coordination/ReaderSelection.h"

#include <algorithm>
#include <map>

namespace teaselhold::coordination {

namespace {

/// With this number some readers survive the loss of a data centre or of half
/// of all hosts.
constexpr std::size_t kReaderCount = 4;

bool
IsEligible(const state::EndpointRecord& aRecord)
{
  return aRecord.state == state::EndpointState::Ready ||
         aRecord.state == state::EndpointState::Starting;
}

/// The nodes that may read, by falling capacity and then by name, and how many
/// of them are selected. The selected ones come first.
struct ReaderOrder
{
  std::vector<const state::EndpointRecord*> records;
  std::size_t selected = 0;
};

ReaderOrder
OrderReaders(const state::EndpointTable& aTable)
{
  auto records = aTable.All();
  std::erase_if(records,
                [](const auto* aRecord) { return !IsEligible(*aRecord); });
  // The records are sorted by name, so a stable sort gives all nodes the same
  // order among equal capacities.
  std::ranges::stable_sort(records, [](const auto* aLeft, const auto* aRight) {
    return aLeft->capacity > aRight->capacity;
  });
  std::map<std::string_view, std::size_t> selectedPerDataCentre;
  for (const auto* record : records) {
    selectedPerDataCentre.try_emplace(record->dataCentre, 0);
  }
  const auto dataCentres =
    std::max<std::size_t>(selectedPerDataCentre.size(), 1);
  const auto maxPerDataCentre = (kReaderCount + dataCentres - 1) / dataCentres;
  ReaderOrder order;
  std::vector<const state::EndpointRecord*> others;
  for (const auto* record : records) {
    auto& count = selectedPerDataCentre[record->dataCentre];
    if (order.records.size() < kReaderCount && count < maxPerDataCentre) {
      ++count;
      order.records.push_back(record);
    } else {
      others.push_back(record);
    }
  }
  order.selected = order.records.size();
  order.records.insert(order.records.end(), others.begin(), others.end());
  return order;
}

} // namespace

bool
IsSelectedReader(const state::EndpointTable& aTable, std::string_view aNode)
{
  const auto order = OrderReaders(aTable);
  const auto end =
    order.records.begin() + static_cast<std::ptrdiff_t>(order.selected);
  // Without any known reader a node reads for itself.
  return order.selected == 0 ||
         std::any_of(order.records.begin(), end, [&](const auto* aRecord) {
           return aRecord->node == aNode;
         });
}

std::vector<std::string>
ReadersBefore(const state::EndpointTable& aTable, std::string_view aNode)
{
  const auto order = OrderReaders(aTable);
  std::vector<std::string> addresses;
  for (const auto* record : order.records) {
    if (record->node == aNode) {
      break;
    }
    addresses.push_back(record->dataAddress);
  }
  const auto readers = std::min(order.selected, addresses.size());
  if (readers > 0) {
    const auto first = std::hash<std::string_view>()(aNode) % readers;
    std::rotate(addresses.begin(),
                addresses.begin() + static_cast<std::ptrdiff_t>(first),
                addresses.begin() + static_cast<std::ptrdiff_t>(readers));
  }
  return addresses;
}

} // namespace teaselhold::coordination
