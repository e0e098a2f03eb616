#pragma once

#include "Coordination/UpstreamHealth.h"
#include "State/EndpointTable.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace teaselhold::coordination {

/// Size class of the body of a request or an answer. A large body occupies the
/// network link of a host for a noticeable time.
enum class BodySize : std::uint8_t
{
  Small,
  Large,
};

/// The bodies that one call transfers.
struct TransferSizes
{
  BodySize request = BodySize::Small;
  /// As expected from earlier answers of the route.
  BodySize answer = BodySize::Small;
};

/// Points to a record and shares ownership of the table that holds it, so that
/// picking an upstream copies no record and the record stays valid after the
/// table is replaced.
using EndpointPointer = std::shared_ptr<const state::EndpointRecord>;
using EndpointTablePointer = std::shared_ptr<const state::EndpointTable>;

/// Tells whether a request may reach an upstream.
using UpstreamFilter = std::function<bool(const state::EndpointRecord&)>;

struct RouterOptions
{
  /// Name of this node. The upstream on the same host is the nearest one.
  std::string node;
  std::string dataCentre;
  std::string region;
  std::uint64_t randomSeed = 0;
  /// Gives an upstream that started or recovered requests at the pace of its
  /// answers.
  bool isPaced = true;
};

/// Picks the upstream for a request, using the newest endpoint table and this
/// node's own observations of each upstream. Must be used from one thread.
///
/// Each endpoint that Pick() or PickExecutor() returns or that is passed to
/// OnRequestStarted() requires exactly one later call of OnRequestFinished() or
/// OnRequestAbandoned().
class Router
{
public:
  /// A large answer comes from another data centre only if a link there has
  /// this much room: the bytes are dear, and the callers of that data centre
  /// need the link too.
  static constexpr state::Duration kMaxFarAnswerWait{ std::chrono::milliseconds(
    150) };

  explicit Router(RouterOptions aOptions);
  ~Router();

  /// Switches to the endpoint table of the newest snapshot; does nothing if it
  /// is already in use. Drops the recorded health of nodes that are not in the
  /// table any more.
  void SetEndpoints(EndpointTablePointer aEndpoints, state::Instant aNow);

  /// Picks a ready upstream of the service that is not in aTried. Draws two
  /// random upstreams with a free slot from the nearest group (this host, data
  /// centre, region, elsewhere) that has any, and takes the one with the lower
  /// expected response time. If it is behind a congested link, farther groups
  /// are considered too. If no upstream appears to have a free slot, a farther
  /// group is taken only if its expected time is clearly lower.
  /// @param aFilter upstreams that it excludes are not picked; may be empty.
  /// @return nullptr if no ready upstream is left.
  EndpointPointer Pick(std::string_view aService,
                       const std::vector<EndpointPointer>& aTried,
                       state::Instant aNow,
                       TransferSizes aSizes = {},
                       const UpstreamFilter& aFilter = {});

  /// Picks the executor of a request with an idempotency key by rendezvous
  /// hashing. Nodes of one region with the same endpoint table choose the same
  /// executor for a key, so that a repeated request that finds no claim in the
  /// store still reaches the run ledger that knows the key.
  /// @return nullptr if no ready upstream is left.
  EndpointPointer PickExecutor(std::string_view aService,
                               std::uint64_t aKeyHash,
                               const std::vector<EndpointPointer>& aTried,
                               state::Instant aNow);

  /// Counts a request to an executor that was given by a claim and not picked
  /// here.
  void OnRequestStarted(const EndpointPointer& aEndpoint, state::Instant aNow);

  /// Records the outcome of a request.
  void OnRequestFinished(const state::EndpointRecord& aEndpoint,
                         const Outcome& aOutcome,
                         state::Instant aNow);

  /// Records the network round-trip time of a small request and its response.
  void RecordRoundTripTime(const state::EndpointRecord& aEndpoint,
                           state::Duration aTime,
                           state::Instant aNow);

  /// Means over upstreams.
  struct UsualAnswers
  {
    state::Duration serviceTime{ 0 };
    double failureRate = 0;
  };

  /// @return what the upstreams of a service reported, without the one beside
  ///         this node; zeros if none did.
  UsualAnswers Usual(std::string_view aService, state::Instant aNow) const;

  /// Records the load report of a response. Must be called after
  /// OnRequestFinished().
  void RecordLoadReport(const state::EndpointRecord& aEndpoint,
                        const LoadReport& aReport,
                        state::Instant aNow);

  /// @return the smoothed time that a request occupies a slot of the upstream;
  ///         0 if unknown.
  state::Duration ServiceTime(const state::EndpointRecord& aEndpoint);

  /// Ends a request that this node cancelled, without an outcome.
  void OnRequestAbandoned(const state::EndpointRecord& aEndpoint);

  /// @return the record of the node in the current table, or nullptr.
  EndpointPointer Find(std::string_view aNode) const;

  /// @return true if the upstream is in another data centre.
  bool IsFar(const state::EndpointRecord& aEndpoint) const
  {
    return aEndpoint.dataCentre != options_.dataCentre;
  }

  /// @return the number of nodes whose health is recorded.
  std::size_t TrackedNodeCount() const { return healthByNode_.size(); }

private:
  struct Candidate;
  struct PickCriteria;
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
  ServiceList* FindServiceList(std::string_view aService, state::Instant aNow);
  void Rebuild(ServiceList& aList,
               std::string_view aService,
               state::Instant aNow);
  void UpdatePanic(ServiceList& aList, state::Instant aNow) const;
  const Candidate* PickFrom(const ServiceList& aList,
                            const PickCriteria& aCriteria);
  const Candidate* SampleGroup(const ServiceList& aList,
                               std::size_t aBegin,
                               std::size_t aEnd,
                               const PickCriteria& aCriteria);
  EndpointPointer StartRequest(const Candidate& aCandidate,
                               state::Instant aNow);
  UpstreamHealth* FindHealth(const state::EndpointRecord& aRecord);

  RouterOptions options_;
  std::minstd_rand random_;
  EndpointTablePointer endpoints_;
  /// Incremented by each change of the table; older service lists are rebuilt.
  std::uint64_t tableVersion_ = 0;
  /// Incremented by each ejection and recovery.
  std::uint64_t healthVersion_ = 0;
  ByName<UpstreamHealth> healthByNode_;
  ByName<ServiceList> serviceLists_;
};

} // namespace teaselhold::coordination
