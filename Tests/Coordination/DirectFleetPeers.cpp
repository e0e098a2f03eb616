#include "DirectFleet.h"

#include <algorithm>

namespace teaselhold::coordination {

using namespace std::chrono_literals;

void
DirectFleet::HearFromPeers()
{
  if (!hasTraffic_ || now_ < nextTraffic_) {
    return;
  }
  constexpr state::Duration kTrafficInterval = 100ms;
  nextTraffic_ = now_ + kTrafficInterval;
  peerOffset_ = peerOffset_ % (nodes_.size() - 1) + 1;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    auto& node = nodes_[i];
    const auto& peer = nodes_[(i + peerOffset_) % nodes_.size()];
    if (node.isAlive && peer.isAlive && !IsSuspended(node) &&
        !IsSuspended(peer)) {
      Hear(i, peer, true);
    }
  }
}

void
DirectFleet::Hear(std::size_t aNode, const Node& aPeer, bool aIsAnswer)
{
  auto& node = nodes_[aNode];
  node.newestKnown = std::max(
    { node.newestKnown, node.inForce, aPeer.newestKnown, aPeer.inForce });
  if (aIsAnswer) {
    node.checked = std::max(node.checked, aPeer.checked - kLatency);
  }
  Handle(aNode,
         PeerVersionSeen{ node.newestKnown, std::nullopt, node.checked });
}

std::size_t
DirectFleet::NodeAt(const std::string& aAddress) const
{
  constexpr std::size_t kFirstPort = 1000;
  return std::stoul(aAddress.substr(aAddress.find(':') + 1)) - kFirstPort;
}

void
DirectFleet::AnswerQuestions()
{
  constexpr state::Duration kHoldTime = 10s;
  const auto questions = std::move(questions_);
  questions_.clear();
  for (const auto& question : questions) {
    if (now_ - question.asked < kLatency ||
        IsSuspended(nodes_[question.asker])) {
      questions_.push_back(question);
      continue;
    }
    const auto& node = nodes_[NodeAt(question.address)];
    const auto role =
      node.isAlive ? node.core->Role() : ReaderRole::Unavailable;
    if (question.mayWait && role == ReaderRole::Reading &&
        now_ - question.asked < kHoldTime) {
      questions_.push_back(question);
    } else if (nodes_[question.asker].isAlive) {
      Handle(question.asker, ReaderAnswered{ question.call, role });
    }
  }
}

void
DirectFleet::AnswerChangesQuestions()
{
  const auto questions = std::move(changesQuestions_);
  changesQuestions_.clear();
  for (const auto& asked : questions) {
    if (now_ - asked.asked < 2 * kLatency || IsSuspended(nodes_[asked.asker])) {
      changesQuestions_.push_back(asked);
      continue;
    }
    const auto& node = nodes_[NodeAt(asked.question.address)];
    std::string log;
    const bool isAnswered = node.isAlive && !IsSuspended(node);
    if (isAnswered && node.changes != nullptr) {
      log = node.changes->After(asked.question.after).Serialize();
    }
    if (isAnswered) {
      Hear(NodeAt(asked.question.address), nodes_[asked.asker], false);
      Hear(asked.asker, node, true);
    }
    if (nodes_[asked.asker].isAlive) {
      Handle(asked.asker,
             ChangesAnswered{ asked.question.call, std::move(log) });
    }
  }
}

} // namespace teaselhold::coordination
