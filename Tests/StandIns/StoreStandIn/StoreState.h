#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselhold::stand_in {

/// Faults that operators of the stand-in switch on.
struct StoreFaults
{
  /// Every call is answered 503 and waiting watches end.
  bool down = false;
  /// Connections are closed without an answer instead.
  bool reset = false;
  std::chrono::milliseconds delay{ 0 };
  /// This many of the next writes take effect but their answer is lost.
  unsigned loseWriteAnswers = 0;
  /// The lost writes take effect this much later, if their condition holds.
  std::chrono::milliseconds lateWrites{ 0 };
};

/// What the stand-in counted since its start; a waiting watch counts as one.
struct StoreCounters
{
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t waitingWatches = 0;
  std::uint64_t renewals = 0;
  std::uint64_t refusedOverRate = 0;
  std::uint64_t bytes = 0;
};

struct StoredItem
{
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  std::uint64_t createdRevision = 0;
  std::uint64_t lease = 0;
};

/// One entry of the history; without an item the key was removed.
struct StoreEvent
{
  std::string key;
  std::uint64_t revision = 0;
  std::optional<StoredItem> item;
};

struct StoreCondition
{
  std::string key;
  std::uint64_t revision = 0;
};

struct StorePut
{
  std::string key;
  std::string value;
  std::uint64_t lease = 0;
};

struct StoreTransaction
{
  std::vector<StoreCondition> expected;
  std::vector<StorePut> puts;
  std::vector<std::string> deletes;
};

enum class TransactionVerdict : std::uint8_t
{
  Done,
  ConditionFailed,
  NoSuchLease,
  TooLarge,
};

/// The data, rates and history of the platform's store. No I/O: the time is an
/// argument.
class StoreState
{
public:
  using Clock = std::chrono::steady_clock;

  StoreState(std::uint32_t aReadsPerSecond, std::uint32_t aWritesPerSecond);

  /// Count a call against the rates. @return false if it is refused.
  bool AdmitRead(Clock::time_point aNow);
  bool AdmitWrite(Clock::time_point aNow);

  /// @return nullptr if the key does not exist.
  const StoredItem* Find(const std::string& aKey) const;

  /// At most aLimit items with the prefix after a key, in order.
  std::vector<const StoredItem*> Range(const std::string& aPrefix,
                                       const std::string& aAfter,
                                       std::size_t aLimit) const;

  /// @return nothing if this history is gone.
  std::optional<std::vector<StoreEvent>> EventsAfter(
    const std::string& aPrefix,
    std::uint64_t aRevision) const;

  TransactionVerdict Apply(const StoreTransaction& aTransaction);

  std::uint64_t Grant(std::chrono::milliseconds aTimeToLive,
                      Clock::time_point aNow);
  /// @return nothing if the lease has ended.
  std::optional<std::chrono::milliseconds> Renew(std::uint64_t aLease,
                                                 Clock::time_point aNow);
  bool EndLease(std::uint64_t aLease);
  void ExpireLeases(Clock::time_point aNow);
  void LapseLeases();

  /// Removes the keys with a prefix as if by another writer.
  void Revoke(const std::string& aPrefix);

  /// Drops the history.
  void Compact();

  /// Gives a key its last value again, as from an old backup.
  void RestorePreviousValue(const std::string& aKey);

  std::uint64_t Revision() const { return revision_; }
  StoreCounters& Counters() { return counters_; }

private:
  struct Lease
  {
    Clock::time_point expiry;
    std::chrono::milliseconds timeToLive;
    std::set<std::string> keys;
  };

  bool Admit(std::deque<Clock::time_point>& aRecent,
             std::uint32_t aLimit,
             Clock::time_point aNow);
  void Put(const StorePut& aPut);
  void Remove(const std::string& aKey);

  std::map<std::string, StoredItem> items_;
  std::map<std::string, std::string> previousValues_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<StoreEvent> history_;
  /// Events up to this revision are gone.
  std::uint64_t compactedTo_ = 0;
  std::uint64_t revision_ = 1;
  std::uint64_t nextLease_ = 1000;
  std::uint32_t readsPerSecond_;
  std::uint32_t writesPerSecond_;
  std::deque<Clock::time_point> recentReads_;
  std::deque<Clock::time_point> recentWrites_;
  StoreCounters counters_;
};

} // namespace teaselhold::stand_in
