#include "Coordination/ConfigurationDelta.h"

#include <algorithm>
#include <list>
#include <unordered_map>

namespace teaselhold::coordination {

namespace {

/// A delta above this share of the full text saves too little to risk that the
/// receiver lacks the base.
constexpr double kLargestDeltaShare = 0.7;
/// Approximate bytes for the protobuf tags and lengths of one section.
constexpr std::size_t kSectionOverheadBytes = 8;

struct Section
{
  std::string_view name;
  std::string_view text;
};

std::string_view
Trim(std::string_view aLine)
{
  const auto first = aLine.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  return aLine.substr(first, aLine.find_last_not_of(" \t\r\n") - first + 1);
}

/// Splits a text before each header line. The first section has no name and
/// contains everything before the first header; it may be empty.
std::vector<Section>
SplitIntoSections(std::string_view aText)
{
  std::vector<Section> sections{ {} };
  std::size_t start = 0;
  std::size_t line = 0;
  while (line < aText.size()) {
    const auto newline = aText.find('\n', line);
    const auto next =
      newline == std::string_view::npos ? aText.size() : newline + 1;
    const auto content = Trim(aText.substr(line, next - line));
    if (content.starts_with('[')) {
      sections.back().text = aText.substr(start, line - start);
      sections.push_back({ content, {} });
      start = line;
    }
    line = next;
  }
  sections.back().text = aText.substr(start);
  return sections;
}

using Positions = std::unordered_map<std::string_view, std::size_t>;

/// @return nullopt if two sections have the same name.
std::optional<Positions>
IndexByName(const std::vector<Section>& aSections)
{
  Positions positions;
  for (std::size_t i = 0; i < aSections.size(); ++i) {
    if (!positions.emplace(aSections[i].name, i).second) {
      return std::nullopt;
    }
  }
  return positions;
}

/// Marks the target sections that need not be moved: the largest set that is in
/// the same order in the base, which is the longest increasing subsequence of
/// their base positions.
std::vector<bool>
FindUnmovedSections(const std::vector<Section>& aTarget, const Positions& aBase)
{
  constexpr auto kNone = static_cast<std::size_t>(-1);
  std::vector<std::size_t> tails;
  std::vector<std::size_t> tailPositions;
  std::vector<std::size_t> previous(aTarget.size(), kNone);
  for (std::size_t i = 0; i < aTarget.size(); ++i) {
    const auto found = aBase.find(aTarget[i].name);
    if (found == aBase.end()) {
      continue;
    }
    const auto precedingLength = static_cast<std::size_t>(
      std::ranges::lower_bound(tailPositions, found->second) -
      tailPositions.begin());
    previous[i] = precedingLength == 0 ? kNone : tails[precedingLength - 1];
    if (precedingLength == tails.size()) {
      tails.push_back(i);
      tailPositions.push_back(found->second);
    } else {
      tails[precedingLength] = i;
      tailPositions[precedingLength] = found->second;
    }
  }
  std::vector<bool> unmoved(aTarget.size(), false);
  for (auto i = tails.empty() ? kNone : tails.back(); i != kNone;
       i = previous[i]) {
    unmoved[i] = true;
  }
  return unmoved;
}

/// Collects the sections of a delta and adds up their size.
class DeltaWriter
{
public:
  void Add(std::string_view aName,
           std::string_view aText,
           std::string_view aAfter)
  {
    auto& section = *sections_.Add();
    section.set_name(std::string(aName));
    section.set_text(std::string(aText));
    section.set_after(std::string(aAfter));
    bytes_ +=
      aName.size() + aText.size() + aAfter.size() + kSectionOverheadBytes;
  }

  std::size_t bytes_ = 0;
  ConfigurationSections sections_;
};

} // namespace

std::optional<ConfigurationSections>
MakeDelta(std::string_view aBase, std::string_view aTarget)
{
  const auto base = SplitIntoSections(aBase);
  const auto target = SplitIntoSections(aTarget);
  const auto basePositions = IndexByName(base);
  const auto targetPositions = IndexByName(target);
  if (!basePositions || !targetPositions) {
    return std::nullopt;
  }
  const auto unmoved = FindUnmovedSections(target, *basePositions);
  DeltaWriter writer;
  for (const auto& section : base) {
    const auto found = targetPositions->find(section.name);
    if (found == targetPositions->end() || !unmoved[found->second]) {
      writer.Add(section.name, {}, {});
    }
  }
  for (std::size_t i = 0; i < target.size(); ++i) {
    const auto& section = target[i];
    if (!unmoved[i]) {
      writer.Add(section.name, section.text, target[i - 1].name);
    } else if (base[basePositions->at(section.name)].text != section.text) {
      writer.Add(section.name, section.text, {});
    }
  }
  if (static_cast<double>(writer.bytes_) >
      kLargestDeltaShare * static_cast<double>(aTarget.size())) {
    return std::nullopt;
  }
  return std::move(writer.sections_);
}

tl::expected<std::string, CoordinationError>
ApplyDelta(std::string_view aBase, const ConfigurationSections& aSections)
{
  const auto base = SplitIntoSections(aBase);
  std::list<Section> result(base.begin(), base.end());
  std::unordered_map<std::string_view, std::list<Section>::iterator> byName;
  for (auto section = result.begin(); section != result.end(); ++section) {
    byName.emplace(section->name, section);
  }
  for (const auto& change : aSections) {
    const auto known = byName.find(change.name());
    if (change.text().empty() && !change.name().empty()) {
      // The section may be missing already if this text is newer than the base
      // that the delta was computed from.
      if (known != byName.end()) {
        result.erase(known->second);
        byName.erase(known);
      }
    } else if (known != byName.end()) {
      known->second->text = change.text();
    } else {
      const auto after = byName.find(change.after());
      if (after == byName.end()) {
        return tl::make_unexpected(
          CoordinationError{ CoordinationErrorCode::InvalidDelta,
                             "section " + change.name() + " follows " +
                               change.after() + ", which does not exist" });
      }
      const auto added = result.insert(std::next(after->second),
                                       { change.name(), change.text() });
      byName.emplace(change.name(), added);
    }
  }
  std::string text;
  for (const auto& section : result) {
    text.append(section.text);
  }
  return text;
}

} // namespace teaselhold::coordination
