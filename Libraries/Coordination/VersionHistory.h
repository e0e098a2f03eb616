#pragma once

#include "State/Configuration.h"
#include "admin.pb.h"

#include <deque>
#include <string>

namespace teaselhold::coordination {

/// A configuration version as received, with the result of compiling it.
struct Version
{
  wire::StoredConfiguration stored;
  /// nullptr if this node cannot compile the text.
  state::ConfigurationPointer compiled;
  /// The compile errors; empty if the text compiles.
  std::string compileErrors;
};

/// The newest versions that this node has received. Older ones serve as bases
/// for deltas, and can be put in force while newer ones are not approved yet.
class VersionHistory
{
public:
  /// Limits memory use to 4 texts of up to 1 MB and their compiled forms.
  static constexpr std::size_t kMaxVersions = 4;

  /// Compiles aStored and adds it. It must be newer than all others. Drops the
  /// oldest version beyond kMaxVersions.
  const Version& Add(wire::StoredConfiguration aStored);

  /// @return nullptr if the version is not in the history.
  const Version* Find(state::Generation aGeneration) const;

  /// Returns the newest version whose generation is at most aGeneration, or
  /// nullptr.
  const Version* FindUpTo(state::Generation aGeneration) const;

  /// Like FindUpTo, but skips versions that do not compile.
  const Version* FindCompiledUpTo(state::Generation aGeneration) const;

  /// @return nullptr if the history is empty.
  const Version* Newest() const;

private:
  /// Newest first.
  std::deque<Version> versions_;
};

} // namespace teaselhold::coordination
