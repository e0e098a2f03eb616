#include "Coordination/Versions/PeerChanges.h"

namespace teaselhold::coordination {

void
PeerChanges::Ask(const std::vector<std::string>& aAddresses,
                 state::Generation aActive,
                 Commands& aCommands)
{
  if (IsAsking()) {
    return;
  }
  for (const auto& address : aAddresses) {
    const auto call = nextCall_++;
    open_.insert(call);
    aCommands.push_back(AskChanges{ call, address, aActive });
  }
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
  return log;
}

} // namespace teaselhold::coordination
