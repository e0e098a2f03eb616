#include "Coordination/ReaderSelection.h"

#include <algorithm>

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

} // namespace

bool
IsSelectedReader(const state::EndpointTable& aTable, std::string_view aNode)
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
  std::size_t selected = 0;
  for (const auto* record : records) {
    auto& count = selectedPerDataCentre[record->dataCentre];
    if (selected >= kReaderCount || count >= maxPerDataCentre) {
      continue;
    }
    ++count;
    ++selected;
    if (record->node == aNode) {
      return true;
    }
  }
  // Without any known reader a node reads for itself.
  return selected == 0;
}

} // namespace teaselhold::coordination
