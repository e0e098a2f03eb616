#include "Coordination/FloorSearch.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

constexpr std::size_t kSmallestRelaySet = 3;
constexpr state::Duration kFirstInterval = std::chrono::milliseconds(300);
constexpr state::Duration kLongestInterval = std::chrono::seconds(2);

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
  asked_.clear();
  interval_ = kFirstInterval;
  nextAsk_ = aNow + interval_;
}

std::vector<Peer>
FloorSearch::TakeReceivers(const RelaySet& aSet,
                           const PeerDirectory& aPeers,
                           state::Instant aNow)
{
  const bool isRetry = aNow >= nextAsk_;
  if (isRetry) {
    interval_ = std::min(interval_ * 2, kLongestInterval);
    nextAsk_ = aNow + interval_;
  }
  // Relays outside the relay set are asked only after every member of the set
  // has answered, because the answers of the set usually suffice.
  const auto& receivers = AllAnswered(aSet) ? aPeers.relays : aSet.others;
  std::vector<Peer> chosen;
  for (const auto& peer : receivers) {
    const auto answer = answers_.find(peer.node);
    // A relay that answered as unsettled may have settled since.
    const bool isOpen = answer == answers_.end() || !answer->second.isSettled;
    if (asked_.insert(peer.node).second || (isRetry && isOpen)) {
      chosen.push_back(peer);
    }
  }
  return chosen;
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
FloorSearch::LargestCount(const RelaySet& aSet) const
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
FloorSearch::HighestHeld(const Self& aSelf) const
{
  auto highest = aSelf.held;
  for (const auto& [node, answer] : answers_) {
    highest = std::max(highest, answer.held);
  }
  return highest;
}

bool
FloorSearch::IsFleetEnough(const Self& aSelf,
                           const RelaySet& aSet,
                           const PeerDirectory& aPeers) const
{
  // A relay that has not answered is counted as possibly settled.
  const auto settled = CountSettled(aPeers.relays) + (aSelf.isSettled ? 1 : 0);
  std::size_t possible = aSelf.isSettled ? 1 : 0;
  for (const auto& peer : aPeers.relays) {
    const auto answer = answers_.find(peer.node);
    possible += answer == answers_.end() || answer->second.isSettled ? 1 : 0;
  }
  const auto all = aPeers.relays.size() + 1;
  const bool isMajority =
    aSelf.isStoreOut ? settled >= possible / 2 + 1 : settled >= all - all / 2;
  if (!isMajority) {
    return false;
  }
  const auto inSet = CountSettled(aSet.others) + (aSelf.isSettled ? 1 : 0);
  // Settled relays of the set may lag behind members that restarted, and then
  // do not hold what those ran. So the settled relays outside the set must be
  // as many as a majority of the set, unless no member of the set is settled.
  return inSet == 0 || settled - inSet >= aSet.Size() / 2 + 1;
}

std::optional<state::Generation>
FloorSearch::Result(const Self& aSelf,
                    const RelaySet& aSet,
                    const PeerDirectory& aPeers) const
{
  const auto size = LargestCount(aSet);
  const auto settled = CountSettled(aSet.others) + (aSelf.isSettled ? 1 : 0);
  // A version in force is held by more than half of the set, so any half of the
  // set, rounded up, contains at least one relay that holds it.
  if (settled >= size - size / 2) {
    return HighestHeld(aSelf);
  }
  if (!AllAnswered(aSet)) {
    return std::nullopt;
  }
  if (aSelf.wasSettled && aSet.Size() >= size) {
    // Every live relay of the set has answered, and this node was settled
    // before it became a relay, so no live member holds a newer version than
    // the highest known one.
    return HighestHeld(aSelf);
  }
  if (IsFleetEnough(aSelf, aSet, aPeers)) {
    return HighestHeld(aSelf);
  }
  return std::nullopt;
}

} // namespace teaselhold::coordination
