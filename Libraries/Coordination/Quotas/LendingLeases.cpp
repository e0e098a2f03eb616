#include "Coordination/Quotas/LendingLeases.h"

#include <algorithm>

namespace teaselhold::coordination::quotas {

LendingLeases::LendingLeases(std::string aNode,
                             std::uint64_t aIncarnation,
                             state::Instant aStart)
  : node_(std::move(aNode))
  , incarnation_(aIncarnation)
  , start_(aStart)
  // Terms of the processes of all nodes differ with near certainty.
  , lastTerm_(state::DigestOfText(node_ + "/" + std::to_string(aIncarnation)) &
              ~0xffffULL)
{
}

void
LendingLeases::SetPositions(const ElectorRing& aRing,
                            std::uint32_t aSlots,
                            state::Instant aNow)
{
  std::map<Position, Candidacy> candidacies;
  for (std::uint32_t index = 0; index < aSlots * kParts; ++index) {
    const Position position{ aSlots, index / kParts, index % kParts };
    auto electors = aRing.Electors(position);
    const auto self = std::ranges::find(electors, node_);
    if (self == electors.end()) {
      continue;
    }
    auto& candidacy = candidacies[position];
    const auto old = candidacies_.find(position);
    const bool isNew = old == candidacies_.end();
    if (!isNew) {
      candidacy = std::move(old->second);
    }
    candidacy.rank =
      static_cast<std::size_t>(std::distance(electors.begin(), self));
    candidacy.electors = std::move(electors);
    std::erase_if(candidacy.vouches, [&](const auto& aEntry) {
      return std::ranges::find(candidacy.electors, aEntry.first) ==
             candidacy.electors.end();
    });
    if (isNew) {
      // Another node may lend; its next claim would tell.
      const auto known = std::max(start_ + kTerm, aNow + kRenewal);
      candidacy.nextClaim = known + static_cast<int>(candidacy.rank) * kTurn;
    }
    Count(candidacy, aNow);
  }
  candidacies_ = std::move(candidacies);
  std::erase_if(promises_,
                [&](const auto& aEntry) { return aEntry.second.end <= aNow; });
}

void
LendingLeases::Leave(state::Instant aNow, OutgoingClaims& aClaims)
{
  isLeaving_ = true;
  for (auto& [position, candidacy] : candidacies_) {
    if (candidacy.isClaiming) {
      GiveUp(position, candidacy, aNow, aClaims);
    }
  }
}

void
LendingLeases::Tick(state::Instant aNow, OutgoingClaims& aClaims)
{
  if (isLeaving_) {
    return;
  }
  for (auto& [position, candidacy] : candidacies_) {
    if (aNow < candidacy.nextClaim) {
      continue;
    }
    const bool isLending = aNow < candidacy.end;
    const auto promise = promises_.find(position);
    const bool isPromised = promise != promises_.end() &&
                            aNow < promise->second.end &&
                            promise->second.node != node_;
    if (isPromised && !isLending) {
      candidacy.nextClaim =
        promise->second.end + static_cast<int>(candidacy.rank) * kTurn;
      continue;
    }
    const bool hasFailed = candidacy.isClaiming && !isLending &&
                           aNow >= candidacy.claimingSince + kRenewal;
    if (hasFailed) {
      GiveUp(position, candidacy, aNow, aClaims);
      candidacy.nextClaim = aNow + kTurn * static_cast<int>(candidacy.rank + 1);
      continue;
    }
    ClaimAll(position, candidacy, aNow, aClaims);
  }
}

void
LendingLeases::ClaimAll(const Position& aPosition,
                        Candidacy& aCandidacy,
                        state::Instant aNow,
                        OutgoingClaims& aClaims)
{
  if (!aCandidacy.isClaiming) {
    aCandidacy.isClaiming = true;
    aCandidacy.claimingSince = aNow;
  }
  aCandidacy.nextClaim = aNow + kRenewal;
  const Claim claim{ aPosition, ++lastClaim_ };
  for (const auto& elector : aCandidacy.electors) {
    if (elector != node_) {
      aClaims.push_back({ elector, claim });
      continue;
    }
    const auto vouch = OnClaim(node_, incarnation_, claim, aNow);
    OnVouch(node_, vouch, aNow, aNow);
  }
}

void
LendingLeases::GiveUp(const Position& aPosition,
                      Candidacy& aCandidacy,
                      state::Instant aNow,
                      OutgoingClaims& aClaims)
{
  const Claim release{ aPosition, ++lastClaim_, true };
  aCandidacy.isClaiming = false;
  aCandidacy.end = state::Instant(0);
  aCandidacy.vouches.clear();
  for (const auto& elector : aCandidacy.electors) {
    if (elector == node_) {
      OnClaim(node_, incarnation_, release, aNow);
    } else {
      aClaims.push_back({ elector, release });
    }
  }
}

Vouch
LendingLeases::OnClaim(const std::string& aFrom,
                       std::uint64_t aIncarnation,
                       const Claim& aClaim,
                       state::Instant aNow)
{
  Vouch answer{ aClaim.position };
  auto& promise = promises_[aClaim.position];
  const bool isSame =
    promise.node == aFrom && promise.incarnation == aIncarnation;
  if (aClaim.isRelease) {
    if (isSame && aClaim.number > promise.number) {
      promise = {};
    }
    return answer;
  }
  if (isLeaving_ || aNow < start_ + kTerm) {
    return answer;
  }
  const bool isFree = aNow >= promise.end;
  // A newer process of the same node: the one before it has ended.
  const bool isSuccessor =
    promise.node == aFrom && promise.incarnation < aIncarnation;
  if (isFree || isSame || isSuccessor) {
    promise = { aFrom,
                aIncarnation,
                isSame ? std::max(promise.number, aClaim.number)
                       : aClaim.number,
                aNow + kTerm };
    answer.isGiven = true;
  }
  answer.lender = promise.node;
  return answer;
}

void
LendingLeases::OnVouch(const std::string& aElector,
                       const Vouch& aVouch,
                       state::Instant aSent,
                       state::Instant aNow)
{
  const auto entry = candidacies_.find(aVouch.position);
  if (entry == candidacies_.end() || !entry->second.isClaiming ||
      std::ranges::find(entry->second.electors, aElector) ==
        entry->second.electors.end() ||
      aSent < entry->second.claimingSince) {
    return;
  }
  auto& candidacy = entry->second;
  if (aVouch.isGiven) {
    auto& sent = candidacy.vouches[aElector];
    sent = std::max(sent, aSent);
  } else {
    candidacy.vouches.erase(aElector);
  }
  Count(candidacy, aNow);
}

void
LendingLeases::Count(Candidacy& aCandidacy, state::Instant aNow)
{
  std::vector<state::Instant> sent;
  for (const auto& [elector, time] : aCandidacy.vouches) {
    sent.push_back(time);
  }
  const auto needed = aCandidacy.electors.size() / 2 + 1;
  const bool wasLending = aNow < aCandidacy.end;
  if (sent.size() < needed) {
    aCandidacy.end = state::Instant(0);
    return;
  }
  std::ranges::sort(sent, std::greater<>());
  aCandidacy.end = sent[needed - 1] + kTerm;
  if (!wasLending && aNow < aCandidacy.end) {
    aCandidacy.lending = { ++lastTerm_, aNow };
  }
}

std::optional<LendingLeases::Lending>
LendingLeases::FindLending(const Position& aPosition, state::Instant aNow) const
{
  const auto entry = candidacies_.find(aPosition);
  if (entry == candidacies_.end() || aNow >= entry->second.end) {
    return std::nullopt;
  }
  return entry->second.lending;
}

std::string
LendingLeases::LenderOf(const Position& aPosition, state::Instant aNow) const
{
  const auto entry = promises_.find(aPosition);
  if (entry == promises_.end() || aNow >= entry->second.end) {
    return {};
  }
  return entry->second.node;
}

std::size_t
LendingLeases::CountLending(state::Instant aNow) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(candidacies_, [&](const auto& aEntry) {
      return aNow < aEntry.second.end;
    }));
}

} // namespace teaselhold::coordination::quotas
