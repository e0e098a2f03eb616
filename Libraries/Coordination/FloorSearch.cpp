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
  // The rest of the fleet is asked only if the relay set cannot answer.
  const auto& receivers = AllAnswered(aSet) ? aPeers.relays : aSet.others;
  std::vector<Peer> chosen;
  for (const auto& peer : receivers) {
    const auto answer = answers_.find(peer.node);
    // An unsettled relay may have settled since it answered.
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
  // A relay that has just started knows few others; the ones that answer know
  // the size of the set.
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
  // A relay that has not answered may be settled.
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
  // Settled relays of the set may lag behind those that restarted, so the
  // witnesses outside the set must be as many as a majority of the set.
  return inSet == 0 || settled - inSet >= aSet.Size() / 2 + 1;
}

std::optional<state::Generation>
FloorSearch::Result(const Self& aSelf,
                    const RelaySet& aSet,
                    const PeerDirectory& aPeers) const
{
  const auto size = LargestCount(aSet);
  const auto settled = CountSettled(aSet.others) + (aSelf.isSettled ? 1 : 0);
  // A version in force is held by more than half of the set, so half of the
  // set, rounded up, has at least one of its holders.
  if (settled >= size - size / 2) {
    return HighestHeld(aSelf);
  }
  if (!AllAnswered(aSet)) {
    return std::nullopt;
  }
  if (aSelf.wasSettled && aSet.Size() >= size) {
    // No live relay of the set knows more than this node and the answers.
    return HighestHeld(aSelf);
  }
  if (IsFleetEnough(aSelf, aSet, aPeers)) {
    return HighestHeld(aSelf);
  }
  return std::nullopt;
}

} // namespace teaselhold::coordination
