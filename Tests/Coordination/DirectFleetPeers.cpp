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
DirectFleet::SilenceReaderQuestions()
{
  for (auto& question : questions_) {
    question.isSilent = question.mayWait;
  }
}

void
DirectFleet::AskReaderRole(std::size_t aAsker, const AskReader& aQuestion)
{
  const auto& waits = nodes_[aAsker].readerWaits;
  const auto known = waits.find(aQuestion.address);
  const state::Duration wait =
    known != waits.end() ? known->second : ReaderMonitor::kMaxWait;
  questions_.push_back({ aAsker,
                         aQuestion.call,
                         aQuestion.address,
                         aQuestion.mayWait,
                         now_,
                         aQuestion.mayWait ? wait : 0s });
}

void
DirectFleet::AnswerQuestions()
{
  constexpr state::Duration kAnswerTime = 500ms;
  const auto questions = std::move(questions_);
  questions_.clear();
  for (const auto& question : questions) {
    if (now_ - question.asked < kLatency ||
        IsSuspended(nodes_[question.asker])) {
      questions_.push_back(question);
      continue;
    }
    const auto asked = NodeAt(question.address);
    const auto& node = nodes_[asked];
    const auto role = node.isAlive && !question.isSilent
                        ? node.core->Role()
                        : ReaderRole::Unavailable;
    const bool isHeld =
      question.isSilent
        ? now_ - question.asked < question.wait + kAnswerTime
        : role == ReaderRole::Reading && now_ - question.asked < question.wait;
    if (isHeld && !question.isCancelled) {
      questions_.push_back(question);
      continue;
    }
    if (!question.mayWait && role == ReaderRole::Following) {
      GiveUpOpenQuestion(asked);
    }
    AnswerQuestion(question,
                   question.isCancelled ? ReaderRole::Unavailable : role);
  }
}

void
DirectFleet::AnswerQuestion(const Question& aQuestion, ReaderRole aRole)
{
  auto& asker = nodes_[aQuestion.asker];
  if (!asker.isAlive) {
    return;
  }
  const auto held = std::ranges::count_if(questions_, [&](const auto& aOther) {
    return aOther.mayWait && aOther.address == aQuestion.address;
  });
  asker.readerWaits[aQuestion.address] =
    ReaderMonitor::WaitFor(static_cast<std::size_t>(held));
  Handle(aQuestion.asker, ReaderAnswered{ aQuestion.call, aRole });
}

void
DirectFleet::GiveUpOpenQuestion(std::size_t aAsker)
{
  for (auto& question : questions_) {
    if (question.asker == aAsker && question.mayWait &&
        now_ - question.asked >= ReaderMonitor::kMinAgeForCheck) {
      question.isCancelled = true;
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
