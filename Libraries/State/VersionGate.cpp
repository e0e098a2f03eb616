#include "State/VersionGate.h"

#include <algorithm>

namespace teaselhold::state {

namespace {

tl::unexpected<StateError>
Fail(StateErrorCode aCode, Generation aGeneration, const char* aReason)
{
  return tl::make_unexpected(StateError{
    aCode, "generation " + std::to_string(aGeneration) + " " + aReason });
}

} // namespace

VersionOffer
VersionGate::Judge(Generation aGeneration, std::uint64_t aDigest)
{
  if (aGeneration > held_) {
    return VersionOffer::Newer;
  }
  if (aGeneration < held_) {
    ++olderOffers_;
    return VersionOffer::Older;
  }
  return aDigest == heldDigest_ ? VersionOffer::Same
                                : VersionOffer::Conflicting;
}

tl::expected<void, StateError>
VersionGate::Hold(Generation aGeneration, std::uint64_t aDigest)
{
  if (aGeneration <= held_) {
    return Fail(
      StateErrorCode::OlderVersion, aGeneration, "is not newer than the held");
  }
  held_ = aGeneration;
  heldDigest_ = aDigest;
  return {};
}

void
VersionGate::RaiseFloor(Generation aGeneration)
{
  floor_ = std::max(floor_, aGeneration);
  floorKnown_ = true;
}

bool
VersionGate::MayActivate(Generation aGeneration) const
{
  return floorKnown_ && aGeneration > active_ && aGeneration >= floor_ &&
         aGeneration <= held_;
}

tl::expected<void, StateError>
VersionGate::Activate(Generation aGeneration)
{
  if (!floorKnown_ || aGeneration > held_) {
    return Fail(StateErrorCode::NotFound, aGeneration, "is not held");
  }
  if (aGeneration <= active_ || aGeneration < floor_) {
    return Fail(
      StateErrorCode::OlderVersion, aGeneration, "is older than the active");
  }
  active_ = aGeneration;
  return {};
}

} // namespace teaselhold::state
