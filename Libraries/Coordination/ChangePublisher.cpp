#include "Coordination/ChangePublisher.h"

namespace teaselhold::coordination {

void
ChangePublisher::OnVersion(state::ConfigurationPointer aBefore,
                           state::ConfigurationPointer aNow,
                           std::uint64_t aStoreRevision)
{
  // A change that has not been written yet is merged into the next one.
  // Otherwise the log would have a gap that no other node could get across.
  if (!IsDue()) {
    before_ = std::move(aBefore);
  }
  wanted_ = std::move(aNow);
  storeRevision_ = aStoreRevision;
}

bool
ChangePublisher::IsDue() const
{
  return before_ != nullptr && wanted_ != nullptr &&
         log_.Head() < wanted_->GetGeneration();
}

void
ChangePublisher::Tick(state::Instant aNow, Commands& aCommands)
{
  if (call_ != 0 || aNow < next_ || !IsDue()) {
    return;
  }
  call_ = numbers_.Next();
  aCommands.push_back(CallStore{
    call_, StoreSwap{ protocol::kChangesKey, logRevision_, MakeValue(), 0 } });
}

std::string
ChangePublisher::MakeValue() const
{
  const ConfigurationVersion before{ before_->Text(),
                                     before_->GetGeneration(),
                                     0 };
  const ConfigurationVersion target{ wanted_->Text(),
                                     wanted_->GetGeneration(),
                                     storeRevision_ };
  auto log = log_;
  if (log.Head() <= before.generation) {
    log.Append(&before, target);
  } else {
    // Another node has written versions that this node skipped. The new change
    // is based on the newest version in the log.
    const auto head = log.Advance(before.text, before.generation);
    log.Append(head ? &*head : nullptr, target);
  }
  return log.Serialize();
}

bool
ChangePublisher::OnStoreAnswer(const StoreAnswered& aAnswer,
                               state::Instant aNow)
{
  if (call_ == 0 || aAnswer.call != call_) {
    return false;
  }
  call_ = 0;
  const auto* swap = std::get_if<protocol::SwapResult>(&aAnswer.result);
  if (swap == nullptr) {
    next_ = aNow + backoff_.Next(random_);
    return true;
  }
  backoff_.Reset();
  logRevision_ = swap->current.revision;
  // An invalid value is replaced with a new log.
  log_ = ConfigurationChangeLog::Parse(swap->current.value)
           .value_or(ConfigurationChangeLog());
  return true;
}

} // namespace teaselhold::coordination
