#include "Tests/Coordination/FakeStore.h"

#include <algorithm>

namespace teaselhold::tests {

using namespace coordination;

namespace {

constexpr state::Duration kOutageTimeout = std::chrono::milliseconds(500);

} // namespace

void
FakeStore::Call(const std::string& aNode,
                const CallStore& aCall,
                state::Instant aNow)
{
  ++calls;
  if (isUnavailable) {
    const protocol::StoreError error{ protocol::StoreErrorCode::Unavailable,
                                      "the store is unavailable" };
    answers_.push_back({ aNow + kOutageTimeout, aNode, { aCall.call, error } });
    return;
  }
  RemoveExpiredLeases(aNow);
  if (const auto* watch = std::get_if<StoreWatch>(&aCall.request)) {
    openWatches_.push_back(
      { aNode, aCall.call, *watch, aNow + state::Duration(watch->wait) });
    return;
  }
  auto result = Execute(aCall, aNow);
  if (std::holds_alternative<StoreSwap>(aCall.request) &&
      isNextWriteAnswerLost) {
    isNextWriteAnswerLost = false;
    result = protocol::StoreError{ protocol::StoreErrorCode::Unknown,
                                   "the answer to the write was lost" };
  }
  answers_.push_back(
    { aNow + answerTime, aNode, { aCall.call, std::move(result) } });
}

StoreResult
FakeStore::Execute(const CallStore& aCall, state::Instant aNow)
{
  if (const auto* get = std::get_if<StoreGet>(&aCall.request)) {
    return entries_[get->key].entry;
  }
  if (const auto* swap = std::get_if<StoreSwap>(&aCall.request)) {
    auto& stored = entries_[swap->key];
    const bool isExpected = stored.entry.revision == swap->expectedRevision;
    if (isExpected) {
      stored = { { swap->value, nextRevision_++ }, swap->lease };
      history[swap->key].push_back(swap->value);
    }
    return protocol::SwapResult{ isExpected, stored.entry };
  }
  if (const auto* grant = std::get_if<StoreGrant>(&aCall.request)) {
    const state::Duration duration = grant->timeToLive;
    leases_[nextLease_] = { aNow + duration, duration };
    return protocol::LeaseId{ nextLease_++ };
  }
  const auto& keepAlive = std::get<StoreKeepAlive>(aCall.request);
  const auto lease = leases_.find(keepAlive.lease);
  if (lease != leases_.end()) {
    lease->second.first = aNow + lease->second.second;
  }
  return lease != leases_.end();
}

void
FakeStore::RemoveExpiredLeases(state::Instant aNow)
{
  std::erase_if(leases_,
                [&](const auto& aLease) { return aLease.second.first < aNow; });
  for (auto& [key, stored] : entries_) {
    if (stored.lease != 0 && !leases_.contains(stored.lease)) {
      stored = {};
    }
  }
}

std::vector<FakeStore::Answer>
FakeStore::TakeDueAnswers(state::Instant aNow)
{
  RemoveExpiredLeases(aNow);
  if (!isUnavailable) {
    std::erase_if(openWatches_, [&](const OpenWatch& aWatch) {
      const auto& entry = entries_[aWatch.watch.key].entry;
      const bool isDue =
        entry.revision != aWatch.watch.knownRevision || aNow >= aWatch.until;
      if (isDue) {
        answers_.push_back({ aNow, aWatch.node, { aWatch.call, entry } });
      }
      return isDue;
    });
  }
  const auto isLater = [&](const Answer& aAnswer) {
    return aAnswer.time > aNow;
  };
  const auto due =
    std::stable_partition(answers_.begin(), answers_.end(), isLater);
  std::vector<Answer> taken(due, answers_.end());
  answers_.erase(due, answers_.end());
  return taken;
}

void
FakeStore::Overwrite(const std::string& aKey, std::string aValue)
{
  history[aKey].push_back(aValue);
  entries_[aKey] = { { std::move(aValue), nextRevision_++ }, 0 };
}

void
FakeStore::ExpireLeases()
{
  leases_.clear();
}

} // namespace teaselhold::tests
