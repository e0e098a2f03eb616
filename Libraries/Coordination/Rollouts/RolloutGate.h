#pragma once

#include "Coordination/CallTypes.h"
#include "Coordination/Rollouts/RolloutBook.h"
#include "Coordination/Rollouts/VersionJudge.h"
#include "State/EndpointTable.h"

#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace teaselhold::coordination {

struct RolloutGateOptions
{
  /// The share of all requests of a service that an unproven version may get.
  double exposureShare = 0.1;
};

/// Which upstreams of a service a request may reach.
enum class VersionChoice : std::uint8_t
{
  Any,
  /// Those of the version that a roll-out moves to.
  Target,
  /// All others.
  Established,
};

/// The part of a roll-out on the way of requests, at every node. Bounds what an
/// unproven version gets: this node counts the requests that it brought to the
/// service and gives the version a share of them, so all nodes together stay
/// below that share however old their knowledge is. Without a running roll-out
/// in the store the version gets nothing, and the node beside one of its
/// upstreams refuses requests whose sender does not know of the roll-out.
/// Services without an order are not affected.
///
/// Also judges the version from the reports of upstreams. Not thread-safe.
class RolloutGate
{
public:
  explicit RolloutGate(RolloutGateOptions aOptions)
    : options_(aOptions)
  {
  }

  /// Returns true if no service has an order.
  bool IsEmpty() const { return book_.IsEmpty(); }

  /// Takes the ready upstreams of all services.
  void SetEndpoints(std::shared_ptr<const state::EndpointTable> aEndpoints,
                    state::Instant aNow);

  /// Takes what the control plane or another node knows.
  void Learn(const std::vector<Rollout>& aRollouts, state::Instant aNow);

  // At the node of the caller.

  /// Returns the upstreams to try for a request, best first. A Target choice of
  /// a running roll-out takes credit, which Return() gives back.
  /// @param aIsFirst false for a request that is sent again.
  std::vector<VersionChoice> Choose(const std::string& aService,
                                    bool aIsFirst,
                                    state::Instant aNow);

  /// @return true if the choice allows the upstream for a request now.
  bool Allows(VersionChoice aChoice,
              const state::EndpointRecord& aUpstream,
              state::Instant aNow) const;

  /// Gives the credit of a Target choice back that reached no upstream.
  void Return(const std::string& aService);

  /// A request reached an upstream of the service, which earns credit.
  void OnArrival(const std::string& aService);

  /// Returns the order of the service, which its requests carry; 0 if none.
  std::uint64_t Permit(const std::string& aService) const;

  /// Takes the report of an upstream that came with an answer.
  void OnReport(const state::EndpointRecord& aUpstream,
                std::string_view aReport,
                state::Instant aNow);

  /// Judges versions; call it each 100 ms or so.
  void Tick(state::Instant aNow);

  // At the node beside an upstream.

  /// @return true if the upstream must not get a request now.
  /// @param aPermit the order that the request carries, or 0.
  bool IsRefused(const std::string& aService,
                 const std::string& aVersion,
                 std::uint64_t aPermit,
                 state::Instant aNow) const;

  /// @return true if the service's upstreams report evidence.
  bool IsObserved(const std::string& aService, state::Instant aNow) const;

  // For the exchange with other nodes and the control plane.

  /// @return the roll-outs that other nodes may not know yet.
  std::vector<Rollout> Live(state::Instant aNow) const;
  std::uint32_t Digest() const { return book_.Digest(); }
  std::vector<Rollout> All() const { return book_.All(); }

  /// @return the services whose target version this node found good.
  const std::set<std::string>& Proven() const { return proven_; }

  /// Returns true once after each change that the control plane should know.
  bool TakeChanged() { return std::exchange(isChanged_, false); }

  /// @return lines for the log since the last call.
  std::vector<std::string> TakeNotes() { return std::exchange(notes_, {}); }

private:
  struct Service
  {
    std::uint64_t order = 0;
    double credit = 0;
    state::Instant knownSince{ 0 };
    /// Ready upstreams of other versions than the target.
    std::size_t oldUpstreams = 0;
    bool hadOldUpstreams = false;
    /// When the stored state became final, as far as this node knows.
    std::optional<state::Instant> finalSince;
    /// The nodes of the target version that get requests of a running
    /// roll-out, one group after the other.
    std::vector<std::string> targets;
    std::size_t groupSize = 1;
    VersionJudge judge;
    VersionFinding finding = VersionFinding::Unclear;
    /// Since when reports speak against the version without deciding.
    std::optional<state::Instant> suspiciousSince;
    /// Since when no report spoke against the version.
    std::optional<state::Instant> goodSince;
  };

  /// What applies to the requests of a service.
  enum class Stage : std::uint8_t
  {
    /// There is nothing to decide.
    Free,
    /// The target version gets nothing.
    Closed,
    Shared,
    Promoting,
    /// Only the target version gets requests.
    Moved,
  };

  void Follow(const Rollout& aRollout, state::Instant aNow);
  void Recount(const Rollout& aRollout, Service& aService) const;
  void Judge(const Rollout& aRollout, Service& aService, state::Instant aNow);
  void Note(const Rollout& aRollout,
            std::string_view aFinding,
            const VersionOpinion& aOpinion);
  Stage StageOf(const Rollout& aRollout,
                const Service& aService,
                state::Instant aNow) const;
  /// @return Stage::Free if the service has no order.
  Stage StageOf(std::string_view aService, state::Instant aNow) const;
  static bool IsInGroup(const Rollout& aRollout,
                        const Service& aService,
                        const std::string& aNode,
                        state::Instant aNow);

  RolloutGateOptions options_;
  RolloutBook book_;
  std::map<std::string, Service, std::less<>> services_;
  std::shared_ptr<const state::EndpointTable> endpoints_;
  std::set<std::string> proven_;
  bool isChanged_ = false;
  std::vector<std::string> notes_;
};

} // namespace teaselhold::coordination
