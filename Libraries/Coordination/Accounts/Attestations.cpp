#include "Coordination/Accounts/Attestations.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// The share of the bound that is left for clocks that run at different
/// speeds, in percent. Hosts' clocks differ by less than 1%.
constexpr int kClockPercent = 2;
constexpr int kHundredPercent = 100;

/// Versions of which one may still come into force here. Quick changes reach a
/// node within its apply bound, and attestations come a few a second.
constexpr std::size_t kMaxAttestations = 32;

} // namespace

void
Attestations::Add(const Attestation& aAttestation)
{
  const auto says = [&](const Attestation& aOther) {
    return aOther.generation <= aAttestation.generation &&
           aOther.time >= aAttestation.time;
  };
  if (std::ranges::any_of(list_, says)) {
    return;
  }
  std::erase_if(list_, [&](const Attestation& aOther) {
    return aOther.generation >= aAttestation.generation &&
           aOther.time <= aAttestation.time;
  });
  const auto place =
    std::ranges::find_if(list_, [&](const Attestation& aOther) {
      return aOther.generation > aAttestation.generation;
    });
  list_.insert(place, aAttestation);
  if (list_.size() > kMaxAttestations) {
    // The first ones are the oldest.
    list_.erase(list_.begin());
  }
}

void
Attestations::Learn(const AttestationReport& aReport, state::Instant aSent)
{
  // The other node got the request after aSent.
  Add({ aReport.generation, aSent - aReport.age });
}

std::optional<AttestationReport>
Attestations::Report(state::Instant aArrived) const
{
  if (list_.empty()) {
    return std::nullopt;
  }
  const auto& latest = list_.back();
  return AttestationReport{ latest.generation,
                            std::chrono::ceil<std::chrono::milliseconds>(
                              aArrived - latest.time) };
}

std::optional<state::Instant>
Attestations::VerifiedAt(state::Generation aActive) const
{
  std::optional<state::Instant> time;
  for (const auto& attestation : list_) {
    if (attestation.generation <= aActive) {
      time = attestation.time;
    }
  }
  return time;
}

std::optional<Attestation>
Attestations::Latest() const
{
  return list_.empty() ? std::nullopt : std::optional(list_.back());
}

bool
KeyRule::MayUseKeys(const Attestations& aAttestations,
                    state::Generation aActive,
                    state::Instant aNow) const
{
  if (!IsStrict()) {
    return true;
  }
  const auto verified = aAttestations.VerifiedAt(aActive);
  return verified && aNow - *verified < bound *
                                          (kHundredPercent - kClockPercent) /
                                          kHundredPercent;
}

} // namespace teaselhold::coordination
