#pragma once

#include "State/Configuration.h"
#include "State/Instant.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace teaselhold::coordination {

/// Says that at this time, on the clock of this node, no newer version than
/// this generation was acknowledged. Comes from a linearizable read of the
/// store, whose time is that of sending the call, or from another node.
struct Attestation
{
  state::Generation generation = 0;
  state::Instant time{ 0 };

  bool operator==(const Attestation&) const = default;
};

/// An attestation in the answer of one node to another. The clocks of nodes are
/// not comparable, so it names a time span.
struct AttestationReport
{
  state::Generation generation = 0;
  /// From the attestation to the arrival of the request that is answered;
  /// negative if it is the later one.
  std::chrono::milliseconds age{ 0 };
};

/// Collects attestations to tell how long ago the configuration in force was
/// the newest, so that keys which were withdrawn since are used no longer than
/// the deployment allows. Touches neither network nor clock. Not thread-safe.
class Attestations
{
public:
  void Add(const Attestation& aAttestation);

  /// Takes what another node answered.
  /// @param aSent when this node sent the request; a late answer is no younger.
  void Learn(const AttestationReport& aReport, state::Instant aSent);

  /// Returns what the answer to a request says that arrived at aArrived.
  std::optional<AttestationReport> Report(state::Instant aArrived) const;

  /// Returns the latest time at which no newer version than aActive was
  /// acknowledged, or nullopt if that was never heard.
  std::optional<state::Instant> VerifiedAt(state::Generation aActive) const;

  /// Returns the latest one, which may be of a version that is not in force
  /// here yet.
  std::optional<Attestation> Latest() const;

private:
  /// Generation and time rise from one to the next: a later one of an older
  /// version would say more than an earlier one of a newer version.
  std::vector<Attestation> list_;
};

/// Tells whether keys may be used. Without a bound, always.
struct KeyRule
{
  /// A withdrawn key opens nothing later than this after the acknowledgement
  /// of its withdrawal; 0 if the time that a version takes to be in force is
  /// enough.
  state::Duration bound{ 0 };

  bool IsStrict() const { return bound > state::Duration{ 0 }; }

  bool MayUseKeys(const Attestations& aAttestations,
                  state::Generation aActive,
                  state::Instant aNow) const;
};

} // namespace teaselhold::coordination
