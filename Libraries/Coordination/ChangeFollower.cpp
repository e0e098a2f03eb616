#include "Coordination/ChangeFollower.h"

namespace teaselhold::coordination {

namespace {

/// Maximum wait of a watch. The store counts a pending watch as one call, so
/// long waits keep the number of calls low.
constexpr std::chrono::milliseconds kMaxWatchWait{ 25000 };

} // namespace

void
ChangeFollower::Restart(state::Instant aNow)
{
  watchCall_ = 0;
  nextWatch_ = aNow;
  backoff_.Reset();
}

void
ChangeFollower::Tick(bool aMayWait, state::Instant aNow, Commands& aCommands)
{
  if (watchCall_ != 0 || aNow < nextWatch_ ||
      (isFirstWatchAnswered_ && !aMayWait)) {
    return;
  }
  watchCall_ = numbers_.Next();
  watchSent_ = aNow;
  aCommands.push_back(
    CallStore{ watchCall_,
               StoreWatch{ protocol::kChangesKey, revision_, kMaxWatchWait } });
}

bool
ChangeFollower::OnStoreAnswer(const StoreAnswered& aAnswer, state::Instant aNow)
{
  if (watchCall_ == 0 || aAnswer.call != watchCall_) {
    return false;
  }
  watchCall_ = 0;
  const auto* entry = std::get_if<protocol::StoreEntry>(&aAnswer.result);
  if (entry == nullptr) {
    nextWatch_ = aNow + backoff_.Next(random_);
    return true;
  }
  backoff_.Reset();
  isFirstWatchAnswered_ = true;
  if (entry->revision != revision_) {
    revision_ = entry->revision;
    log_ = ConfigurationChangeLog::Parse(entry->value);
    nextWatch_ = aNow + pauseAfterChange_;
  }
  return true;
}

std::optional<ConfigurationChangeLog>
ChangeFollower::TakeNewer(state::Generation aActive)
{
  auto log = std::exchange(log_, std::nullopt);
  return log && log->NewestGeneration() > aActive ? std::move(log)
                                                  : std::nullopt;
}

} // namespace teaselhold::coordination
