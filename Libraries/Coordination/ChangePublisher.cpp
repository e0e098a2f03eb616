#include "Coordination/ChangePublisher.h"

namespace teaselhold::coordination {

void
ChangePublisher::OnVersion(state::ConfigurationPointer aPrevious,
                           state::ConfigurationPointer aCurrent,
                           std::uint64_t aStoreRevision)
{
  // A change that has not been written yet is merged into the next one.
  // Otherwise the log would have a gap, and no node with a version before the
  // gap could apply the changes after it.
  if (!IsWriteDue()) {
    previous_ = std::move(aPrevious);
  }
  newest_ = std::move(aCurrent);
  storeRevision_ = aStoreRevision;
}

bool
ChangePublisher::IsWriteDue() const
{
  return previous_ != nullptr && newest_ != nullptr &&
         log_.NewestGeneration() < newest_->GetGeneration();
}

void
ChangePublisher::Tick(state::Instant aNow, Commands& aCommands)
{
  if (writeCall_ != 0 || aNow < nextWrite_ || !IsWriteDue()) {
    return;
  }
  writeCall_ = numbers_.Next();
  aCommands.push_back(CallStore{
    writeCall_,
    StoreSwap{ protocol::kChangesKey, logRevision_, MakeLogValue(), 0 } });
}

std::string
ChangePublisher::MakeLogValue() const
{
  const ConfigurationVersion previous{ previous_->Text(),
                                       previous_->GetGeneration(),
                                       0 };
  const ConfigurationVersion target{ newest_->Text(),
                                     newest_->GetGeneration(),
                                     storeRevision_ };
  auto log = log_;
  if (log.NewestGeneration() <= previous.generation) {
    log.Append(&previous, target);
  } else {
    // Another node has written versions that this node skipped. The new change
    // is based on the newest version in the log.
    const auto newestInLog = log.Advance(previous.text, previous.generation);
    log.Append(newestInLog ? &*newestInLog : nullptr, target);
  }
  return log.Serialize();
}

bool
ChangePublisher::OnStoreAnswer(const StoreAnswered& aAnswer,
                               state::Instant aNow)
{
  if (writeCall_ == 0 || aAnswer.call != writeCall_) {
    return false;
  }
  writeCall_ = 0;
  const auto* swap = std::get_if<protocol::SwapResult>(&aAnswer.result);
  if (swap == nullptr) {
    nextWrite_ = aNow + backoff_.Next(random_);
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
