#include "Coordination/ReaderMonitor.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// Candidates that are asked at the same time: the selected readers at first,
/// and more with each step, because many nodes may have been lost at once.
constexpr std::size_t kInitialWidth = 4;
constexpr std::size_t kMaxWidth = 16;
/// A candidate that is alive but follows others takes over itself once it has
/// found that nobody reads. It is given this many questions for that.
constexpr unsigned kMaxSuccessorTries = 3;
constexpr state::Duration kRetryInterval = std::chrono::milliseconds(200);
/// A substitute looks for a reader that has returned at this interval.
constexpr state::Duration kSubstituteInterval = std::chrono::seconds(1);
/// For each question that a reader holds back.
constexpr std::chrono::milliseconds kWaitPerQuestion{ 1000 };

} // namespace

std::chrono::milliseconds
ReaderMonitor::WaitFor(std::size_t aQuestions)
{
  const auto wait =
    kWaitPerQuestion * static_cast<std::int64_t>(aQuestions + 1);
  return std::min(wait, kMaxWait);
}

void
ReaderMonitor::SetCandidates(std::vector<std::string> aCandidates)
{
  if (aCandidates == candidates_) {
    return;
  }
  const auto reader = reader_ ? candidates_[*reader_] : std::string();
  candidates_ = std::move(aCandidates);
  const auto found = std::ranges::find(candidates_, reader);
  if (reader_ && found != candidates_.end()) {
    reader_ = static_cast<std::size_t>(found - candidates_.begin());
    return;
  }
  successor_ = 0;
  successorTries_ = 0;
  StartSearch(state::Instant{ 0 });
}

void
ReaderMonitor::StartSearch(state::Instant aTime)
{
  reader_.reset();
  position_ = 0;
  width_ = kInitialWidth;
  asked_.clear();
  answers_.clear();
  nextQuestion_ = aTime;
}

void
ReaderMonitor::Tick(bool aIsWanted, state::Instant aNow, Commands& aCommands)
{
  if (!aIsWanted) {
    isSubstitute_ = false;
    successor_ = 0;
    successorTries_ = 0;
    StartSearch(aNow);
    return;
  }
  if (!asked_.empty() || aNow < nextQuestion_) {
    return;
  }
  if (reader_) {
    Ask(*reader_, true, aCommands);
  } else if (position_ < candidates_.size()) {
    AskNext(aCommands);
  } else {
    BecomeSubstitute(aNow, aCommands);
  }
}

void
ReaderMonitor::AskNext(Commands& aCommands)
{
  answers_.clear();
  const auto end = std::min(position_ + width_, candidates_.size());
  for (auto candidate = position_; candidate < end; ++candidate) {
    Ask(candidate, false, aCommands);
  }
}

void
ReaderMonitor::Ask(std::size_t aCandidate, bool aMayWait, Commands& aCommands)
{
  const auto call = nextCall_++;
  asked_.emplace(call, aCandidate);
  aCommands.push_back(AskReader{ call, candidates_[aCandidate], aMayWait });
}

void
ReaderMonitor::BecomeSubstitute(state::Instant aNow, Commands& aCommands)
{
  if (!isSubstitute_) {
    aCommands.push_back(
      WriteLog{ LogLevel::Warning,
                "config",
                "No reader answers; reading for the others. candidates=" +
                  std::to_string(candidates_.size()) });
  }
  isSubstitute_ = true;
  StartSearch(aNow + kSubstituteInterval);
}

void
ReaderMonitor::OnAnswer(const ReaderAnswered& aAnswer, state::Instant aNow)
{
  const auto asked = asked_.find(aAnswer.call);
  if (asked == asked_.end()) {
    return;
  }
  const auto candidate = asked->second;
  asked_.erase(asked);
  if (reader_) {
    if (aAnswer.role != ReaderRole::Reading) {
      StartSearch(aNow);
    }
    return;
  }
  answers_.emplace(candidate, aAnswer.role);
  if (asked_.empty()) {
    Evaluate(aNow);
  }
}

void
ReaderMonitor::Evaluate(state::Instant aNow)
{
  const auto findRole = [this](ReaderRole aRole, std::size_t aFirst) {
    return std::ranges::find_if(answers_, [=](const auto& aEntry) {
      return aEntry.first >= aFirst && aEntry.second == aRole;
    });
  };
  const auto reading = findRole(ReaderRole::Reading, 0);
  if (reading != answers_.end()) {
    reader_ = reading->first;
    isSubstitute_ = false;
    successor_ = 0;
    successorTries_ = 0;
    return;
  }
  const auto following = findRole(ReaderRole::Following, successor_);
  if (following == answers_.end()) {
    position_ += width_;
    width_ = std::min(2 * width_, kMaxWidth);
    return;
  }
  successorTries_ = following->first == successor_ ? successorTries_ + 1 : 1;
  successor_ = following->first;
  if (successorTries_ >= kMaxSuccessorTries) {
    ++successor_;
    successorTries_ = 0;
  }
  StartSearch(aNow + kRetryInterval);
}

} // namespace teaselhold::coordination
