#pragma once

#include <cstdint>

/// A position in the store in one number: the store's era, and the revision
/// within the era. A store that comes back from an earlier copy begins a new
/// era and gives revisions out again, so positions are ordered by their era
/// first. A store without eras is always in era 0.
namespace teaselhold::protocol {

/// Separates the era from the revision, in decimal so that logs stay readable.
inline constexpr std::uint64_t kRevisionsPerEra = 1'000'000'000'000;

/// @return 0, which means that there is no such key, for the revision 0.
constexpr std::uint64_t
MakePosition(std::uint64_t aEra, std::uint64_t aRevision)
{
  return aRevision == 0 ? 0 : aEra * kRevisionsPerEra + aRevision;
}

constexpr std::uint64_t
EraOf(std::uint64_t aPosition)
{
  return aPosition / kRevisionsPerEra;
}

constexpr std::uint64_t
RevisionInEra(std::uint64_t aPosition)
{
  return aPosition % kRevisionsPerEra;
}

} // namespace teaselhold::protocol
