#include "State/RunLedger.h"

#include <algorithm>
#include <utility>

namespace teaselhold::state {

namespace {

/// More deliveries of one key at a time are a fault of the caller.
constexpr std::size_t kMaxJoined = 64;

} // namespace

RunLedger::RunLedger(RunLedgerOptions aOptions)
  : options_(aOptions)
{
}

KeyedVerdict
RunLedger::Arrive(const KeyedDelivery& aDelivery, Instant aNow)
{
  const auto known = entries_.find(aDelivery.name);
  return known == entries_.end() ? ArriveUnknown(aDelivery, aNow)
                                 : ArriveKnown(known->second, aDelivery, aNow);
}

KeyedVerdict
RunLedger::ArriveKnown(Entry& aEntry,
                       const KeyedDelivery& aDelivery,
                       Instant aNow)
{
  if (aEntry.fingerprint != aDelivery.fingerprint) {
    return MismatchedKey{};
  }
  Touch(aEntry, aNow);
  switch (aEntry.phase) {
    case Phase::Running:
      return Join(aEntry, aDelivery);
    case Phase::Answered:
      if (aEntry.answer == nullptr) {
        return LostRun{};
      }
      return ReplayAnswer{ aEntry.answer };
    case Phase::Lost:
      return LostRun{ true };
    case Phase::Refused:
      break;
  }
  if (aDelivery.mayStart && aDelivery.epoch > aEntry.epoch) {
    aEntry.phase = Phase::Running;
    aEntry.epoch = aDelivery.epoch;
    return StartRun{};
  }
  aEntry.epoch = std::max(aEntry.epoch, aDelivery.epoch);
  return RefuseKey{};
}

KeyedVerdict
RunLedger::Join(Entry& aEntry, const KeyedDelivery& aDelivery)
{
  if (aEntry.joined.size() >= kMaxJoined) {
    return LostRun{};
  }
  aEntry.joined.push_back(aDelivery.id);
  return JoinRun{};
}

KeyedVerdict
RunLedger::ArriveUnknown(const KeyedDelivery& aDelivery, Instant aNow)
{
  if (!aDelivery.mayStart && aNow < doubtUntil_) {
    return LostRun{};
  }
  if (!MakeRoom(aNow)) {
    // A refusal of the only delivery that may start the run needs no record.
    return aDelivery.mayStart ? KeyedVerdict(RefuseKey{}) : LostRun{};
  }
  if (aDelivery.mayStart) {
    Add(aDelivery, Phase::Running, aNow);
    return StartRun{};
  }
  Add(aDelivery, Phase::Refused, aNow);
  return RefuseKey{};
}

RunLedger::Entry&
RunLedger::Add(const KeyedDelivery& aDelivery, Phase aPhase, Instant aNow)
{
  const auto added = entries_.try_emplace(aDelivery.name).first;
  auto& entry = added->second;
  entry.name = &added->first;
  entry.fingerprint = aDelivery.fingerprint;
  entry.epoch = aDelivery.epoch;
  entry.phase = aPhase;
  entry.touched = aNow;
  order_.push_back(entry);
  return entry;
}

void
RunLedger::Touch(Entry& aEntry, Instant aNow)
{
  aEntry.touched = aNow;
  order_.splice(order_.end(), order_, order_.iterator_to(aEntry));
}

bool
RunLedger::MakeRoom(Instant aNow)
{
  DropExpired(aNow);
  if (entries_.size() < options_.maxKeys) {
    return true;
  }
  const auto oldest = std::ranges::find_if(
    order_, [](const Entry& aEntry) { return aEntry.phase != Phase::Running; });
  if (oldest == order_.end() || aNow < oldest->touched + options_.minimumKeep) {
    return false;
  }
  if (oldest->phase != Phase::Refused) {
    doubtUntil_ = aNow + options_.keep;
  }
  Erase(*oldest);
  return true;
}

void
RunLedger::DropExpired(Instant aNow)
{
  auto entry = order_.begin();
  while (entry != order_.end() && aNow >= entry->touched + options_.keep) {
    auto& expired = *entry++;
    if (expired.phase != Phase::Running) {
      Erase(expired);
    }
  }
}

void
RunLedger::Erase(Entry& aEntry)
{
  if (aEntry.answer != nullptr) {
    storedBytes_ -= aEntry.answer->content.size();
  }
  order_.erase(order_.iterator_to(aEntry));
  entries_.erase(entries_.find(*aEntry.name));
}

RunLedger::Entry*
RunLedger::Running(std::string_view aName)
{
  const auto found = entries_.find(std::string(aName));
  const bool isRunning =
    found != entries_.end() && found->second.phase == Phase::Running;
  return isRunning ? &found->second : nullptr;
}

std::vector<std::uint64_t>
RunLedger::End(Entry& aEntry, Phase aPhase, Instant aNow)
{
  aEntry.phase = aPhase;
  Touch(aEntry, aNow);
  return std::exchange(aEntry.joined, {});
}

std::vector<std::uint64_t>
RunLedger::Answer(std::string_view aName, StoredAnswer aAnswer, Instant aNow)
{
  auto* entry = Running(aName);
  if (entry == nullptr) {
    return {};
  }
  auto joined = End(*entry, Phase::Answered, aNow);
  if (aAnswer.content.size() <= options_.maxAnswerBytes) {
    storedBytes_ += aAnswer.content.size();
    entry->answer = std::make_shared<const StoredAnswer>(std::move(aAnswer));
    DropAnswers();
  }
  return joined;
}

void
RunLedger::DropAnswers()
{
  for (auto& entry : order_) {
    if (storedBytes_ <= options_.maxTotalBytes) {
      return;
    }
    if (entry.answer != nullptr) {
      storedBytes_ -= entry.answer->content.size();
      entry.answer.reset();
    }
  }
}

std::vector<std::uint64_t>
RunLedger::Refuse(std::string_view aName, Instant aNow)
{
  auto* entry = Running(aName);
  return entry == nullptr ? std::vector<std::uint64_t>()
                          : End(*entry, Phase::Refused, aNow);
}

std::vector<std::uint64_t>
RunLedger::Lose(std::string_view aName, Instant aNow)
{
  auto* entry = Running(aName);
  return entry == nullptr ? std::vector<std::uint64_t>()
                          : End(*entry, Phase::Lost, aNow);
}

} // namespace teaselhold::state
