#pragma once

#include "store.pb.h"
#include "store_stand_in.pb.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace teaselhold::stand_in {

/// What one call of the stand-in leads to.
enum class CallVerdict : std::uint8_t
{
  Done,
  Down,
  OverRate,
  TooLarge,
  /// The write took effect but its answer must not be sent.
  AnswerLost,
};

/// The data, rates and faults of the store's stand-in.
class StoreState
{
public:
  StoreState(std::uint32_t aReadsPerSecond, std::uint32_t aWritesPerSecond);

  CallVerdict Get(const std::string& aKey, wire::StoreValue& aValue);
  CallVerdict CompareAndSwap(const wire::StoreCompareAndSwapRequest& aRequest,
                             wire::StoreCompareAndSwapResponse& aResponse);
  CallVerdict GrantLease(std::chrono::milliseconds aTimeToLive,
                         std::uint64_t& aLease);
  CallVerdict KeepAlive(std::uint64_t aLease, bool& aAlive);
  CallVerdict Watch(const wire::StoreWatchRequest& aRequest,
                    wire::StoreValue& aValue);

  void SetFaults(const wire::StoreFaults& aFaults);
  wire::StoreCounters Counters();

private:
  using Clock = std::chrono::steady_clock;

  struct Entry
  {
    std::string value;
    std::string previousValue;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };

  struct Lease
  {
    Clock::time_point expiry;
    std::chrono::milliseconds timeToLive;
    std::set<std::string> keys;
  };

  CallVerdict BeginRead(std::unique_lock<std::mutex>& aLock);
  CallVerdict BeginWrite(std::unique_lock<std::mutex>& aLock);
  CallVerdict BeginCall(std::unique_lock<std::mutex>& aLock,
                        std::deque<Clock::time_point>& aRecent,
                        std::uint32_t aLimit);
  CallVerdict EndWrite();
  void ExpireLeases();
  void EraseLease(std::uint64_t aLease);
  void CountBytes(std::size_t aValueBytes);
  void Fill(const std::string& aKey, wire::StoreValue& aValue);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Clock::time_point> recentReads_;
  std::deque<Clock::time_point> recentWrites_;
  std::uint32_t readsPerSecond_;
  std::uint32_t writesPerSecond_;
  std::uint64_t nextRevision_ = 1;
  std::uint64_t nextLease_ = 1;
  bool down_ = false;
  std::uint64_t outage_ = 0;
  std::chrono::milliseconds delay_{ 0 };
  std::uint32_t loseWriteAnswers_ = 0;
  wire::StoreCounters counters_;
};

} // namespace teaselhold::stand_in
