#include "Coordination/FloorSearch.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

constexpr std::size_t kSmallestRelaySet = 3;
constexpr state::Duration kFirstRetryInterval = std::chrono::milliseconds(300);
constexpr state::Duration kLongestRetryInterval = std::chrono::seconds(2);

} // namespace

RelaySet
FindRelaySet(const std::string& aDataCentre, const PeerDirectory& aPeers)
{
  RelaySet set;
  std::ranges::copy_if(
    aPeers.relays, std::back_inserter(set.others), [&](const Peer& aPeer) {
      return aPeer.dataCentre == aDataCentre;
    });
  if (set.Size() < kSmallestRelaySet) {
    set.others = aPeers.relays;
  }
  return set;
}

void
FloorSearch::Start(std::uint64_t aQuestion, state::Instant aNow)
{
  question_ = aQuestion;
  answers_.clear();
  askedNodes_.clear();
  retryInterval_ = kFirstRetryInterval;
  nextRetry_ = aNow + retryInterval_;
}

std::vector<Peer>
FloorSearch::SelectReceivers(const RelaySet& aSet,
                             const PeerDirectory& aPeers,
                             state::Instant aNow)
{
  const bool isRetry = aNow >= nextRetry_;
  if (isRetry) {
    retryInterval_ = std::min(retryInterval_ * 2, kLongestRetryInterval);
    nextRetry_ = aNow + retryInterval_;
  }
  // Relays outside the relay set are asked only after every member of the set
  // has answered, because the answers of the set usually suffice.
  const auto& receivers = AllAnswered(aSet) ? aPeers.relays : aSet.others;
  std::vector<Peer> selected;
  for (const auto& peer : receivers) {
    const auto answer = answers_.find(peer.node);
    // A relay that answered as unsettled may have settled since.
    const bool isAnswerNeeded =
      answer == answers_.end() || !answer->second.isSettled;
    if (askedNodes_.insert(peer.node).second || (isRetry && isAnswerNeeded)) {
      selected.push_back(peer);
    }
  }
  return selected;
}

void
FloorSearch::OnAnswer(const std::string& aNode, const wire::HeadNotice& aNotice)
{
  if (!IsRunning() || aNotice.answer() != question_) {
    return;
  }
  const auto& head = aNotice.head();
  auto& answer = answers_[aNode];
  answer.isSettled = answer.isSettled || head.settled();
  answer.held = std::max(answer.held, head.held_generation());
  answer.relayCount = aNotice.relay_count();
}

bool
FloorSearch::AllAnswered(const RelaySet& aSet) const
{
  return std::ranges::all_of(aSet.others, [this](const Peer& aPeer) {
    return answers_.contains(aPeer.node);
  });
}

std::size_t
FloorSearch::CountSettled(const std::vector<Peer>& aRelays) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aRelays, [this](const Peer& aPeer) {
      const auto answer = answers_.find(aPeer.node);
      return answer != answers_.end() && answer->second.isSettled;
    }));
}

std::size_t
FloorSearch::LargestRelayCount(const RelaySet& aSet) const
{
  // A relay that has just started may not know all members of the set yet; the
  // relays that answer report how many they know.
  auto largest = aSet.Size();
  for (const auto& peer : aSet.others) {
    const auto answer = answers_.find(peer.node);
    if (answer != answers_.end()) {
      largest = std::max(largest, answer->second.relayCount);
    }
  }
  return largest;
}

state::Generation
FloorSearch::HighestHeld(const LocalState& aLocal) const
{
  auto highest = aLocal.held;
  for (const auto& [node, answer] : answers_) {
    highest = std::max(highest, answer.held);
  }
  return highest;
}

bool
FloorSearch::HasFleetQuorum(const LocalState& aLocal,
                            const RelaySet& aSet,
                            const PeerDirectory& aPeers) const
{
  // A relay that has not answered is counted as possibly settled.
  const auto settled = CountSettled(aPeers.relays) + (aLocal.isSettled ? 1 : 0);
  std::size_t possiblySettled = aLocal.isSettled ? 1 : 0;
  for (const auto& peer : aPeers.relays) {
    const auto answer = answers_.find(peer.node);
    possiblySettled +=
      answer == answers_.end() || answer->second.isSettled ? 1 : 0;
  }
  const auto all = aPeers.relays.size() + 1;
  const bool isQuorum = aLocal.isStoreUnavailable
                          ? settled >= possiblySettled / 2 + 1
                          : settled >= all - all / 2;
  if (!isQuorum) {
    return false;
  }
  const auto settledInSet =
    CountSettled(aSet.others) + (aLocal.isSettled ? 1 : 0);
  // Settled relays of the set may lag behind members that restarted, and then
  // do not hold the versions that those members ran. So the settled relays
  // outside the set must be as many as a majority of the set, unless no member
  // of the set is settled.
  return settledInSet == 0 || settled - settledInSet >= aSet.Size() / 2 + 1;
}

std::optional<state::Generation>
FloorSearch::FindFloor(const LocalState& aLocal,
                       const RelaySet& aSet,
                       const PeerDirectory& aPeers) const
{
  const auto size = LargestRelayCount(aSet);
  const auto settled = CountSettled(aSet.others) + (aLocal.isSettled ? 1 : 0);
  // A version in force is held by more than half of the set, so any half of the
  // set, rounded up, contains at least one relay that holds it.
  if (settled >= size - size / 2) {
    return HighestHeld(aLocal);
  }
  if (!AllAnswered(aSet)) {
    return std::nullopt;
  }
  if (aLocal.wasSettled && aSet.Size() >= size) {
    // Every live relay of the set has answered, and this node was settled
    // before it became a relay, so no live member holds a newer version than
    // the highest known one.
    return HighestHeld(aLocal);
  }
  if (HasFleetQuorum(aLocal, aSet, aPeers)) {
    return HighestHeld(aLocal);
  }
  return std::nullopt;
}

} // namespace teaselhold::coordination
