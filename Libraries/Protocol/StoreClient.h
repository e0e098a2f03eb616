#pragma once

#include "State/EnumNames.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

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
  /// The store no longer has the changes that a watch asked for; list again.
  HistoryLost,
  /// The lease of a write has lapsed; the write did not take effect.
  LeaseLapsed,
  /// A watch was ended by its own node.
  Cancelled,
};

inline constexpr std::array<state::EnumName<StoreErrorCode>, 7>
  kStoreErrorNames{ {
    { StoreErrorCode::Unavailable, "unavailable" },
    { StoreErrorCode::Unknown, "unknown outcome" },
    { StoreErrorCode::RateLimited, "rate limited" },
    { StoreErrorCode::TooLarge, "too large" },
    { StoreErrorCode::HistoryLost, "history lost" },
    { StoreErrorCode::LeaseLapsed, "lease lapsed" },
    { StoreErrorCode::Cancelled, "cancelled" },
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
  /// With the watched configuration only: orders of roll-outs may have changed
  /// up to this revision of the store; 0 if they are not watched with it.
  std::uint64_t ordersRevision = 0;
};

struct SwapResult
{
  bool swapped = false;
  /// The entry after the call, whoever wrote it.
  StoreEntry current;
};

struct StoreItem
{
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
};

/// The keys under a prefix. Several pages may have been read, so the items are
/// not a snapshot; a watch after the revision brings what was missed.
struct StoreListing
{
  std::vector<StoreItem> items;
  std::uint64_t revision = 0;
};

/// One change of a key; without a value the key was removed.
struct StoreChange
{
  std::string key;
  std::optional<std::string> value;
  std::uint64_t revision = 0;
};

struct StoreChanges
{
  std::vector<StoreChange> changes;
  /// The next watch continues after this revision.
  std::uint64_t revision = 0;
};

enum class ReadConsistency : std::uint8_t
{
  Linearizable,
  /// May be seconds old; costs the store a fraction of the other.
  Stale,
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

  /// Reads a key whose value may be large only if it has changed.
  /// @return nothing if the key still has the revision.
  virtual tl::expected<std::optional<StoreEntry>, StoreError> GetIfChanged(
    const std::string& aKey,
    std::uint64_t aKnownRevision,
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

  /// Reads every key that starts with the prefix.
  virtual tl::expected<StoreListing, StoreError> List(
    const std::string& aPrefix,
    ReadConsistency aConsistency,
    std::chrono::milliseconds aTimeout) = 0;

  /// Waits for changes of keys that start with the prefix after a revision of
  /// the store, for aWait at the longest.
  virtual tl::expected<StoreChanges, StoreError> WatchPrefix(
    const std::string& aPrefix,
    std::uint64_t aAfterRevision,
    std::chrono::milliseconds aWait) = 0;

  /// Ends a lease and removes its keys. A lease that has lapsed is no error.
  virtual tl::expected<bool, StoreError> EndLease(
    LeaseId aLease,
    std::chrono::milliseconds aTimeout) = 0;

  /// Ends a Watch that is waiting; it fails as cancelled. Safe on any thread.
  virtual void EndWatch() {}

  /// Ends waiting calls early and fails all later ones. Safe on any thread.
  virtual void Close() {}
};

/// Makes one more client; each part that calls the store has its own.
using StoreClientFactory = std::function<std::unique_ptr<StoreClient>()>;

/// The nodes that carry requests, one record each under a lease of its own.
inline constexpr const char* kNodePrefix = "teaselhold/nodes/";

/// Follows the key of a node's record in the key of the departures of the
/// upstreams beside it, a wire::Departures under a lease of its own, so that
/// one listing shows both.
inline constexpr const char* kDeparturesSuffix = "/departures";

/// The key of the accepted configuration, a wire::StoredConfiguration.
inline constexpr const char* kConfigurationKey = "teaselhold/configuration";

/// The key of the newest changes of the configuration, a
/// wire::ConfigurationChanges, for nodes that do not read the whole of it.
inline constexpr const char* kChangesKey = "teaselhold/changes";

} // namespace teaselhold::protocol
