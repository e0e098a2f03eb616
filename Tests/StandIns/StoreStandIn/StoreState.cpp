#include "Tests/StandIns/StoreStandIn/StoreState.h"

#include <algorithm>

namespace teaselhold::stand_in {

namespace {

constexpr std::size_t kMaxValueBytes = std::size_t{ 1024 } * 1024;
constexpr std::size_t kMaxHistory = 20000;

} // namespace

StoreState::StoreState(std::uint32_t aReadsPerSecond,
                       std::uint32_t aWritesPerSecond)
  : readsPerSecond_(aReadsPerSecond)
  , writesPerSecond_(aWritesPerSecond)
{
}

bool
StoreState::Admit(std::deque<Clock::time_point>& aRecent,
                  std::uint32_t aLimit,
                  Clock::time_point aNow)
{
  while (!aRecent.empty() && aNow - aRecent.front() > std::chrono::seconds(1)) {
    aRecent.pop_front();
  }
  if (aRecent.size() >= aLimit) {
    ++counters_.refusedOverRate;
    return false;
  }
  aRecent.push_back(aNow);
  return true;
}

bool
StoreState::AdmitRead(Clock::time_point aNow)
{
  return Admit(recentReads_, readsPerSecond_, aNow);
}

bool
StoreState::AdmitWrite(Clock::time_point aNow)
{
  return Admit(recentWrites_, writesPerSecond_, aNow);
}

const StoredItem*
StoreState::Find(const std::string& aKey) const
{
  const auto found = items_.find(aKey);
  return found == items_.end() ? nullptr : &found->second;
}

std::vector<const StoredItem*>
StoreState::Range(const std::string& aPrefix,
                  const std::string& aAfter,
                  std::size_t aLimit) const
{
  std::vector<const StoredItem*> items;
  auto next = items_.upper_bound(std::max(aPrefix, aAfter));
  if (aAfter.empty()) {
    next = items_.lower_bound(aPrefix);
  }
  while (next != items_.end() && next->first.starts_with(aPrefix) &&
         items.size() < aLimit) {
    items.push_back(&next->second);
    ++next;
  }
  return items;
}

std::optional<std::vector<StoreEvent>>
StoreState::EventsAfter(const std::string& aPrefix,
                        std::uint64_t aRevision) const
{
  // A revision from before the return of an earlier copy may not exist yet.
  if (aRevision < compactedTo_ || aRevision > revision_) {
    return std::nullopt;
  }
  std::vector<StoreEvent> events;
  for (const auto& event : history_) {
    if (event.revision > aRevision && event.key.starts_with(aPrefix)) {
      events.push_back(event);
    }
  }
  return events;
}

TransactionVerdict
StoreState::Apply(const StoreTransaction& aTransaction)
{
  for (const auto& condition : aTransaction.expected) {
    const auto* item = Find(condition.key);
    if ((item == nullptr ? 0 : item->revision) != condition.revision) {
      return TransactionVerdict::ConditionFailed;
    }
  }
  for (const auto& put : aTransaction.puts) {
    if (put.value.size() > kMaxValueBytes) {
      return TransactionVerdict::TooLarge;
    }
    if (put.lease != 0 && !leases_.contains(put.lease)) {
      return TransactionVerdict::NoSuchLease;
    }
  }
  for (const auto& put : aTransaction.puts) {
    Put(put);
  }
  for (const auto& key : aTransaction.deletes) {
    Remove(key);
  }
  return TransactionVerdict::Done;
}

void
StoreState::Put(const StorePut& aPut)
{
  auto& item = items_[aPut.key];
  if (item.lease != 0 && leases_.contains(item.lease)) {
    leases_[item.lease].keys.erase(aPut.key);
  }
  previousValues_[aPut.key] = item.value;
  ++revision_;
  item.createdRevision = item.revision == 0 ? revision_ : item.createdRevision;
  item.key = aPut.key;
  item.value = aPut.value;
  item.revision = revision_;
  item.lease = aPut.lease;
  if (aPut.lease != 0) {
    leases_[aPut.lease].keys.insert(aPut.key);
  }
  counters_.bytes += aPut.value.size();
  history_.push_back({ aPut.key, revision_, item });
  if (history_.size() > kMaxHistory) {
    compactedTo_ = history_.front().revision;
    history_.pop_front();
  }
}

void
StoreState::Remove(const std::string& aKey)
{
  if (items_.erase(aKey) > 0) {
    ++revision_;
    history_.push_back({ aKey, revision_, std::nullopt });
  }
}

std::uint64_t
StoreState::Grant(std::chrono::milliseconds aTimeToLive, Clock::time_point aNow)
{
  const auto lease = nextLease_++;
  leases_[lease] = { aNow + aTimeToLive, aTimeToLive, {} };
  return lease;
}

std::optional<std::chrono::milliseconds>
StoreState::Renew(std::uint64_t aLease, Clock::time_point aNow)
{
  const auto found = leases_.find(aLease);
  if (found == leases_.end()) {
    return std::nullopt;
  }
  found->second.expiry = aNow + found->second.timeToLive;
  return found->second.timeToLive;
}

bool
StoreState::EndLease(std::uint64_t aLease)
{
  const auto found = leases_.find(aLease);
  if (found == leases_.end()) {
    return false;
  }
  const auto keys = std::move(found->second.keys);
  leases_.erase(found);
  for (const auto& key : keys) {
    Remove(key);
  }
  return true;
}

void
StoreState::ExpireLeases(Clock::time_point aNow)
{
  std::vector<std::uint64_t> expired;
  for (const auto& [lease, row] : leases_) {
    if (row.expiry <= aNow) {
      expired.push_back(lease);
    }
  }
  for (const auto lease : expired) {
    EndLease(lease);
  }
}

void
StoreState::LapseLeases()
{
  while (!leases_.empty()) {
    EndLease(leases_.begin()->first);
  }
}

void
StoreState::Revoke(const std::string& aPrefix)
{
  std::vector<std::string> keys;
  for (const auto* item : Range(aPrefix, "", items_.size())) {
    keys.push_back(item->key);
  }
  for (const auto& key : keys) {
    Remove(key);
  }
}

void
StoreState::Compact()
{
  history_.clear();
  compactedTo_ = revision_;
}

void
StoreState::RestorePreviousValue(const std::string& aKey)
{
  if (const auto* item = Find(aKey)) {
    Put({ aKey, previousValues_[aKey], item->lease });
  }
}

} // namespace teaselhold::stand_in
