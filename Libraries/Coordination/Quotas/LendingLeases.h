#pragma once

#include "Coordination/Quotas/ElectorRing.h"
#include "Coordination/Quotas/QuotaMessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace teaselhold::coordination::quotas {

/// Decides which positions this node lends for. A node lends only while most of
/// the position's electors vouch for it, and an elector vouches for one node at
/// a time, so two nodes do not lend at once while they agree on the electors. A
/// node that is cut off or suspended loses the right by itself. Needs no store.
/// Answers the loads "lender killed, paused or cut" and "nodes join and leave":
/// a lender stays while it is an elector, so that changes of the fleet move few
/// positions.
class LendingLeases
{
public:
  /// How long an elector vouches for a node after it was asked.
  static constexpr state::Duration kTerm = std::chrono::seconds(2);
  static constexpr state::Duration kRenewal = std::chrono::milliseconds(650);
  /// By which the next candidate waits longer, so that one claims at a time.
  static constexpr state::Duration kTurn = std::chrono::milliseconds(300);

  struct OutgoingClaim
  {
    std::string elector;
    Claim claim;
  };
  using OutgoingClaims = std::vector<OutgoingClaim>;

  /// @param aStart when the process started. A previous process of this node
  ///        may have vouched until then, so this one does not for one term.
  LendingLeases(std::string aNode,
                std::uint64_t aIncarnation,
                state::Instant aStart);

  /// Takes the positions for which this node is an elector.
  void SetPositions(const ElectorRing& aRing,
                    std::uint32_t aSlots,
                    state::Instant aNow);

  /// Gives up every position. The process is about to end.
  void Leave(state::Instant aNow, OutgoingClaims& aClaims);

  void Tick(state::Instant aNow, OutgoingClaims& aClaims);

  /// Answers the claim of another node.
  Vouch OnClaim(const std::string& aFrom,
                std::uint64_t aIncarnation,
                const Claim& aClaim,
                state::Instant aNow);

  /// @param aSent when the claim was sent.
  void OnVouch(const std::string& aElector,
               const Vouch& aVouch,
               state::Instant aSent,
               state::Instant aNow);

  /// The right to lend for a position.
  struct Lending
  {
    /// Differs for each span without interruption and each process.
    std::uint64_t term = 0;
    state::Instant since{ 0 };
  };

  /// @return nothing if this node does not lend for the position.
  std::optional<Lending> FindLending(const Position& aPosition,
                                     state::Instant aNow) const;

  /// @return the node that this node vouches for; empty if there is none.
  std::string LenderOf(const Position& aPosition, state::Instant aNow) const;

  std::size_t CountLending(state::Instant aNow) const;

private:
  /// For whom this node vouches.
  struct Promise
  {
    std::string node;
    std::uint64_t incarnation = 0;
    /// The newest claim; an older release comes late.
    std::uint64_t number = 0;
    state::Instant end{ 0 };
  };

  struct Candidacy
  {
    std::vector<std::string> electors;
    std::size_t rank = 0;
    /// When the claims that each elector granted were sent.
    std::map<std::string, state::Instant> vouches;
    /// The right to lend ends then.
    state::Instant end{ 0 };
    Lending lending;
    bool isClaiming = false;
    state::Instant nextClaim{ 0 };
    state::Instant claimingSince{ 0 };
  };

  void ClaimAll(const Position& aPosition,
                Candidacy& aCandidacy,
                state::Instant aNow,
                OutgoingClaims& aClaims);
  void GiveUp(const Position& aPosition,
              Candidacy& aCandidacy,
              state::Instant aNow,
              OutgoingClaims& aClaims);
  void Count(Candidacy& aCandidacy, state::Instant aNow);

  std::string node_;
  std::uint64_t incarnation_;
  state::Instant start_;
  bool isLeaving_ = false;
  std::uint64_t lastTerm_;
  std::uint64_t lastClaim_ = 0;
  std::map<Position, Promise> promises_;
  std::map<Position, Candidacy> candidacies_;
};

} // namespace teaselhold::coordination::quotas
