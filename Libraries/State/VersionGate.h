#pragma once

#include "State/Configuration.h"

#include <cstdint>
#include <optional>

namespace teaselhold::state {

/// The result of comparing an offered version with the held one.
enum class VersionOffer : std::uint8_t
{
  Newer,
  Same,
  Older,
  /// The same generation with another digest.
  Conflicting,
};

inline constexpr std::array<EnumName<VersionOffer>, 4> kVersionOfferNames{ {
  { VersionOffer::Newer, "newer" },
  { VersionOffer::Same, "same" },
  { VersionOffer::Older, "older" },
  { VersionOffer::Conflicting, "conflicting" },
} };

/// Decides which generations this process may hold and put in force. Neither
/// the held nor the active generation ever decreases.
class VersionGate
{
public:
  /// Compares an offered version with the held one and counts older offers.
  VersionOffer Judge(Generation aGeneration, std::uint64_t aDigest);

  /// Stores a version as the newest held one.
  /// Fails with OlderVersion unless it is newer than the held one.
  tl::expected<void, StateError> Hold(Generation aGeneration,
                                      std::uint64_t aDigest);

  /// Sets the lowest generation that may be in force after a restart. A floor
  /// only rises.
  void RaiseFloor(Generation aGeneration);

  /// Makes the floor unknown until the next RaiseFloor. What is in force stays
  /// in force.
  void ForgetFloor() { floorKnown_ = false; }

  bool IsFloorKnown() const { return floorKnown_; }
  Generation Floor() const { return floor_; }

  /// The process knows that it holds at least what it ran before a restart.
  bool IsSettled() const { return floorKnown_ && held_ >= floor_; }

  /// @return true if Activate would succeed.
  bool MayActivate(Generation aGeneration) const;

  /// Records that a version is in force. Fails with OlderVersion if it is not
  /// newer than the active one or is below the floor, and with NotFound if it
  /// is newer than the held one or the floor is unknown.
  tl::expected<void, StateError> Activate(Generation aGeneration);

  Generation Held() const { return held_; }
  std::uint64_t HeldDigest() const { return heldDigest_; }
  Generation Active() const { return active_; }

  /// Offers that were ignored because they were older than the held version.
  std::uint64_t OlderOffers() const { return olderOffers_; }

private:
  Generation held_ = 0;
  std::uint64_t heldDigest_ = 0;
  Generation active_ = 0;
  Generation floor_ = 0;
  bool floorKnown_ = false;
  std::uint64_t olderOffers_ = 0;
};

} // namespace teaselhold::state
