#pragma once

#include "State/EnumNames.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>

namespace teaselhold::protocol {

enum class StoreErrorCode : std::uint8_t
{
  /// The store was not reached; a write certainly did not take effect.
  Unavailable,
  /// No answer arrived in time; a write may have taken effect.
  Unknown,
  /// The store's rates are used up; the call did not take effect.
  RateLimited,
  TooLarge,
};

inline constexpr std::array<state::EnumName<StoreErrorCode>, 4>
  kStoreErrorNames{ {
    { StoreErrorCode::Unavailable, "unavailable" },
    { StoreErrorCode::Unknown, "unknown outcome" },
    { StoreErrorCode::RateLimited, "rate limited" },
    { StoreErrorCode::TooLarge, "too large" },
  } };

struct StoreError
{
  StoreErrorCode code;
  std::string message;
};

/// The value of a key; revision is 0 if the key does not exist.
struct StoreEntry
{
  std::string value;
  std::uint64_t revision = 0;
};

struct SwapResult
{
  bool swapped = false;
  /// The entry after the call, whoever wrote it.
  StoreEntry current;
};

/// Names a lease; 0 means none.
using LeaseId = std::uint64_t;

/// The platform's key-value store. Calls block until aTimeout at the longest.
class StoreClient
{
public:
  virtual ~StoreClient() = default;

  virtual tl::expected<StoreEntry, StoreError> Get(
    const std::string& aKey,
    std::chrono::milliseconds aTimeout) = 0;

  /// Writes aValue if the key's revision is aExpectedRevision (0: absent).
  virtual tl::expected<SwapResult, StoreError> CompareAndSwap(
    const std::string& aKey,
    std::uint64_t aExpectedRevision,
    const std::string& aValue,
    LeaseId aLease,
    std::chrono::milliseconds aTimeout) = 0;

  virtual tl::expected<LeaseId, StoreError> GrantLease(
    std::chrono::milliseconds aTimeToLive,
    std::chrono::milliseconds aTimeout) = 0;

  /// @return false if the lease has lapsed.
  virtual tl::expected<bool, StoreError> KeepAlive(
    LeaseId aLease,
    std::chrono::milliseconds aTimeout) = 0;

  /// Waits until the key's revision differs from aKnownRevision, for aWait at
  /// the longest, and returns the entry.
  virtual tl::expected<StoreEntry, StoreError> Watch(
    const std::string& aKey,
    std::uint64_t aKnownRevision,
    std::chrono::milliseconds aWait) = 0;

  /// Ends waiting calls early and fails all later ones. Safe on any thread.
  virtual void Close() {}
};

/// The key of the accepted configuration, a wire::StoredConfiguration.
inline constexpr const char* kConfigurationKey = "teaselhold/configuration";

} // namespace teaselhold::protocol
