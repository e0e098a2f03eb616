#include "Coordination/ConfigurationChangeLog.h"

#include "Coordination/ConfigurationDelta.h"

namespace teaselhold::coordination {

namespace {

/// Bounds the cost of a change, since every reader receives the whole log with
/// each one.
constexpr std::size_t kMaxLogBytes = std::size_t{ 32 } * 1024;

/// A longer change would take too long to write on a link of 5 Mbit/s, and may
/// be more than the store takes; the others then read the whole configuration.
constexpr std::size_t kMaxChangeBytes = std::size_t{ 128 } * 1024;

} // namespace

std::optional<ConfigurationChangeLog>
ConfigurationChangeLog::Parse(std::string_view aValue)
{
  ConfigurationChangeLog log;
  const auto size = static_cast<int>(aValue.size());
  if (!log.changes_.ParseFromArray(aValue.data(), size)) {
    return std::nullopt;
  }
  return log;
}

state::Generation
ConfigurationChangeLog::NewestGeneration() const
{
  const auto& changes = changes_.changes();
  return changes.empty() ? 0 : changes.rbegin()->generation();
}

std::optional<ConfigurationVersion>
ConfigurationChangeLog::Advance(std::string_view aText,
                                state::Generation aFrom) const
{
  ConfigurationVersion version{ std::string(aText), aFrom, 0 };
  for (const auto& change : changes_.changes()) {
    if (!change.text().empty() && change.generation() > version.generation &&
        state::DigestOfText(change.text()) == change.digest()) {
      version = { change.text(), change.generation(), change.store_revision() };
      continue;
    }
    // A change from base to target can also be applied to a version between the
    // two, because that version normally differs from the target only in
    // sections that the change contains. The exception is a section that was
    // changed and then changed back; the digest detects it.
    if (change.base_generation() == 0 ||
        change.base_generation() > version.generation ||
        change.generation() <= version.generation) {
      continue;
    }
    auto text = ApplyDelta(version.text, change.sections());
    if (!text || state::DigestOfText(*text) != change.digest()) {
      return std::nullopt;
    }
    version = { std::move(*text),
                change.generation(),
                change.store_revision() };
  }
  if (version.generation != NewestGeneration()) {
    return std::nullopt;
  }
  return version;
}

void
ConfigurationChangeLog::Append(const ConfigurationVersion* aBase,
                               const ConfigurationVersion& aTarget)
{
  auto& change = *changes_.add_changes();
  change.set_generation(aTarget.generation);
  change.set_digest(state::DigestOfText(aTarget.text));
  change.set_store_revision(aTarget.storeRevision);
  auto sections =
    aBase == nullptr ? std::nullopt : MakeDelta(aBase->text, aTarget.text);
  if (sections) {
    change.set_base_generation(aBase->generation);
    *change.mutable_sections() = std::move(*sections);
  } else if (aTarget.text.size() <= kMaxLogBytes) {
    change.set_text(aTarget.text);
  }
  if (change.ByteSizeLong() > kMaxChangeBytes) {
    change.clear_base_generation();
    change.clear_sections();
  }
  DropOldest();
}

void
ConfigurationChangeLog::Extend(const ConfigurationChangeLog& aOther)
{
  const auto newest = NewestGeneration();
  for (const auto& change : aOther.changes_.changes()) {
    if (change.generation() > newest) {
      *changes_.add_changes() = change;
    }
  }
  DropOldest();
}

ConfigurationChangeLog
ConfigurationChangeLog::After(state::Generation aGeneration) const
{
  ConfigurationChangeLog log;
  for (const auto& change : changes_.changes()) {
    if (change.generation() > aGeneration) {
      *log.changes_.add_changes() = change;
    }
  }
  return log;
}

void
ConfigurationChangeLog::DropOldest()
{
  auto& changes = *changes_.mutable_changes();
  auto bytes = changes_.ByteSizeLong();
  int dropped = 0;
  while (bytes > kMaxLogBytes && dropped + 1 < changes.size()) {
    bytes -= changes[dropped].ByteSizeLong();
    ++dropped;
  }
  changes.DeleteSubrange(0, dropped);
}

} // namespace teaselhold::coordination
