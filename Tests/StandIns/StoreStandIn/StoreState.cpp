#include "Tests/StandIns/StoreStandIn/StoreState.h"

#include <thread>

namespace teaselhold::stand_in {

namespace {

constexpr std::size_t kMaxValueBytes = 1024 * 1024;
constexpr std::chrono::milliseconds kLeaseCheckInterval{ 100 };
/// An estimate of the HTTP/2 frames, headers and TCP segments of one unary call
/// without its value.
constexpr std::size_t kBytesPerCall = 250;

} // namespace

StoreState::StoreState(std::uint32_t aReadsPerSecond,
                       std::uint32_t aWritesPerSecond)
  : readsPerSecond_(aReadsPerSecond)
  , writesPerSecond_(aWritesPerSecond)
{
}

CallVerdict
StoreState::BeginCall(std::unique_lock<std::mutex>& aLock,
                      std::deque<Clock::time_point>& aRecent,
                      std::uint32_t aLimit)
{
  CountBytes(kBytesPerCall);
  const auto delay = delay_;
  if (delay.count() > 0) {
    aLock.unlock();
    std::this_thread::sleep_for(delay);
    aLock.lock();
  }
  if (down_) {
    return CallVerdict::Down;
  }
  const auto now = Clock::now();
  while (!aRecent.empty() && now - aRecent.front() > std::chrono::seconds(1)) {
    aRecent.pop_front();
  }
  if (aRecent.size() >= aLimit) {
    counters_.set_refused_over_rate(counters_.refused_over_rate() + 1);
    return CallVerdict::OverRate;
  }
  aRecent.push_back(now);
  ExpireLeases();
  return CallVerdict::Done;
}

CallVerdict
StoreState::BeginRead(std::unique_lock<std::mutex>& aLock)
{
  counters_.set_reads(counters_.reads() + 1);
  return BeginCall(aLock, recentReads_, readsPerSecond_);
}

CallVerdict
StoreState::BeginWrite(std::unique_lock<std::mutex>& aLock)
{
  counters_.set_writes(counters_.writes() + 1);
  return BeginCall(aLock, recentWrites_, writesPerSecond_);
}

CallVerdict
StoreState::EndWrite()
{
  if (loseWriteAnswers_ == 0) {
    return CallVerdict::Done;
  }
  --loseWriteAnswers_;
  return CallVerdict::AnswerLost;
}

void
StoreState::CountBytes(std::size_t aValueBytes)
{
  counters_.set_bytes(counters_.bytes() + aValueBytes);
}

void
StoreState::Fill(const std::string& aKey, wire::StoreValue& aValue)
{
  const auto found = entries_.find(aKey);
  if (found == entries_.end()) {
    return;
  }
  aValue.set_exists(true);
  aValue.set_value(found->second.value);
  aValue.set_revision(found->second.revision);
  CountBytes(found->second.value.size());
}

CallVerdict
StoreState::Get(const std::string& aKey, wire::StoreValue& aValue)
{
  std::unique_lock lock(mutex_);
  const auto verdict = BeginRead(lock);
  if (verdict == CallVerdict::Done) {
    Fill(aKey, aValue);
  }
  return verdict;
}

CallVerdict
StoreState::CompareAndSwap(const wire::StoreCompareAndSwapRequest& aRequest,
                           wire::StoreCompareAndSwapResponse& aResponse)
{
  std::unique_lock lock(mutex_);
  const auto verdict = BeginWrite(lock);
  if (verdict != CallVerdict::Done) {
    return verdict;
  }
  if (aRequest.value().size() > kMaxValueBytes) {
    return CallVerdict::TooLarge;
  }
  CountBytes(aRequest.value().size());
  const auto& key = aRequest.key();
  const auto found = entries_.find(key);
  const auto revision = found == entries_.end() ? 0 : found->second.revision;
  const auto lease = leases_.find(aRequest.lease());
  const bool leaseValid = aRequest.lease() == 0 || lease != leases_.end();
  if (revision == aRequest.expected_revision() && leaseValid) {
    auto& entry = entries_[key];
    entry.previousValue = std::move(entry.value);
    entry.value = aRequest.value();
    entry.revision = nextRevision_++;
    entry.lease = aRequest.lease();
    if (lease != leases_.end()) {
      lease->second.keys.insert(key);
    }
    aResponse.set_swapped(true);
    changed_.notify_all();
  }
  Fill(key, *aResponse.mutable_current());
  return EndWrite();
}

CallVerdict
StoreState::GrantLease(std::chrono::milliseconds aTimeToLive,
                       std::uint64_t& aLease)
{
  std::unique_lock lock(mutex_);
  const auto verdict = BeginWrite(lock);
  if (verdict != CallVerdict::Done) {
    return verdict;
  }
  aLease = nextLease_++;
  leases_[aLease] = { Clock::now() + aTimeToLive, aTimeToLive, {} };
  return EndWrite();
}

CallVerdict
StoreState::KeepAlive(std::uint64_t aLease, bool& aAlive)
{
  std::unique_lock lock(mutex_);
  const auto verdict = BeginWrite(lock);
  if (verdict != CallVerdict::Done) {
    return verdict;
  }
  const auto lease = leases_.find(aLease);
  aAlive = lease != leases_.end();
  if (aAlive) {
    lease->second.expiry = Clock::now() + lease->second.timeToLive;
  }
  return EndWrite();
}

CallVerdict
StoreState::Watch(const wire::StoreWatchRequest& aRequest,
                  wire::StoreValue& aValue)
{
  std::unique_lock lock(mutex_);
  counters_.set_watches(counters_.watches() + 1);
  const auto verdict = BeginCall(lock, recentReads_, readsPerSecond_);
  if (verdict != CallVerdict::Done) {
    return verdict;
  }
  const auto deadline =
    Clock::now() + std::chrono::milliseconds(aRequest.wait_milliseconds());
  counters_.set_waiting_watches(counters_.waiting_watches() + 1);
  const auto outage = outage_;
  const auto ended = [&] {
    const auto found = entries_.find(aRequest.key());
    const auto revision = found == entries_.end() ? 0 : found->second.revision;
    return outage_ != outage || revision != aRequest.known_revision();
  };
  while (!ended() && Clock::now() < deadline) {
    changed_.wait_until(lock,
                        std::min(deadline, Clock::now() + kLeaseCheckInterval));
    ExpireLeases();
  }
  counters_.set_waiting_watches(counters_.waiting_watches() - 1);
  if (outage_ != outage) {
    return CallVerdict::Down;
  }
  Fill(aRequest.key(), aValue);
  return CallVerdict::Done;
}

void
StoreState::ExpireLeases()
{
  const auto now = Clock::now();
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    const auto id = lease->first;
    const bool expired = lease->second.expiry <= now;
    ++lease;
    if (expired) {
      EraseLease(id);
    }
  }
}

void
StoreState::EraseLease(std::uint64_t aLease)
{
  for (const auto& key : leases_[aLease].keys) {
    const auto entry = entries_.find(key);
    if (entry != entries_.end() && entry->second.lease == aLease) {
      entries_.erase(entry);
    }
  }
  leases_.erase(aLease);
  changed_.notify_all();
}

void
StoreState::SetFaults(const wire::StoreFaults& aFaults)
{
  const std::lock_guard lock(mutex_);
  if (aFaults.down() && !down_) {
    ++outage_;
  }
  down_ = aFaults.down();
  delay_ = std::chrono::milliseconds(aFaults.delay_milliseconds());
  loseWriteAnswers_ = aFaults.lose_write_answers();
  while (aFaults.lapse_leases() && !leases_.empty()) {
    EraseLease(leases_.begin()->first);
  }
  const auto restored = entries_.find(aFaults.restore_previous_value_of());
  if (restored != entries_.end()) {
    restored->second.value = restored->second.previousValue;
    restored->second.revision = nextRevision_++;
  }
  changed_.notify_all();
}

wire::StoreCounters
StoreState::Counters()
{
  const std::lock_guard lock(mutex_);
  return counters_;
}

} // namespace teaselhold::stand_in
