#include "Coordination/ChangeFollower.h"

namespace teaselhold::coordination {

namespace {

/// Maximum wait of a watch. The store counts a pending watch as one call, so
/// long waits keep the number of calls low.
constexpr std::chrono::milliseconds kWatchWait{ 25000 };

} // namespace

void
ChangeFollower::Restart(state::Instant aNow)
{
  call_ = 0;
  next_ = aNow;
  backoff_.Reset();
}

void
ChangeFollower::Tick(bool aMayWait, state::Instant aNow, Commands& aCommands)
{
  if (call_ != 0 || aNow < next_ || (isRead_ && !aMayWait)) {
    return;
  }
  call_ = numbers_.Next();
  aCommands.push_back(CallStore{
    call_, StoreWatch{ protocol::kChangesKey, revision_, kWatchWait } });
}

bool
ChangeFollower::OnStoreAnswer(const StoreAnswered& aAnswer, state::Instant aNow)
{
  if (call_ == 0 || aAnswer.call != call_) {
    return false;
  }
  call_ = 0;
  const auto* entry = std::get_if<protocol::StoreEntry>(&aAnswer.result);
  if (entry == nullptr) {
    next_ = aNow + backoff_.Next(random_);
    return true;
  }
  backoff_.Reset();
  isRead_ = true;
  if (entry->revision != revision_) {
    revision_ = entry->revision;
    log_ = ConfigurationChangeLog::Parse(entry->value);
    next_ = aNow + pauseAfterChange_;
  }
  return true;
}

std::optional<ConfigurationChangeLog>
ChangeFollower::TakeNewer(state::Generation aActive)
{
  auto log = std::exchange(log_, std::nullopt);
  return log && log->Head() > aActive ? std::move(log) : std::nullopt;
}

} // namespace teaselhold::coordination
