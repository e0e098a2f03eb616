#include "Coordination/Rollouts/RolloutKeeper.h"

#include "Protocol/StoreRevision.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

using protocol::RolloutState;

/// The nodes that want to write a state spread their writes over this time, so
/// that most of them hear of the first one before their own.
constexpr state::Duration kWriteSpread = std::chrono::milliseconds(1000);
/// The states of roll-outs that are not over are read this often, in case that
/// no other node told them.
constexpr state::Duration kPollInterval = std::chrono::milliseconds(2500);
/// A good version is promoted at this part of the duration, because a version
/// may turn bad late.
constexpr int kProofPercent = 70;
constexpr int kAllPercent = 100;
/// Time from the promotion to the end of the roll-out.
constexpr state::Duration kPromotionTime = std::chrono::milliseconds(4500);
/// All nodes send new requests to the promoted version and most requests at the
/// old one have ended by this time.
constexpr state::Duration kHandoverTime = std::chrono::milliseconds(1800);
/// What is not promoted by this time before the end is rolled back.
constexpr state::Duration kGiveUpTime = std::chrono::milliseconds(2500);

std::string
StateKey(const std::string& aService)
{
  return protocol::kRolloutStatePrefix + aService;
}

/// The service in a key, or none if the key is no usable name.
std::optional<std::string>
ServiceOf(const std::string& aKey, std::string_view aPrefix)
{
  if (!aKey.starts_with(aPrefix) ||
      !protocol::IsRolloutName(aKey.substr(aPrefix.size()))) {
    return std::nullopt;
  }
  return aKey.substr(aPrefix.size());
}

} // namespace

void
RolloutKeeper::OnOrdersRevision(std::uint64_t aRevision)
{
  ordersRevision_ = std::max(ordersRevision_, aRevision);
}

void
RolloutKeeper::OnSeen(const RolloutsSeen& aSeen)
{
  proven_ = aSeen.proven;
  for (const auto& rollout : aSeen.rollouts) {
    // The sender has this knowledge already, so nothing is published.
    book_.Merge(rollout);
  }
}

std::optional<RolloutState>
RolloutKeeper::NextState(const Rollout& aRollout, state::Instant aNow) const
{
  if (aRollout.isStateLost) {
    return aRollout.stored;
  }
  if (aRollout.IsFinal()) {
    return std::nullopt;
  }
  if (aRollout.isBad) {
    return RolloutState::RolledBack;
  }
  if (!aRollout.stored) {
    return RolloutState::Running;
  }
  if (aRollout.stored == RolloutState::Promoting) {
    const auto since = promotingSince_.find(aRollout.service);
    const bool isDue =
      since != promotingSince_.end() && aNow - since->second >= kHandoverTime;
    return isDue ? std::optional(RolloutState::Completed) : std::nullopt;
  }
  const auto age = aNow - aRollout.begin;
  if (age >= aRollout.duration - kGiveUpTime) {
    return RolloutState::RolledBack;
  }
  const auto proof = std::min(aRollout.duration * kProofPercent / kAllPercent,
                              aRollout.duration - kPromotionTime);
  const bool isProven = proven_.contains(aRollout.service) && age >= proof;
  return isProven ? std::optional(RolloutState::Promoting) : std::nullopt;
}

state::Duration
RolloutKeeper::PauseBefore(const Rollout& aRollout, RolloutState aState) const
{
  // FNV-1a; every node has another place in the order for each write.
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325U;
  constexpr std::uint64_t kPrime = 0x100000001b3U;
  constexpr std::uint64_t kSteps = 1024;
  std::uint64_t hash = kOffset;
  const auto text = aRollout.service + '/' + std::to_string(aRollout.order) +
                    '/' + std::to_string(static_cast<unsigned>(aState)) + '/' +
                    node_;
  for (const auto byte : text) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
  }
  const auto step = static_cast<state::Duration::rep>((hash >> 32U) % kSteps);
  return kWriteSpread * step / static_cast<state::Duration::rep>(kSteps);
}

void
RolloutKeeper::StartRead(Call aCall, Commands& aCommands)
{
  call_ = numbers_.Next();
  pending_ = aCall;
  pendingRevision_ = ordersRevision_;
  const bool isOrders = aCall == Call::ReadOrders;
  // A stale listing may lack an order that was just written. States are known
  // from the other nodes in most cases, and reading them stale costs a tenth.
  const auto consistency = isOrders || !areStatesKnown_
                             ? protocol::ReadConsistency::Linearizable
                             : protocol::ReadConsistency::Stale;
  aCommands.push_back(
    CallStore{ call_,
               StoreList{ isOrders ? protocol::kRolloutOrderPrefix
                                   : protocol::kRolloutStatePrefix,
                          consistency } });
}

void
RolloutKeeper::StartWrite(state::Instant aNow, Commands& aCommands)
{
  for (const auto& rollout : book_.All()) {
    const auto next = NextState(rollout, aNow);
    if (!next) {
      wishes_.erase(rollout.service);
      continue;
    }
    auto& wish = wishes_[rollout.service];
    if (wish.order != rollout.order || wish.state != *next) {
      wish = { rollout.order, *next, aNow + PauseBefore(rollout, *next) };
    }
    if (aNow < wish.due) {
      continue;
    }
    // After a write that changed nothing the next one waits for its turn again.
    wish.due = aNow + kWriteSpread;
    call_ = numbers_.Next();
    pending_ = Call::Write;
    pendingService_ = rollout.service;
    aCommands.push_back(CallStore{
      call_,
      StoreSwap{
        StateKey(rollout.service),
        absentStates_.contains(rollout.service) ? 0 : rollout.storedRevision,
        protocol::FormatRolloutStatus({ *next, rollout.target, rollout.order }),
        0 } });
    return;
  }
}

