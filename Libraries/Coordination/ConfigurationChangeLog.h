#pragma once

#include "State/Configuration.h"
#include "control.pb.h"

#include <optional>
#include <string>

namespace teaselhold::coordination {

/// A configuration text with its generation and store revision.
struct ConfigurationVersion
{
  std::string text;
  state::Generation generation = 0;
  /// Revision of the configuration's key in the store.
  std::uint64_t storeRevision = 0;
};

/// A bounded log of the most recent configuration changes, kept in the store
/// beside the configuration. Nodes that hold a version read this log instead of
/// the whole text, which can be a thousand times larger.
class ConfigurationChangeLog
{
public:
  /// @return nullopt if the value is not a valid log.
  static std::optional<ConfigurationChangeLog> Parse(std::string_view aValue);

  std::string Serialize() const { return changes_.SerializeAsString(); }

  /// Returns the newest generation in the log; 0 if the log is empty.
  state::Generation NewestGeneration() const;

  /// Applies the changes that follow generation aFrom to aText.
  /// @return the newest version, or nullopt if the changes do not lead to it.
  std::optional<ConfigurationVersion> Advance(std::string_view aText,
                                              state::Generation aFrom) const;

  /// Adds the change from aBase to aTarget and drops the oldest changes beyond
  /// the size limit.
  /// @param aBase nullptr if its text is not known; readers of the log then
  /// have to read the whole configuration, unless it is short.
  void Append(const ConfigurationVersion* aBase,
              const ConfigurationVersion& aTarget);

  /// Adds the changes of aOther that lead beyond the newest one of this log,
  /// and drops the oldest ones beyond the size limit.
  void Extend(const ConfigurationChangeLog& aOther);

  /// Returns the changes that lead to generations above aGeneration.
  ConfigurationChangeLog After(state::Generation aGeneration) const;

private:
  void DropOldest();

  wire::ConfigurationChanges changes_;
};

} // namespace teaselhold::coordination
