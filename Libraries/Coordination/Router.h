#pragma once

#include "Coordination/UpstreamHealth.h"
#include "State/EndpointTable.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace teaselhold::coordination {

/// Large bodies take noticeable time on the links of hosts.
enum class BodySize : std::uint8_t
{
  Small,
  Large,
};

/// Shares the ownership of the table that holds the record, so that a pick
/// copies no record and outlives a change of the table.
using EndpointPointer = std::shared_ptr<const state::EndpointRecord>;
using EndpointTablePointer = std::shared_ptr<const state::EndpointTable>;

struct RouterOptions
{
  /// The name of this node; the upstream beside it is the nearest one.
  std::string node;
  std::string dataCentre;
  std::string region;
  std::uint64_t randomSeed = 0;
  /// A new incarnation gets a growing share of the requests. Not where the
  /// node beside the upstream tells its load.
  bool growsNewIncarnations = true;
};

/// Picks the upstream for a request from the newest endpoints and from what
/// this node itself sees of them. Belongs to one thread.
///
/// Every Pick() and Take() that returns an endpoint is followed by exactly one
/// Finished() or Abandoned().
class Router
{
public:
  explicit Router(RouterOptions aOptions);
  ~Router();

  /// Takes the endpoints of the newest snapshot; cheap if they are the ones in
  /// use. Forgets what it knew of nodes that left.
  void Use(EndpointTablePointer aEndpoints, state::Instant aNow);

  /// Picks a ready upstream of the service that is not among aTried: from the
  /// nearest group (this host, data centre, region, elsewhere) that has a free
  /// slot as far as this node sees, the less loaded one of two random ones.
  /// Where that one is behind a busy link, farther groups are looked at too.
  /// @return nullptr if no ready upstream is left.
  EndpointPointer Pick(std::string_view aService,
                       const std::vector<EndpointPointer>& aTried,
                       state::Instant aNow,
                       BodySize aBodySize = BodySize::Small);

  /// Picks the executor of a keyed request. Nodes of one region with the same
  /// endpoints choose the same executor for a key, so that a send that finds
  /// no claim still meets the ledger that knows the key.
  /// @return nullptr if no ready upstream is left.
  EndpointPointer PickExecutor(std::string_view aService,
                               std::uint64_t aKeyHash,
                               const std::vector<EndpointPointer>& aTried,
                               state::Instant aNow);

  /// Counts a request to an executor that a claim names.
  void Take(const EndpointPointer& aEndpoint, state::Instant aNow);

  /// A request that was picked ended.
  void Finished(const state::EndpointRecord& aEndpoint,
                const Outcome& aOutcome,
                state::Instant aNow);

  /// Takes the load that came with an answer, after Finished().
  /// Takes how long a small request and its answer were under way.
  void TakeTravelTime(const state::EndpointRecord& aEndpoint,
                      state::Duration aTime,
                      state::Instant aNow);

  void TakeReport(const state::EndpointRecord& aEndpoint,
                  const LoadReport& aReport,
                  state::Instant aNow);

  /// @return the time that a request holds a slot there; 0 if not known.
  state::Duration ServiceTime(const state::EndpointRecord& aEndpoint);

  /// A request that was picked was given up by this node.
  void Abandoned(const state::EndpointRecord& aEndpoint);

  /// @return the newest record of a node, or nullptr.
  EndpointPointer Find(std::string_view aNode) const;

  /// @return the number of nodes that the router remembers.
  std::size_t ViewCount() const { return views_.size(); }

private:
  struct Candidate;
  struct Search;
  struct ServiceList;
  struct TextHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const
    {
      return std::hash<std::string_view>{}(aText);
    }
  };
  template<typename Value>
  using ByName =
    std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

  unsigned Distance(const state::EndpointRecord& aRecord) const;
  ServiceList* ListOf(std::string_view aService, state::Instant aNow);
  void Rebuild(ServiceList& aList,
               std::string_view aService,
               state::Instant aNow);
  void UpdatePanic(ServiceList& aList, state::Instant aNow) const;
  const Candidate* PickFrom(const ServiceList& aList, const Search& aSearch);
  const Candidate* SampleGroup(const ServiceList& aList,
                               std::size_t aBegin,
                               std::size_t aEnd,
                               const Search& aSearch);
  EndpointPointer Commit(const Candidate& aCandidate, state::Instant aNow);
  UpstreamHealth* ViewOf(const state::EndpointRecord& aRecord);

  RouterOptions options_;
  std::minstd_rand random_;
  EndpointTablePointer endpoints_;
  /// Raised by each change of the endpoints; older lists are rebuilt.
  std::uint64_t tableVersion_ = 0;
  /// Raised by each ejection and recovery.
  std::uint64_t healthVersion_ = 0;
  ByName<UpstreamHealth> views_;
  ByName<ServiceList> lists_;
};

} // namespace teaselhold::coordination