void
RolloutKeeper::Tick(state::Instant aNow, Commands& aCommands)
{
  bool isUnfinished = false;
  for (const auto& rollout : book_.All()) {
    isUnfinished = isUnfinished || !rollout.IsFinal() || rollout.isStateLost;
    if (rollout.stored != RolloutState::Promoting) {
      promotingSince_.erase(rollout.service);
    } else {
      promotingSince_.try_emplace(rollout.service, aNow);
    }
  }
  if (call_ == 0 && aNow >= nextCall_) {
    if (ordersRevision_ > readRevision_) {
      StartRead(Call::ReadOrders, aCommands);
    } else if (!book_.IsEmpty() && !areStatesKnown_) {
      StartRead(Call::ReadStates, aCommands);
    } else if (isUnfinished) {
      StartWrite(aNow, aCommands);
      if (call_ == 0 && aNow >= nextPoll_) {
        nextPoll_ =
          aNow + random_.Between(kPollInterval / 2, 3 * kPollInterval / 2);
        StartRead(Call::ReadStates, aCommands);
      }
    }
  }
  if (isPublishDue_) {
    isPublishDue_ = false;
    aCommands.push_back(SetRollouts{ book_.All() });
  }
}

bool
RolloutKeeper::OnStoreAnswer(const StoreAnswered& aAnswer,
                             state::Instant aNow,
                             Commands& aCommands)
{
  if (call_ == 0 || aAnswer.call != call_) {
    return false;
  }
  call_ = 0;
  const auto answered = std::exchange(pending_, Call::None);
  if (std::holds_alternative<protocol::StoreError>(aAnswer.result)) {
    nextCall_ = aNow + backoff_.Next(random_);
    if (answered == Call::Write) {
      // The write may have taken effect, or may yet do so.
      areStatesKnown_ = false;
    }
    return true;
  }
  backoff_.Reset();
  if (const auto* listing =
        std::get_if<protocol::StoreListing>(&aAnswer.result)) {
    OnListing(answered, *listing, aNow);
  } else if (const auto* swap =
               std::get_if<protocol::SwapResult>(&aAnswer.result)) {
    OnSwapped(*swap);
    const auto* rollout = book_.Find(pendingService_);
    if (swap->swapped && rollout != nullptr) {
      const auto status = protocol::ParseRolloutStatus(swap->current.value);
      aCommands.push_back(
        WriteLog{ LogLevel::Info,
                  "rollout",
                  "State written. service=" + pendingService_ +
                    " version=" + rollout->target +
                    " order=" + std::to_string(rollout->order) + " state=" +
                    (status ? std::string(state::FindEnumName(
                                protocol::kRolloutStateNames, status->state))
                            : std::string("unreadable")) +
                    " revision=" + std::to_string(swap->current.revision) });
    }
  }
  return true;
}

void
RolloutKeeper::OnListing(Call aCall,
                         const protocol::StoreListing& aListing,
                         state::Instant aNow)
{
  if (aCall == Call::ReadOrders) {
    OnOrders(aListing, aNow);
  } else {
    OnStates(aListing);
    areStatesKnown_ = true;
  }
}

void
RolloutKeeper::OnOrders(const protocol::StoreListing& aListing,
                        state::Instant aNow)
{
  const bool isNewEra =
    readRevision_ != 0 &&
    protocol::EraOf(aListing.revision) > protocol::EraOf(readRevision_);
  readRevision_ = std::max(pendingRevision_, aListing.revision);
  // Without orders there are no states to know. An order that comes later finds
  // its state by the first write or by other nodes.
  const bool isWithoutOrders = aListing.items.empty() && book_.IsEmpty();
  areStatesKnown_ = (areStatesKnown_ && !isNewEra) || isWithoutOrders;
  for (const auto& item : aListing.items) {
    const auto service = ServiceOf(item.key, protocol::kRolloutOrderPrefix);
    const auto order = protocol::ParseRolloutOrder(item.value);
    if (!service || !order) {
      continue;
    }
    Rollout rollout;
    rollout.service = *service;
    rollout.target = order->target;
    rollout.order = item.revision;
    rollout.duration = order->duration;
    rollout.begin = aNow;
    isPublishDue_ = book_.Merge(rollout) || isPublishDue_;
  }
}

void
RolloutKeeper::OnStates(const protocol::StoreListing& aListing)
{
  std::set<std::string> listed;
  for (const auto& item : aListing.items) {
    const auto service = ServiceOf(item.key, protocol::kRolloutStatePrefix);
    if (!service) {
      continue;
    }
    listed.insert(*service);
    absentStates_.erase(*service);
    if (book_.MergeStored(
          *service, protocol::ParseRolloutStatus(item.value), item.revision)) {
      isPublishDue_ = true;
    }
  }
  for (const auto& rollout : book_.All()) {
    if (!listed.contains(rollout.service) &&
        book_.LoseState(rollout.service, aListing.revision)) {
      absentStates_.insert(rollout.service);
    }
  }
}

void
RolloutKeeper::OnSwapped(const protocol::SwapResult& aSwap)
{
  if (aSwap.current.revision == 0) {
    absentStates_.insert(pendingService_);
    return;
  }
  absentStates_.erase(pendingService_);
  if (book_.MergeStored(pendingService_,
                        protocol::ParseRolloutStatus(aSwap.current.value),
                        aSwap.current.revision)) {
    isPublishDue_ = true;
  }
}

} // namespace teaselhold::coordination
