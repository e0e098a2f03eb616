#pragma once

#include "State/EndpointRecord.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace teaselhold::state {

/// All known endpoint records, one per node, with an incremental digest for
/// each service.
class EndpointTable
{
public:
  /// Takes the record if it is newer than the known one. Newer means a higher
  /// (incarnation, sequence), or Down at equal numbers.
  /// @return true if the table changed.
  bool Merge(const EndpointRecord& aRecord);

  /// Removes the record of a node.
  /// @return true if there was one.
  bool Erase(std::string_view aNode);

  /// @return the record, or nullptr if the node is unknown.
  const EndpointRecord* Find(std::string_view aNode) const;

  /// @return the records of a service, ordered by node name.
  std::vector<const EndpointRecord*> OfService(std::string_view aService) const;

  /// @return all records, ordered by node name.
  std::vector<const EndpointRecord*> All() const;

  std::vector<std::string> Services() const;

  /// @return the digest of a service's records; 0 if there are none.
  std::uint64_t Digest(std::string_view aService) const;

  /// @return one digest over the given services.
  std::uint64_t Digest(const std::vector<std::string>& aServices) const;

  /// @return one digest over the whole table.
  std::uint64_t TableDigest() const;

  std::size_t Size() const { return records_.size(); }

private:
  struct ServiceEntry
  {
    std::set<std::string, std::less<>> nodes;
    std::uint64_t digest = 0;
  };

  void AddToService(const EndpointRecord& aRecord);
  void RemoveFromService(const EndpointRecord& aRecord);

  std::map<std::string, EndpointRecord, std::less<>> records_;
  std::map<std::string, ServiceEntry, std::less<>> services_;
};

} // namespace teaselhold::state
