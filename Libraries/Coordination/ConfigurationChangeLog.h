#pragma once

#include "State/Configuration.h"
#include "control.pb.h"

#include <optional>
#include <string>

namespace teaselhold::coordination {

/// A configuration text with the version that it belongs to.
struct ConfigurationVersion
{
  std::string text;
  state::Generation generation = 0;
  /// Revision of the whole configuration in the store.
  std::uint64_t storeRevision = 0;
};

/// The newest changes of the configuration as they stand in the store. Nodes
/// that hold a version read these instead of the whole text, which can be a
/// thousand times larger.
class ConfigurationChangeLog
{
public:
  /// @return nothing if the value cannot be read.
  static std::optional<ConfigurationChangeLog> Parse(std::string_view aValue);

  std::string Serialize() const { return changes_.SerializeAsString(); }

  /// The newest version; 0 if the log is empty.
  state::Generation Head() const;

  /// Applies the changes that follow a version.
  /// @return nothing if they do not lead to the newest version.
  std::optional<ConfigurationVersion> Advance(std::string_view aText,
                                              state::Generation aFrom) const;

  /// Adds the change from one version to the next and drops the oldest changes
  /// beyond a bound.
  /// @param aBase nullptr if its text is not known; readers of the log then
  /// have to read the whole configuration.
  void Append(const ConfigurationVersion* aBase,
              const ConfigurationVersion& aTarget);

private:
  void DropOldest();

  wire::ConfigurationChanges changes_;
};

} // namespace teaselhold::coordination
