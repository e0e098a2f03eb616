#pragma once

#include "State/Configuration.h"
#include "admin.pb.h"

#include <deque>
#include <string>

namespace teaselhold::coordination {

/// A version as this node received it.
struct Version
{
  wire::StoredConfiguration stored;
  /// nullptr if this node cannot compile the text.
  state::ConfigurationPointer compiled;
  /// Why the text does not compile; empty if it does.
  std::string refusal;
};

/// The newest versions that this node has received. Older ones are the bases
/// of deltas, and are put in force while a newer one is not yet approved.
class VersionHistory
{
public:
  /// Bounds the memory: 4 texts of 1 MB and their compiled forms.
  static constexpr std::size_t kMaxVersions = 4;

  /// Compiles aStored and adds it; it must be newer than the others.
  const Version& Add(wire::StoredConfiguration aStored);

  /// @return nullptr if there is no such version.
  const Version* Find(state::Generation aGeneration) const;

  /// Returns the newest version up to aGeneration, or nullptr.
  const Version* FindUpTo(state::Generation aGeneration) const;

  /// Like FindUpTo, but leaves out versions that do not compile.
  const Version* FindCompiledUpTo(state::Generation aGeneration) const;

  /// @return nullptr if there is no version yet.
  const Version* Newest() const;

private:
  /// Newest first.
  std::deque<Version> versions_;
};

} // namespace teaselhold::coordination
