#include "Coordination/NodeDirectory.h"

#include "Coordination/EndpointCodec.h"

#include <set>

namespace teaselhold::coordination {

namespace {

constexpr std::chrono::milliseconds kWatchWait{ 25000 };
/// Records that change closely after each other are fetched by one call. The
/// node beside an upstream refuses what a late record sends to it.
constexpr state::Duration kPauseAfterChange = std::chrono::milliseconds(800);
/// Owners that live write their records again within about 2 s after the store
/// returns.
constexpr state::Duration kVanishedGrace = std::chrono::milliseconds(3000);

std::string
NodeOfKey(const std::string& aKey)
{
  return aKey.substr(std::string_view(protocol::kNodePrefix).size());
}

} // namespace

NodeDirectory::NodeDirectory(std::string aOwnNode,
                             CallNumbers& aNumbers,
                             RandomSource& aRandom)
  : ownKey_(protocol::kNodePrefix + std::move(aOwnNode))
  , numbers_(aNumbers)
  , random_(aRandom)
{
}

void
NodeDirectory::Tick(state::Instant aNow, Commands& aCommands)
{
  EraseOverdue(aNow, aCommands);
  if (call_ != 0 || aNow < next_) {
    return;
  }
  call_ = numbers_.Next();
  if (isListingDue_) {
    aCommands.push_back(CallStore{ call_, StoreList{ protocol::kNodePrefix } });
    return;
  }
  aCommands.push_back(CallStore{
    call_, StoreWatchPrefix{ protocol::kNodePrefix, revision_, kWatchWait } });
}

bool
NodeDirectory::OnStoreAnswer(const StoreAnswered& aAnswer,
                             state::Instant aNow,
                             Commands& aCommands)
{
  if (aAnswer.call != call_) {
    return false;
  }
  call_ = 0;
  if (!std::holds_alternative<protocol::StoreError>(aAnswer.result)) {
    backoff_.Reset();
  }
  if (const auto* listing =
        std::get_if<protocol::StoreListing>(&aAnswer.result)) {
    OnListing(*listing, aNow);
    next_ = aNow;
    return true;
  }
  if (const auto* changes =
        std::get_if<protocol::StoreChanges>(&aAnswer.result)) {
    next_ = aNow + (changes->changes.empty() ? state::Duration{ 0 }
                                             : kPauseAfterChange);
    OnChanges(*changes, aNow, aCommands);
    return true;
  }
  const auto* error = std::get_if<protocol::StoreError>(&aAnswer.result);
  const bool isHistoryLost =
    error != nullptr && error->code == protocol::StoreErrorCode::HistoryLost;
  // After a cut the next watch may miss what came before it, so the records
  // are listed again.
  isListingDue_ = true;
  isInDoubt_ = isInDoubt_ || isListed_;
  next_ =
    aNow + (isHistoryLost ? state::Duration{ 0 } : backoff_.Next(random_));
  return true;
}

void
NodeDirectory::OnListing(const protocol::StoreListing& aListing,
                         state::Instant aNow)
{
  std::set<std::string> listed;
  for (const auto& item : aListing.items) {
    listed.insert(item.key);
    if (item.key == ownKey_ && !isListed_) {
      wire::Endpoint endpoint;
      if (endpoint.ParseFromString(item.value)) {
        earlierSelf_ = FromWire(endpoint);
      }
    }
    OnPut(item.key, item.value, item.revision);
  }
  std::vector<std::string> missing;
  for (const auto& [key, revision] : revisions_) {
    if (!listed.contains(key)) {
      missing.push_back(key);
    }
  }
  for (const auto& key : missing) {
    OnVanished(key, aListing.revision, aNow);
  }
  if (!listed.contains(ownKey_)) {
    OnVanished(ownKey_, aListing.revision, aNow);
  }
  revision_ = aListing.revision;
  isListed_ = true;
  isListingDue_ = false;
}

void
NodeDirectory::OnChanges(const protocol::StoreChanges& aChanges,
                         state::Instant aNow,
                         Commands& aCommands)
{
  for (const auto& change : aChanges.changes) {
    if (change.value) {
      OnPut(change.key, *change.value, change.revision);
      continue;
    }
    const auto known = revisions_.find(change.key);
    // The own record may vanish before this watch saw it written.
    const bool isNews = known == revisions_.end()
                          ? change.key == ownKey_
                          : known->second < change.revision;
    if (isNews) {
      OnVanished(change.key, change.revision, aNow);
      aCommands.push_back(
        WriteLog{ LogLevel::Info,
                  "membership",
                  "Record vanished. node=" + NodeOfKey(change.key) +
                    " revision=" + std::to_string(change.revision) });
    }
  }
  revision_ = std::max(revision_, aChanges.revision);
}

void
NodeDirectory::OnPut(const std::string& aKey,
                     const std::string& aValue,
                     std::uint64_t aRevision)
{
  auto& known = revisions_[aKey];
  if (aRevision <= known) {
    return;
  }
  known = aRevision;
  vanished_.erase(aKey);
  if (aKey == ownKey_) {
    ownRevision_ = aRevision;
    return;
  }
  wire::Endpoint endpoint;
  if (!endpoint.ParseFromString(aValue) || endpoint.node() != NodeOfKey(aKey)) {
    return;
  }
  // The store's order decides, because clocks of restarted hosts may differ.
  table_.Erase(endpoint.node());
  table_.Merge(FromWire(endpoint));
  isChanged_ = true;
}

void
NodeDirectory::OnVanished(const std::string& aKey,
                          std::uint64_t aRevision,
                          state::Instant aNow)
{
  revisions_.erase(aKey);
  if (aKey == ownKey_) {
    ownRevision_ = 0;
    ownAbsentRevision_ = aRevision;
    return;
  }
  vanished_.try_emplace(aKey, aNow + kVanishedGrace);
}

void
NodeDirectory::EraseOverdue(state::Instant aNow, Commands& aCommands)
{
  // Without the store nobody can write a record again.
  std::erase_if(vanished_, [&](const auto& aRow) {
    if (aNow < aRow.second) {
      return false;
    }
    const auto node = NodeOfKey(aRow.first);
    isChanged_ = table_.Erase(node) || isChanged_;
    aCommands.push_back(
      WriteLog{ LogLevel::Info, "membership", "Node left. node=" + node });
    return true;
  });
}

void
NodeDirectory::SetSelf(const state::EndpointRecord& aSelf)
{
  table_.Erase(aSelf.node);
  table_.Merge(aSelf);
  isChanged_ = true;
}

} // namespace teaselhold::coordination
