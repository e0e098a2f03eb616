#pragma once

#include "Coordination/ConfigurationChangeLog.h"

#include <memory>

namespace teaselhold::coordination {

/// The changes that led to the version in force, for other nodes that ask for
/// them. Bounded like the log in the store. Not thread-safe.
class RecentChanges
{
public:
  using Pointer = std::shared_ptr<const ConfigurationChangeLog>;

  /// Takes a log that was applied, so that its changes need not be computed
  /// again.
  void OnLog(const ConfigurationChangeLog& aLog);

  /// Records that a version came into force.
  /// @param aPrevious the version before, or nullptr.
  /// @param aStoreRevision revision of aCurrent in the store.
  void OnVersion(const state::ConfigurationPointer& aPrevious,
                 const state::ConfigurationPointer& aCurrent,
                 std::uint64_t aStoreRevision);

  /// Returns the changes up to the version in force; never nullptr.
  const Pointer& Current() const { return current_; }

private:
  ConfigurationChangeLog log_;
  Pointer current_ = std::make_shared<const ConfigurationChangeLog>();
};

} // namespace teaselhold::coordination
