#include "Coordination/ConfigurationWatch.h"

#include "Protocol/ConfigurationText.h"
#include "admin.pb.h"

namespace teaselhold::coordination {

namespace {

/// Maximum wait of a watch. The store counts a pending watch as one call, so
/// long waits keep the number of calls low.
constexpr std::chrono::milliseconds kMaxWatchWait{ 25000 };

} // namespace

void
ConfigurationWatch::Restart(state::Instant aNow)
{
  watchCall_ = 0;
  nextWatch_ = aNow;
  nextRead_ = aNow;
  watchBackoff_.Reset();
  readBackoff_.Reset();
}

void
ConfigurationWatch::StartVersionCheck(state::Instant aNow, Commands& aCommands)
{
  const bool isDue =
    checks_.IsRequested() || (checks_.IsDue(aNow) && !IsWatchNew(aNow));
  if (readCall_ != 0 || revision_ == 0 || isFullReadDue_ || !isDue) {
    return;
  }
  checks_.OnAttempt(aNow);
  readCall_ = numbers_.Next();
  isVersionCheck_ = true;
  readSent_ = aNow;
  checkedRevision_ = revision_;
  checkedGeneration_ = InForceAt(revision_);
  aCommands.push_back(CallStore{
    readCall_, StoreGetIfChanged{ protocol::kConfigurationKey, revision_ } });
}

bool
ConfigurationWatch::IsWatchNew(state::Instant aNow) const
{
  return isWatching_ &&
         (IsWaiting() ? aNow - watchSent_ < reportTime_ : aNow < nextWatch_);
}

void
ConfigurationWatch::Tick(state::Instant aNow, Commands& aCommands)
{
  if (isFullReadDue_ && readCall_ == 0 && aNow >= nextRead_) {
    readCall_ = numbers_.Next();
    isVersionCheck_ = false;
    readSent_ = aNow;
    checkedRevision_ = revision_;
    aCommands.push_back(
      CallStore{ readCall_, StoreGet{ protocol::kConfigurationKey } });
  }
  StartVersionCheck(aNow, aCommands);
  if (!isWatching_ || watchCall_ != 0 || aNow < nextWatch_) {
    return;
  }
  watchCall_ = numbers_.Next();
  watchSent_ = aNow;
  aCommands.push_back(CallStore{
    watchCall_,
    StoreWatch{ protocol::kConfigurationKey, revision_, kMaxWatchWait } });
}

bool
ConfigurationWatch::OnStoreAnswer(const StoreAnswered& aAnswer,
                                  state::Instant aNow,
                                  Commands& aCommands)
{
  if (readCall_ != 0 && aAnswer.call == readCall_) {
    readCall_ = 0;
    OnRead(aAnswer.result, aNow, aCommands);
    return true;
  }
  if (aAnswer.call != watchCall_) {
    return false;
  }
  watchCall_ = 0;
  const auto* entry = std::get_if<protocol::StoreEntry>(&aAnswer.result);
  isStoreReachable_ = entry != nullptr;
  if (entry == nullptr) {
    nextWatch_ = aNow + watchBackoff_.Next(random_);
    return true;
  }
  watchBackoff_.Reset();
  const bool isFirst = revision_ == 0;
  const bool isChanged = entry->revision != revision_;
  // Other nodes are told of the time until which it shows all versions for
  // certain.
  OnChecked(watchSent_);
  if (isChanged) {
    checks_.OnCheck(aNow);
  }
  // The first answer is the initial read, not a change, so the watch follows
  // without a pause.
  nextWatch_ =
    aNow + (isChanged && !isFirst ? pauseAfterChange_ : state::Duration{ 0 });
  if (isChanged) {
    LogOlderRevision(entry->revision, aCommands);
    OnStoredValue(*entry, VersionSource::Watch, aCommands);
    if (isFirst) {
      // It was read; a watch may miss changes, and attests nothing.
      Attest(InForceAt(entry->revision), watchSent_);
    }
  } else if (entry->revision == 0) {
    nextWatch_ = aNow + kInitialStoreRetryDelay;
  }
  return true;
}

void
ConfigurationWatch::LogOlderRevision(std::uint64_t aRevision,
                                     Commands& aCommands) const
{
  if (aRevision >= revision_) {
    return;
  }
  aCommands.push_back(WriteLog{
    LogLevel::Warning,
    "config",
    "The store shows an older revision than before. revision=" +
      std::to_string(aRevision) + " known=" + std::to_string(revision_) });
}

void
ConfigurationWatch::OnChecked(state::Instant aSent)
{
  checks_.OnCheck(aSent);
  checked_ = aSent;
}

void
ConfigurationWatch::OnRead(const StoreResult& aResult,
                           state::Instant aNow,
                           Commands& aCommands)
{
  const auto* entry = std::get_if<protocol::StoreEntry>(&aResult);
  isStoreReachable_ = entry != nullptr;
  if (entry == nullptr) {
    nextRead_ = aNow + readBackoff_.Next(random_);
    return;
  }
  readBackoff_.Reset();
  OnChecked(readSent_);
  LogOlderRevision(entry->revision, aCommands);
  // A version check that found no newer revision may have begun before the
  // changes that require a full read, so that read is still due.
  isFullReadDue_ =
    isFullReadDue_ && entry->revision <= revision_ && isVersionCheck_;
  // A read cannot be older than what was known when it was sent. A lower
  // revision than that one is the store's present state: it came back from an
  // earlier copy.
  const bool isRestored = revision_ == checkedRevision_ &&
                          entry->revision < revision_ && entry->revision != 0;
  if (isRestored) {
    // The pending watch waits after a revision that may be given out again.
    watchCall_ = 0;
    nextWatch_ = aNow;
  }
  if (isRestored || entry->revision > revision_) {
    OnStoredValue(*entry,
                  isVersionCheck_ ? VersionSource::Check : VersionSource::Read,
                  aCommands);
    Attest(InForceAt(entry->revision), readSent_);
  } else if (!isVersionCheck_) {
    Attest(InForceAt(entry->revision), readSent_);
  } else if (entry->revision == checkedRevision_) {
    Attest(checkedGeneration_, readSent_);
  }
}

state::Generation
ConfigurationWatch::InForceAt(std::uint64_t aRevision) const
{
  const bool isInForce = active_ != nullptr && activeRevision_ == aRevision;
  return isInForce ? active_->GetGeneration() : 0;
}

void
ConfigurationWatch::Attest(state::Generation aGeneration, state::Instant aSent)
{
  if (aGeneration != 0) {
    attestation_ = Attestation{ aGeneration, aSent };
  }
}

void
ConfigurationWatch::ApplyChanges(const ConfigurationChangeLog& aLog,
                                 VersionSource aSource,
                                 Commands& aCommands)
{
  const auto newest =
    active_ == nullptr
      ? std::nullopt
      : aLog.Advance(active_->Text(), active_->GetGeneration());
  if (!newest) {
    isFullReadDue_ = true;
    return;
  }
  revision_ = std::max(revision_, newest->storeRevision);
  Activate(newest->text, newest->generation, aSource, aCommands);
  if (active_->GetGeneration() == newest->generation) {
    activeRevision_ = newest->storeRevision;
  }
}

void
ConfigurationWatch::OnStoredValue(const protocol::StoreEntry& aEntry,
                                  VersionSource aSource,
                                  Commands& aCommands)
{
  revision_ = aEntry.revision;
  wire::StoredConfiguration stored;
  if (aEntry.value.empty()) {
    return;
  }
  if (!stored.ParseFromString(aEntry.value)) {
    Refuse(0, "the stored value cannot be parsed", aCommands);
    return;
  }
  const auto generation = stored.generation();
  if (!stored.defect().empty()) {
    Refuse(generation, stored.defect(), aCommands);
    return;
  }
  if (active_ != nullptr && generation <= active_->GetGeneration()) {
    if (generation < active_->GetGeneration()) {
      Refuse(generation, "older than the version in force", aCommands);
    } else if (stored.text() == active_->Text()) {
      activeRevision_ = aEntry.revision;
    }
    return;
  }
  Activate(stored.text(), generation, aSource, aCommands);
  if (active_ == nullptr || active_->GetGeneration() != generation) {
    return;
  }
  activeRevision_ = aEntry.revision;
  for (const auto& note : stored.notes()) {
    aCommands.push_back(WriteLog{
      LogLevel::Warning,
      "config",
      "Unknown configuration value; its safest interpretation is used. "
      "generation=" +
        std::to_string(generation) + " word=\"" + note + "\"" });
  }
}

void
ConfigurationWatch::Activate(const std::string& aText,
                             state::Generation aGeneration,
                             VersionSource aSource,
                             Commands& aCommands)
{
  auto compiled = protocol::CompileConfiguration(aText, aGeneration);
  if (!compiled) {
    Refuse(
      aGeneration, protocol::FormatErrors("text", compiled.error()), aCommands);
    return;
  }
  active_ = std::move(*compiled);
  activeSource_ = aSource;
  refusedGeneration_ = 0;
  refusedReason_.clear();
  aCommands.push_back(WriteLog{
    LogLevel::Info,
    "config",
    "Version in force. generation=" + std::to_string(aGeneration) +
      " revision=" + std::to_string(revision_) +
      " routes=" + std::to_string(active_->Routes().size()) + " source=" +
      std::string(state::FindEnumName(kVersionSourceNames, aSource)) });
}

void
ConfigurationWatch::Refuse(state::Generation aGeneration,
                           std::string aReason,
                           Commands& aCommands)
{
  refusedGeneration_ = aGeneration;
  refusedReason_ = std::move(aReason);
  aCommands.push_back(WriteLog{
    LogLevel::Warning,
    "config",
    "Version refused. generation=" + std::to_string(aGeneration) +
      " revision=" + std::to_string(revision_) + " reason=" + refusedReason_ });
}

} // namespace teaselhold::coordination
