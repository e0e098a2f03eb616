#include "Coordination/VersionHistory.h"

#include "Protocol/ConfigurationText.h"

#include <algorithm>

namespace teaselhold::coordination {

const Version&
VersionHistory::Add(wire::StoredConfiguration aStored)
{
  Version version;
  auto compiled =
    protocol::CompileConfiguration(aStored.text(), aStored.generation());
  if (compiled) {
    version.compiled = std::move(*compiled);
  } else {
    version.compileErrors = protocol::FormatErrors("text", compiled.error());
  }
  version.stored = std::move(aStored);
  versions_.push_front(std::move(version));
  if (versions_.size() > kMaxVersions) {
    versions_.pop_back();
  }
  return versions_.front();
}

const Version*
VersionHistory::Find(state::Generation aGeneration) const
{
  const auto* version = FindUpTo(aGeneration);
  return version != nullptr && version->stored.generation() == aGeneration
           ? version
           : nullptr;
}

const Version*
VersionHistory::FindUpTo(state::Generation aGeneration) const
{
  const auto found =
    std::ranges::find_if(versions_, [&](const Version& aVersion) {
      return aVersion.stored.generation() <= aGeneration;
    });
  return found == versions_.end() ? nullptr : &*found;
}

const Version*
VersionHistory::FindCompiledUpTo(state::Generation aGeneration) const
{
  const auto found =
    std::ranges::find_if(versions_, [&](const Version& aVersion) {
      return aVersion.stored.generation() <= aGeneration &&
             aVersion.compiled != nullptr;
    });
  return found == versions_.end() ? nullptr : &*found;
}

const Version*
VersionHistory::Newest() const
{
  return versions_.empty() ? nullptr : &versions_.front();
}

} // namespace teaselhold::coordination
