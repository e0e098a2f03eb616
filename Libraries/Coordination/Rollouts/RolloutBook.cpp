#include "Coordination/Rollouts/RolloutBook.h"

#include "Protocol/StoreRevision.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace teaselhold::coordination {

namespace {

/// Limits what one message can make a node remember.
constexpr std::size_t kMaxRollouts = 64;
/// A message that claims an older order is malformed.
constexpr std::uint64_t kMaxAgeMilliseconds = 100'000'000'000;

std::vector<std::string_view>
Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string_view> parts;
  while (!aText.empty()) {
    const auto end = std::min(aText.find(aSeparator), aText.size());
    parts.push_back(aText.substr(0, end));
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return parts;
}

std::optional<std::uint64_t>
ParseWhole(std::string_view aText)
{
  std::uint64_t value = 0;
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<Rollout>
ParseOne(std::string_view aText, state::Instant aNow)
{
  constexpr std::size_t kFields = 8;
  const auto fields = Split(aText, ';');
  if (fields.size() != kFields || !protocol::IsRolloutName(fields[0]) ||
      !protocol::IsRolloutName(fields[1])) {
    return std::nullopt;
  }
  const auto order = ParseWhole(fields[2]);
  const auto duration = ParseWhole(fields[3]);
  const auto age = ParseWhole(fields[4]);
  const auto revision = ParseWhole(fields[6]);
  if (!order || !duration || !age || !revision ||
      *duration > kMaxAgeMilliseconds || *age > kMaxAgeMilliseconds) {
    return std::nullopt;
  }
  Rollout rollout;
  rollout.service = fields[0];
  rollout.target = fields[1];
  rollout.order = *order;
  rollout.duration = std::chrono::milliseconds(*duration);
  rollout.begin = aNow - std::chrono::milliseconds(*age);
  rollout.stored =
    state::FindEnumValue(protocol::kRolloutStateNames, fields[5]);
  rollout.storedRevision = *revision;
  rollout.isBad = fields[7] == "bad";
  return rollout;
}

} // namespace

std::string_view
Rollout::StateName() const
{
  return stored ? state::FindEnumName(protocol::kRolloutStateNames, *stored)
                : std::string_view("ordered");
}

bool
Rollout::IsOwn(const protocol::RolloutStatus& aStatus) const
{
  if (aStatus.target != target) {
    return false;
  }
  if (aStatus.order == order) {
    return true;
  }
  const bool isOfEarlierEra =
    protocol::EraOf(aStatus.order) < protocol::EraOf(order);
  return isOfEarlierEra &&
         (earlierPositions.empty() ||
          std::ranges::find(earlierPositions, aStatus.order) !=
            earlierPositions.end());
}

bool
Rollout::IsRepeatedBy(const Rollout& aOther) const
{
  return protocol::EraOf(order) != protocol::EraOf(aOther.order) &&
         target == aOther.target && duration == aOther.duration;
}

bool
Rollout::HasReplaced(const Rollout& aOther) const
{
  // What is written after the return has a higher revision than all of the
  // copy.
  return protocol::EraOf(aOther.order) > protocol::EraOf(order) &&
         protocol::RevisionInEra(aOther.order) <= replacedRevision;
}

bool
Rollout::IsAheadOf(const Rollout& aOther) const
{
  const auto stage = [](const Rollout& aRollout) {
    return !aRollout.stored     ? 0
           : aRollout.IsFinal() ? std::numeric_limits<int>::max()
                                : 1 + static_cast<int>(*aRollout.stored);
  };
  return stage(*this) > stage(aOther);
}

bool
Rollout::IsSame(const Rollout& aOther) const
{
  return service == aOther.service && target == aOther.target &&
         order == aOther.order && stored == aOther.stored &&
         storedRevision == aOther.storedRevision && isBad == aOther.isBad &&
         isStateLost == aOther.isStateLost;
}

bool
RolloutBook::Merge(const Rollout& aRollout)
{
  const auto found = rollouts_.find(aRollout.service);
  if (found == rollouts_.end()) {
    if (rollouts_.size() < kMaxRollouts) {
      rollouts_.emplace(aRollout.service, aRollout);
      return true;
    }
    return false;
  }
  auto& known = found->second;
  const auto before = known;
  if (aRollout.order == known.order) {
    MergeSame(aRollout, known);
  } else if (known.HasReplaced(aRollout)) {
    return false;
  } else if (known.IsRepeatedBy(aRollout)) {
    MergeRepeated(aRollout, known);
  } else if (aRollout.order > known.order) {
    known = aRollout;
    known.replacedRevision = protocol::RevisionInEra(before.order);
  }
  return !known.IsSame(before);
}

void
RolloutBook::MergeRepeated(const Rollout& aRollout, Rollout& aKnown)
{
  const auto [earlier, later] = std::minmax({ aRollout.order, aKnown.order });
  auto& positions = aKnown.earlierPositions;
  if (std::ranges::find(positions, earlier) == positions.end()) {
    positions.push_back(earlier);
  }
  aKnown.order = later;
  MergeSame(aRollout, aKnown);
}

void
RolloutBook::MergeSame(const Rollout& aRollout, Rollout& aKnown)
{
  aKnown.begin = std::min(aKnown.begin, aRollout.begin);
  aKnown.isBad = aKnown.isBad || aRollout.isBad;
  if (aRollout.storedRevision <= aKnown.storedRevision) {
    return;
  }
  const bool isNewEra = protocol::EraOf(aRollout.storedRevision) >
                        protocol::EraOf(aKnown.storedRevision);
  aKnown.storedRevision = aRollout.storedRevision;
  if (aKnown.IsAheadOf(aRollout) && (isNewEra || aKnown.IsFinal())) {
    aKnown.isStateLost = true;
  } else {
    aKnown.stored = aRollout.stored;
    aKnown.isStateLost = false;
  }
}

bool
RolloutBook::LoseState(const std::string& aService, std::uint64_t aRevision)
{
  const auto found = rollouts_.find(aService);
  const bool isLost =
    found != rollouts_.end() && found->second.stored &&
    protocol::EraOf(found->second.storedRevision) < protocol::EraOf(aRevision);
  if (isLost) {
    found->second.isStateLost = true;
  }
  return isLost;
}

bool
RolloutBook::MergeStored(const std::string& aService,
                         const std::optional<protocol::RolloutStatus>& aStatus,
                         std::uint64_t aRevision)
{
  const auto found = rollouts_.find(aService);
  if (found == rollouts_.end() || aRevision <= found->second.storedRevision) {
    return false;
  }
  auto stored = found->second;
  stored.storedRevision = aRevision;
  stored.stored = aStatus && stored.IsOwn(*aStatus)
                    ? std::optional(aStatus->state)
                    : std::nullopt;
  MergeSame(stored, found->second);
  return true;
}

bool
RolloutBook::MarkBad(const std::string& aService, std::uint64_t aOrder)
{
  const auto found = rollouts_.find(aService);
  if (found == rollouts_.end() || found->second.order != aOrder ||
      found->second.isBad) {
    return false;
  }
  found->second.isBad = true;
  return true;
}

const Rollout*
RolloutBook::Find(std::string_view aService) const
{
  const auto found = rollouts_.find(aService);
  return found == rollouts_.end() ? nullptr : &found->second;
}

std::vector<Rollout>
RolloutBook::All() const
{
  std::vector<Rollout> all;
  for (const auto& [service, rollout] : rollouts_) {
    all.push_back(rollout);
  }
  return all;
}

std::uint32_t
RolloutBook::Digest() const
{
  // FNV-1a.
  constexpr std::uint32_t kOffset = 0x811c9dc5U;
  constexpr std::uint32_t kPrime = 0x01000193U;
  std::uint32_t hash = kOffset;
  for (const auto& [service, rollout] : rollouts_) {
    const auto text =
      service + ';' + rollout.target + ';' + std::to_string(rollout.order) +
      ';' + std::string(rollout.StateName()) + ';' +
      std::to_string(rollout.storedRevision) + (rollout.isBad ? ";bad" : ";");
    for (const auto byte : text) {
      hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
    }
  }
  return hash;
}

std::string
FormatRollouts(const std::vector<Rollout>& aRollouts, state::Instant aNow)
{
  const auto milliseconds = [](state::Duration aTime) {
    const auto time =
      std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
    return std::to_string(std::max<std::int64_t>(time, 0));
  };
  std::string text;
  for (const auto& rollout : aRollouts) {
    text += text.empty() ? "" : ",";
    text += rollout.service + ';' + rollout.target + ';' +
            std::to_string(rollout.order) + ';' +
            milliseconds(rollout.duration) + ';' +
            milliseconds(aNow - rollout.begin) + ';' +
            std::string(rollout.StateName()) + ';' +
            std::to_string(rollout.storedRevision) +
            (rollout.isBad ? ";bad" : ";fair");
  }
  return text;
}

std::vector<Rollout>
ParseRollouts(std::string_view aText, state::Instant aNow)
{
  std::vector<Rollout> rollouts;
  for (const auto part : Split(aText, ',')) {
    if (auto rollout = ParseOne(part, aNow)) {
      rollouts.push_back(std::move(*rollout));
    }
  }
  return rollouts;
}

} // namespace teaselhold::coordination
