#include "Coordination/Versions/RecentChanges.h"

namespace teaselhold::coordination {

void
RecentChanges::OnLog(const ConfigurationChangeLog& aLog)
{
  log_.Extend(aLog);
}

void
RecentChanges::OnVersion(const state::ConfigurationPointer& aPrevious,
                         const state::ConfigurationPointer& aCurrent,
                         std::uint64_t aStoreRevision)
{
  if (aPrevious == nullptr || aCurrent == nullptr) {
    return;
  }
  const auto generation = aCurrent->GetGeneration();
  if (log_.NewestGeneration() < generation) {
    const ConfigurationVersion previous{ aPrevious->Text(),
                                         aPrevious->GetGeneration(),
                                         0 };
    log_.Append(&previous, { aCurrent->Text(), generation, aStoreRevision });
  }
  current_ = std::make_shared<const ConfigurationChangeLog>(log_);
}

} // namespace teaselhold::coordination
