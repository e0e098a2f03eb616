#include "Coordination/Versions/PeerChanges.h"

namespace teaselhold::coordination {

namespace {

/// A node that ended may stay known for seconds.
constexpr state::Duration kPatience = std::chrono::milliseconds(400);

} // namespace

void
PeerChanges::Ask(const std::vector<std::string>& aAddresses,
                 state::Generation aActive,
                 state::Instant aNow,
                 Commands& aCommands)
{
  open_.clear();
  failTime_ = aNow + kPatience;
  for (const auto& address : aAddresses) {
    const auto call = nextCall_++;
    open_.insert(call);
    aCommands.push_back(AskChanges{ call, address, aActive });
  }
}

bool
PeerChanges::TakeFailed(state::Instant aNow)
{
  if (!failTime_ || (!open_.empty() && aNow < *failTime_)) {
    return false;
  }
  failTime_.reset();
  return true;
}

std::optional<ConfigurationChangeLog>
PeerChanges::OnAnswer(const ChangesAnswered& aAnswer, state::Generation aActive)
{
  if (open_.erase(aAnswer.call) == 0) {
    return std::nullopt;
  }
  auto log = ConfigurationChangeLog::Parse(aAnswer.log);
  if (!log || log->NewestGeneration() <= aActive) {
    return std::nullopt;
  }
  failTime_.reset();
  return log;
}

} // namespace teaselhold::coordination
