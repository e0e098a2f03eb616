#include "Coordination/NodeDirectory.h"

#include "Coordination/DepartureLog.h"
#include "Coordination/EndpointCodec.h"
#include "Protocol/StoreRevision.h"

#include <algorithm>
#include <set>

namespace teaselhold::coordination {

namespace {

/// Interval between two listings. Each listing costs a call per node and
/// transfers all records, so larger fleets poll less often. Requests that are
/// routed by an outdated record are refused by the node beside the upstream.
constexpr state::Duration kMinPollInterval = std::chrono::milliseconds(800);
constexpr state::Duration kMaxPollInterval = std::chrono::milliseconds(2500);
constexpr state::Duration kPollIntervalPerNode = std::chrono::milliseconds(30);
/// Running nodes write their records again within about 2 s after the store
/// recovers. Both the owner of a record and this node notice a change up to one
/// polling interval later; OnRecordMissing() allows for the longer intervals of
/// large fleets.
constexpr state::Duration kRemovalGracePeriod = std::chrono::milliseconds(3000);
/// A stale answer is seconds old at most. After this many that were older than
/// the latest listing, the store itself has gone back.
constexpr unsigned kMaxOlderAnswers = 4;
/// Spreads the exact listings of a fleet that notices a new era.
constexpr int kExactListingSpread = 4;

std::string
NodeNameFromKey(const std::string& aKey)
{
  return aKey.substr(std::string_view(protocol::kNodePrefix).size());
}

/// @return the node whose departures the key holds; nullopt for another key.
std::optional<std::string>
NodeOfDepartures(const std::string& aKey)
{
  const std::string_view suffix(protocol::kDeparturesSuffix);
  if (!aKey.ends_with(suffix)) {
    return std::nullopt;
  }
  return NodeNameFromKey(aKey.substr(0, aKey.size() - suffix.size()));
}

} // namespace

NodeDirectory::NodeDirectory(std::string aOwnNode,
                             StoreCallNumbers& aCallNumbers,
                             RandomSource& aRandom)
  : ownKey_(protocol::kNodePrefix + std::move(aOwnNode))
  , callNumbers_(aCallNumbers)
  , random_(aRandom)
{
}

state::Duration
NodeDirectory::PollInterval() const
{
  const auto nodes = static_cast<state::Duration::rep>(table_.Size());
  return std::clamp(
    kPollIntervalPerNode * nodes, kMinPollInterval, kMaxPollInterval);
}

void
NodeDirectory::Tick(state::Instant aNow, Commands& aCommands)
{
  EraseExpired(aNow, aCommands);
  if (listCall_ != 0 || aNow < nextListing_) {
    return;
  }
  listCall_ = callNumbers_.Next();
  // The first listing must not miss the record of a previous process of this
  // node.
  isExactListing_ = isExactListingDue_;
  const auto consistency = isExactListing_
                             ? protocol::ReadConsistency::Linearizable
                             : protocol::ReadConsistency::Stale;
  aCommands.push_back(
    CallStore{ listCall_, StoreList{ protocol::kNodePrefix, consistency } });
}

bool
NodeDirectory::OnStoreAnswer(const StoreAnswered& aAnswer,
                             state::Instant aNow,
                             Commands& aCommands)
{
  if (listCall_ == 0 || aAnswer.call != listCall_) {
    return false;
  }
  listCall_ = 0;
  const auto* listing = std::get_if<protocol::StoreListing>(&aAnswer.result);
  if (listing == nullptr) {
    nextListing_ = aNow + backoff_.Next(random_);
    return true;
  }
  backoff_.Reset();
  OnAnswer(*listing, aNow, aCommands);
  const auto interval = PollInterval();
  nextListing_ =
    aNow +
    (isExactListingDue_
       ? random_.Between(state::Duration{ 0 }, interval / kExactListingSpread)
       : random_.Between(interval - interval / 4, interval));
  return true;
}

void
NodeDirectory::OnAnswer(const protocol::StoreListing& aListing,
                        state::Instant aNow,
                        Commands& aCommands)
{
  if (!isExactListing_ && !IsUsable(aListing)) {
    return;
  }
  olderAnswers_ = 0;
  isExactListingDue_ = false;
  OnListing(aListing, aNow, aCommands);
}

bool
NodeDirectory::IsUsable(const protocol::StoreListing& aListing)
{
  // A stale answer of a new era may show what was before it.
  if (protocol::EraOf(aListing.revision) > protocol::EraOf(listedRevision_)) {
    isExactListingDue_ = true;
    return false;
  }
  if (aListing.revision >= listedRevision_) {
    return true;
  }
  ++olderAnswers_;
  isExactListingDue_ = olderAnswers_ >= kMaxOlderAnswers;
  return false;
}

void
NodeDirectory::OnListing(const protocol::StoreListing& aListing,
                         state::Instant aNow,
                         Commands& aCommands)
{
  if (aListing.revision < listedRevision_) {
    // What was known is of a history that the store no longer has.
    for (auto& [key, revision] : revisions_) {
      revision = 0;
    }
  }
  std::set<std::string> listed;
  DeparturesByNode departures;
  for (const auto& item : aListing.items) {
    if (const auto node = NodeOfDepartures(item.key)) {
      departures[*node] = ParseDepartures(item.value);
      OnDepartures(*node, departures[*node]);
      continue;
    }
    listed.insert(item.key);
    OnRecord(item.key, item.value, item.revision);
  }
  if (isListed_ &&
      protocol::EraOf(aListing.revision) != protocol::EraOf(listedRevision_)) {
    OnNewEra(aListing, departures, aCommands);
  }
  listedDepartures_ = std::move(departures);
  std::vector<std::string> missing;
  for (const auto& [key, revision] : revisions_) {
    if (!listed.contains(key)) {
      missing.push_back(key);
    }
  }
  for (const auto& key : missing) {
    aCommands.push_back(
      WriteLog{ LogLevel::Info,
                "membership",
                "Record missing from the store. node=" + NodeNameFromKey(key) +
                  " revision=" + std::to_string(aListing.revision) });
    OnRecordMissing(key, aListing.revision, aNow);
  }
  if (!listed.contains(ownKey_)) {
    OnRecordMissing(ownKey_, aListing.revision, aNow);
  }
  listedRevision_ = aListing.revision;
  isListed_ = true;
}

void
NodeDirectory::OnNewEra(const protocol::StoreListing& aListing,
                        const DeparturesByNode& aDepartures,
                        Commands& aCommands)
{
  for (const auto& [node, known] : listedDepartures_) {
    const auto found = aDepartures.find(node);
    auto kept =
      found == aDepartures.end() ? state::DepartureSet() : found->second;
    if (kept.Merge(known)) {
      lostDepartures_[node].Merge(known);
    }
  }
  aCommands.push_back(WriteLog{
    LogLevel::Warning,
    "store",
    "The store came back from an earlier copy. era=" +
      std::to_string(protocol::EraOf(aListing.revision)) + " revision=" +
      std::to_string(protocol::RevisionInEra(aListing.revision)) +
      " earlier_revision=" +
      std::to_string(protocol::RevisionInEra(listedRevision_)) +
      " lost_departures=" + std::to_string(lostDepartures_.size()) });
}

void
NodeDirectory::OnRecord(const std::string& aKey,
                        const std::string& aValue,
                        std::uint64_t aRevision)
{
  auto& knownRevision = revisions_[aKey];
  if (aRevision <= knownRevision) {
    return;
  }
  knownRevision = aRevision;
  removalTimes_.erase(aKey);
  if (aKey == ownKey_) {
    ownRevision_ = aRevision;
    ownValue_ = aValue;
    LearnFromOwnRecord(aValue);
    return;
  }
  wire::Endpoint endpoint;
  if (!endpoint.ParseFromString(aValue) ||
      endpoint.node() != NodeNameFromKey(aKey)) {
    return;
  }
  // The store's revision decides which record is newer, because the clocks of
  // restarted hosts may differ. Without the erase, Merge() would compare the
  // records themselves.
  auto record = FromWire(endpoint);
  const auto departed = departures_.find(record.node);
  if (departed != departures_.end() &&
      departed->second.Contains(record.upstream)) {
    record.state = state::EndpointState::Gone;
  }
  table_.Erase(record.node);
  table_.Merge(record);
  isChanged_ = true;
}

void
NodeDirectory::OnDepartures(const std::string& aNode,
                            const state::DepartureSet& aDepartures)
{
  for (const auto& run : aDepartures.Runs()) {
    AddDeparture(aNode, run);
  }
}

void
NodeDirectory::AddDeparture(const std::string& aNode,
                            const state::UpstreamIdentity& aRun)
{
  if (protocol::kNodePrefix + aNode == ownKey_) {
    isOwnDeparturesChanged_ =
      ownDepartures_.Add(aRun) || isOwnDeparturesChanged_;
    return;
  }
  const auto* known = table_.Find(aNode);
  if (!departures_[aNode].Add(aRun) || known == nullptr ||
      !known->upstream.IsSameRun(aRun)) {
    return;
  }
  auto record = *known;
  record.state = state::EndpointState::Gone;
  table_.Erase(aNode);
  table_.Merge(record);
  isChanged_ = true;
}

void
NodeDirectory::LearnFromOwnRecord(const std::string& aValue)
{
  wire::Endpoint endpoint;
  if (!endpoint.ParseFromString(aValue)) {
    return;
  }
  const auto record = FromWire(endpoint);
  const bool isLeaving = record.state == state::EndpointState::Draining ||
                         record.state == state::EndpointState::Gone;
  if (isLeaving && !record.upstream.id.empty()) {
    AddDeparture(record.node, record.upstream);
  }
}

void
NodeDirectory::OnRecordMissing(const std::string& aKey,
                               std::uint64_t aRevision,
                               state::Instant aNow)
{
  revisions_.erase(aKey);
  if (aKey == ownKey_) {
    ownRevision_ = 0;
    ownAbsentRevision_ = aRevision;
    return;
  }
  const auto extraGrace = 2 * (PollInterval() - kMinPollInterval);
  removalTimes_.try_emplace(aKey, aNow + kRemovalGracePeriod + extraGrace);
}

void
NodeDirectory::EraseExpired(state::Instant aNow, Commands& aCommands)
{
  // The grace period also runs during a store outage, although no node can
  // write its record again then.
  std::erase_if(removalTimes_, [&](const auto& aEntry) {
    if (aNow < aEntry.second) {
      return false;
    }
    const auto node = NodeNameFromKey(aEntry.first);
    isChanged_ = table_.Erase(node) || isChanged_;
    departures_.erase(node);
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
