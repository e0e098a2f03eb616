#include "Coordination/DepartureLog.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// Longer than an upstream that left, or one of its messages, can be on its
/// way, together with an outage of the store.
constexpr std::chrono::milliseconds kLeaseDuration{ 90000 };
/// Departures within this time of each other share a lease.
constexpr state::Duration kLeaseReuseTime = std::chrono::seconds(15);

} // namespace

std::string
DeparturesKey(const std::string& aNode)
{
  return protocol::kNodePrefix + aNode + protocol::kDeparturesSuffix;
}

std::string
SerializeDepartures(const state::DepartureSet& aDepartures)
{
  wire::Departures stored;
  for (const auto& run : aDepartures.Runs()) {
    auto& departure = *stored.add_departures();
    departure.set_upstream_id(run.id);
    departure.set_upstream_born_milliseconds(run.bornMilliseconds);
  }
  return stored.SerializeAsString();
}

state::DepartureSet
ParseDepartures(std::string_view aValue)
{
  state::DepartureSet departures;
  wire::Departures stored;
  const auto size = static_cast<int>(aValue.size());
  if (!stored.ParseFromArray(aValue.data(), size)) {
    return departures;
  }
  for (const auto& departure : stored.departures()) {
    if (departure.upstream_id().empty()) {
      continue;
    }
    departures.Add({ departure.upstream_id(),
                     departure.upstream_born_milliseconds(),
                     0,
                     0 });
  }
  return departures;
}

void
DepartureLog::Add(const UpstreamDeparted& aDeparture, state::Instant aNow)
{
  auto& unsaved = unsaved_[aDeparture.node];
  unsaved.departures.Add(aDeparture.upstream);
  unsaved.saveNumbers.push_back(aDeparture.saveNumber);
  unsaved.expiry = aNow + kLeaseDuration;
  nextAttempt_ = std::min(nextAttempt_, aNow);
}

void
DepartureLog::Restore(const std::string& aNode,
                      const state::DepartureSet& aDepartures,
                      state::Instant aNow)
{
  auto& unsaved = unsaved_[aNode];
  unsaved.departures.Merge(aDepartures);
  unsaved.expiry = std::max(unsaved.expiry, aNow + kLeaseDuration);
  nextAttempt_ = std::min(nextAttempt_, aNow);
}

void
DepartureLog::Tick(state::Instant aNow, Commands& aCommands)
{
  if (call_ != 0) {
    return;
  }
  const auto isExpired = [&](const auto& aEntry) {
    return aNow >= aEntry.second.expiry;
  };
  std::erase_if(unsaved_, isExpired);
  std::erase_if(saved_, isExpired);
  if (unsaved_.empty() || aNow < nextAttempt_) {
    return;
  }
  call_ = callNumbers_.Next();
  if (lease_ == 0 || aNow >= leaseReuseEnd_) {
    lease_ = 0;
    nodeInFlight_.clear();
    aCommands.push_back(CallStore{ call_, StoreGrant{ kLeaseDuration } });
    return;
  }
  const auto& [node, unsaved] = *unsaved_.begin();
  nodeInFlight_ = node;
  setInFlight_ = unsaved.stored;
  setInFlight_.Merge(unsaved.departures);
  aCommands.push_back(CallStore{ call_,
                                 StoreSwap{ DeparturesKey(node),
                                            unsaved.revision,
                                            SerializeDepartures(setInFlight_),
                                            lease_ } });
}

bool
DepartureLog::OnStoreAnswer(const StoreAnswered& aAnswer,
                            state::Instant aNow,
                            Commands& aCommands)
{
  if (call_ == 0 || aAnswer.call != call_) {
    return false;
  }
  call_ = 0;
  const auto* error = std::get_if<protocol::StoreError>(&aAnswer.result);
  if (error == nullptr) {
    backoff_.Reset();
  } else if (error->code == protocol::StoreErrorCode::LeaseLapsed) {
    lease_ = 0;
  } else {
    nextAttempt_ = aNow + backoff_.Next(random_);
  }
  if (nodeInFlight_.empty()) {
    OnGranted(aAnswer.result, aNow);
  } else {
    OnSwapped(aAnswer.result, aCommands);
  }
  return true;
}

void
DepartureLog::OnGranted(const StoreResult& aResult, state::Instant aNow)
{
  if (const auto* lease = std::get_if<protocol::LeaseId>(&aResult)) {
    lease_ = *lease;
    leaseReuseEnd_ = aNow + kLeaseReuseTime;
  }
}

void
DepartureLog::OnSwapped(const StoreResult& aResult, Commands& aCommands)
{
  const auto* swap = std::get_if<protocol::SwapResult>(&aResult);
  const auto found = unsaved_.find(nodeInFlight_);
  if (swap == nullptr || found == unsaved_.end()) {
    return;
  }
  auto& unsaved = found->second;
  unsaved.revision = swap->current.revision;
  // After a lost answer or a write of another process, the value shows whether
  // anything is missing in it.
  unsaved.stored =
    swap->swapped ? setInFlight_ : ParseDepartures(swap->current.value);
  auto merged = unsaved.stored;
  if (merged.Merge(unsaved.departures)) {
    return;
  }
  for (const auto number : unsaved.saveNumbers) {
    aCommands.push_back(DepartureSaved{ number });
  }
  aCommands.push_back(
    WriteLog{ LogLevel::Info,
              "upstream",
              "Departure is in the store. node=" + nodeInFlight_ +
                " revision=" + std::to_string(unsaved.revision) });
  Save(nodeInFlight_, unsaved);
  unsaved_.erase(found);
}

void
DepartureLog::Save(const std::string& aNode, const Unsaved& aUnsaved)
{
  auto& saved = saved_[aNode];
  saved.departures.Merge(aUnsaved.departures);
  saved.revision = aUnsaved.revision;
  saved.expiry = std::max(saved.expiry, aUnsaved.expiry);
}

void
DepartureLog::OnListing(const protocol::StoreListing& aListing,
                        state::Instant aNow)
{
  for (auto& [node, saved] : saved_) {
    // A stale listing may be older than the write.
    if (aListing.revision <= saved.revision) {
      continue;
    }
    const auto key = DeparturesKey(node);
    const auto found =
      std::ranges::find(aListing.items, key, &protocol::StoreItem::key);
    auto listed = found == aListing.items.end() ? state::DepartureSet()
                                                : ParseDepartures(found->value);
    if (!listed.Merge(saved.departures)) {
      continue;
    }
    auto& unsaved = unsaved_[node];
    unsaved.departures.Merge(saved.departures);
    unsaved.expiry = std::max(unsaved.expiry, saved.expiry);
    saved.revision = aListing.revision;
    nextAttempt_ = std::min(nextAttempt_, aNow);
  }
}

} // namespace teaselhold::coordination
