#include "State/ArrivalLog.h"

#include <algorithm>

namespace teaselhold::state {

ArrivalLog::ArrivalLog(std::uint64_t aIncarnation, ArrivalLogOptions aOptions)
  : incarnation_(aIncarnation)
  , options_(aOptions)
{
}

ArrivalLog::Peer*
ArrivalLog::Find(const std::string& aPeer, Instant aNow)
{
  const auto found = peers_.find(aPeer);
  if (found == peers_.end()) {
    return nullptr;
  }
  auto& peer = found->second;
  peer.touched = aNow;
  order_.splice(order_.end(), order_, order_.iterator_to(peer));
  return &peer;
}

ArrivalLog::Peer*
ArrivalLog::Create(const std::string& aPeer, Instant aNow)
{
  if (peers_.size() >= options_.maxPeers) {
    hasGaps_ = true;
    auto& oldest = order_.front();
    if (aNow < oldest.touched + options_.minimumKeep) {
      return nullptr;
    }
    order_.pop_front();
    peers_.erase(peers_.find(*oldest.name));
  }
  const auto added = peers_.try_emplace(aPeer).first;
  auto& peer = added->second;
  peer.name = &added->first;
  peer.touched = aNow;
  order_.push_back(peer);
  return &peer;
}

const ArrivalLog::Mark*
ArrivalLog::Search(const Peer& aPeer, std::uint64_t aNumber)
{
  // Most requests arrive in order and need no search.
  if (aNumber > aPeer.highest) {
    return nullptr;
  }
  const auto found = std::ranges::find_if(
    aPeer.marks, [&](const Mark& aMark) { return aMark.number == aNumber; });
  return found == aPeer.marks.end() ? nullptr : &*found;
}

void
ArrivalLog::Insert(Peer& aPeer, std::uint64_t aNumber, bool aIsBarred) const
{
  const Mark mark{ aNumber, aIsBarred ? 1U : 0U };
  aPeer.highest = std::max(aPeer.highest, aNumber);
  if (aPeer.marks.size() < options_.identitiesPerPeer) {
    aPeer.marks.push_back(mark);
    return;
  }
  auto& oldest = aPeer.marks[aPeer.next];
  const std::uint64_t forgotten = oldest.number;
  aPeer.forgottenUpTo = std::max(aPeer.forgottenUpTo, forgotten);
  if (oldest.isBarred != 0) {
    aPeer.barredUpTo = std::max(aPeer.barredUpTo, forgotten);
  }
  oldest = mark;
  aPeer.next = (aPeer.next + 1) % aPeer.marks.size();
}

ArrivalLog::Verdict
ArrivalLog::Arrive(const std::string& aPeer,
                   std::uint64_t aNumber,
                   Instant aNow)
{
  auto* peer = Find(aPeer, aNow);
  if (peer == nullptr) {
    peer = Create(aPeer, aNow);
    if (peer == nullptr) {
      return Verdict::New;
    }
    if (hasGaps_ && aNumber > 0) {
      peer->forgottenUpTo = aNumber - 1;
    }
  }
  if (const auto* mark = Search(*peer, aNumber)) {
    return mark->isBarred != 0 ? Verdict::Barred : Verdict::Doubtful;
  }
  if (aNumber <= peer->barredUpTo) {
    return Verdict::Doubtful;
  }
  Insert(*peer, aNumber, false);
  return Verdict::New;
}

ArrivalLog::Answer
ArrivalLog::Ask(const std::string& aPeer,
                std::uint64_t aNumber,
                std::uint64_t aAskedIncarnation,
                Instant aNow)
{
  if (aAskedIncarnation != incarnation_) {
    return Answer::Forgotten;
  }
  auto* peer = Find(aPeer, aNow);
  if (peer == nullptr) {
    if (hasGaps_) {
      return Answer::Forgotten;
    }
    peer = Create(aPeer, aNow);
    if (peer == nullptr) {
      return Answer::Forgotten;
    }
  }
  if (const auto* mark = Search(*peer, aNumber)) {
    return mark->isBarred != 0 ? Answer::NeverArrived : Answer::Arrived;
  }
  if (aNumber <= peer->forgottenUpTo) {
    return Answer::Forgotten;
  }
  Insert(*peer, aNumber, true);
  return Answer::NeverArrived;
}

} // namespace teaselhold::state
