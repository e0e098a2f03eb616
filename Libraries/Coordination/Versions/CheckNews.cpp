#include "Coordination/Versions/CheckNews.h"

#include <algorithm>

namespace teaselhold::coordination {

namespace {

/// The age of the last known check at which a node asks, in percent of the
/// bound: later than the first node checks, earlier than the others do.
constexpr int kQuestionPercent = 34;
/// The least time between two questions.
constexpr int kIntervalPercent = 15;
constexpr int kHundredPercent = 100;
/// How many of the nodes check before all others.
constexpr std::size_t kFirstNodes = 4;

} // namespace

void
CheckNews::Tick(state::Instant aLastCheck,
                const Nodes& aNodes,
                state::Generation aActive,
                state::Duration aBound,
                state::Instant aNow,
                Commands& aCommands)
{
  const auto age = aNow - aLastCheck;
  if (aNodes.before.empty() || aActive == 0 || aNow < nextQuestion_ ||
      age < aBound * kQuestionPercent / kHundredPercent) {
    return;
  }
  nextQuestion_ = aNow + aBound * kIntervalPercent / kHundredPercent;
  aCommands.push_back(AskChanges{ kCall, Choose(aNodes), aActive });
}

const std::string&
CheckNews::Choose(const Nodes& aNodes)
{
  const bool isFirst = std::exchange(isFirstNext_, !isFirstNext_);
  if (isFirst && !aNodes.reader.empty()) {
    return aNodes.reader;
  }
  const auto count = aNodes.before.size();
  return aNodes
    .before[random_.NextBelow(isFirst ? std::min(count, kFirstNodes) : count)];
}

std::optional<ConfigurationChangeLog>
CheckNews::OnAnswer(const ChangesAnswered& aAnswer, state::Generation aActive)
{
  if (aAnswer.call != kCall) {
    return std::nullopt;
  }
  auto log = ConfigurationChangeLog::Parse(aAnswer.log);
  return log && log->NewestGeneration() > aActive ? std::move(log)
                                                  : std::nullopt;
}

} // namespace teaselhold::coordination
