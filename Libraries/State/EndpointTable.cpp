#include "State/EndpointTable.h"

#include <tuple>
#include <xxhash.h>

namespace teaselhold::state {

namespace {

std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed)
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

std::uint64_t
RecordDigest(const EndpointRecord& aRecord)
{
  // Records that nothing routes to do not count, so that tables stay equal
  // when each side erases them at its own time.
  if (aRecord.state == EndpointState::Gone ||
      aRecord.state == EndpointState::Down) {
    return 0;
  }
  std::uint64_t digest = HashText(aRecord.node, aRecord.incarnation);
  digest = HashText(aRecord.service, digest ^ aRecord.sequence);
  const auto state = static_cast<std::uint8_t>(aRecord.state);
  return XXH64(&state, sizeof(state), digest);
}

bool
IsNewer(const EndpointRecord& aCandidate, const EndpointRecord& aKnown)
{
  const auto candidate = std::tie(aCandidate.incarnation, aCandidate.sequence);
  const auto known = std::tie(aKnown.incarnation, aKnown.sequence);
  if (candidate != known) {
    return candidate > known;
  }
  return aCandidate.state == EndpointState::Down &&
         aKnown.state != EndpointState::Down;
}

} // namespace

bool
EndpointTable::Merge(const EndpointRecord& aRecord)
{
  const auto known = records_.find(aRecord.node);
  if (known == records_.end()) {
    records_.emplace(aRecord.node, aRecord);
    AddToService(aRecord);
    return true;
  }
  if (!IsNewer(aRecord, known->second)) {
    return false;
  }
  RemoveFromService(known->second);
  known->second = aRecord;
  AddToService(aRecord);
  return true;
}

bool
EndpointTable::Erase(std::string_view aNode)
{
  const auto known = records_.find(aNode);
  if (known == records_.end()) {
    return false;
  }
  RemoveFromService(known->second);
  records_.erase(known);
  return true;
}

const EndpointRecord*
EndpointTable::Find(std::string_view aNode) const
{
  const auto known = records_.find(aNode);
  return known == records_.end() ? nullptr : &known->second;
}

std::vector<const EndpointRecord*>
EndpointTable::OfService(std::string_view aService) const
{
  std::vector<const EndpointRecord*> found;
  const auto entry = services_.find(aService);
  if (entry == services_.end()) {
    return found;
  }
  found.reserve(entry->second.nodes.size());
  for (const auto& node : entry->second.nodes) {
    found.push_back(&records_.find(node)->second);
  }
  return found;
}

std::vector<const EndpointRecord*>
EndpointTable::All() const
{
  std::vector<const EndpointRecord*> found;
  found.reserve(records_.size());
  for (const auto& [node, record] : records_) {
    found.push_back(&record);
  }
  return found;
}

std::vector<std::string>
EndpointTable::Services() const
{
  std::vector<std::string> names;
  names.reserve(services_.size());
  for (const auto& [name, entry] : services_) {
    names.push_back(name);
  }
  return names;
}

std::uint64_t
EndpointTable::Digest(std::string_view aService) const
{
  const auto entry = services_.find(aService);
  return entry == services_.end() ? 0 : entry->second.digest;
}

std::uint64_t
EndpointTable::Digest(const std::vector<std::string>& aServices) const
{
  std::uint64_t digest = 0;
  for (const auto& service : aServices) {
    digest ^= Digest(service);
  }
  return digest;
}

std::uint64_t
EndpointTable::TableDigest() const
{
  std::uint64_t digest = 0;
  for (const auto& [name, entry] : services_) {
    digest ^= entry.digest;
  }
  return digest;
}

void
EndpointTable::AddToService(const EndpointRecord& aRecord)
{
  auto& entry = services_[aRecord.service];
  entry.nodes.insert(aRecord.node);
  entry.digest ^= RecordDigest(aRecord);
}

void
EndpointTable::RemoveFromService(const EndpointRecord& aRecord)
{
  const auto entry = services_.find(aRecord.service);
  entry->second.nodes.erase(aRecord.node);
  entry->second.digest ^= RecordDigest(aRecord);
  if (entry->second.nodes.empty()) {
    services_.erase(entry);
  }
}

} // namespace teaselhold::state
