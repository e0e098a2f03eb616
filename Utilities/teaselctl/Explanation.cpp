#include "Utilities/teaselctl/Explanation.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace teaselhold::tool {

namespace {

constexpr std::array<std::string_view, 2> kRequestParts{ "call", "delivery" };
constexpr std::array<std::string_view, 5> kChangeParts{ "node",
                                                        "config",
                                                        "membership",
                                                        "upstream",
                                                        "store" };
/// Changes this long before the start and after the end of a request are shown.
/// A node that goes is noticed by the others within this time.
constexpr std::int64_t kAround = 5000;

template<std::size_t Size>
bool
Has(const std::array<std::string_view, Size>& aParts, std::string_view aPart)
{
  return std::ranges::find(aParts, aPart) != aParts.end();
}

std::int64_t
StartOf(const LogLine& aLine)
{
  std::int64_t taken = 0;
  const auto text = aLine.Field("milliseconds");
  std::from_chars(text.data(), text.data() + text.size(), taken);
  return aLine.milliseconds - taken;
}

bool
IsEarlier(const NodeLine& aLeft, const NodeLine& aRight)
{
  return aLeft.line.milliseconds < aRight.line.milliseconds;
}

/// Lines of other members are of interest only if the request used them.
bool
IsAbout(const LogLine& aLine, const std::set<std::string>& aNodes)
{
  const auto node = aLine.Field("node");
  return aLine.part != "membership" || node.empty() ||
         aNodes.contains(std::string(node));
}

} // namespace

bool
Explainer::IsStep(const LogLine& aLine) const
{
  const auto id = aLine.Field("id");
  return id.starts_with(id_) &&
         (id.size() == id_.size() || id[id_.size()] == '.');
}

void
Explainer::Read(std::istream& aLog, std::string aName)
{
  std::string text;
  while (std::getline(aLog, text)) {
    auto line = ParseLogLine(text);
    if (!line) {
      result_.unreadable += text.empty() ? 0 : 1;
      continue;
    }
    if (line->part == "node" && !line->Field("name").empty()) {
      aName = line->Field("name");
    }
    const auto node = line->origin.empty() ? aName : line->origin;
    Take(std::move(*line), node);
  }
}

void
Explainer::Take(LogLine aLine, const std::string& aNode)
{
  if (Has(kRequestParts, aLine.part)) {
    if (IsStep(aLine)) {
      result_.steps.push_back({ aNode, std::move(aLine) });
    }
  } else if (Has(kChangeParts, aLine.part)) {
    changes_.push_back({ aNode, std::move(aLine) });
  }
}

Explanation
Explainer::Finish()
{
  std::ranges::stable_sort(result_.steps, IsEarlier);
  std::ranges::stable_sort(changes_, IsEarlier);
  if (result_.steps.empty()) {
    return std::move(result_);
  }
  auto from = result_.steps.front().line.milliseconds;
  for (const auto& step : result_.steps) {
    from = std::min(from, StartOf(step.line));
    result_.nodes.insert(step.node);
    for (const auto* key : { "node", "from" }) {
      if (const auto named = step.line.Field(key); !named.empty()) {
        result_.nodes.emplace(named);
      }
    }
  }
  const auto to = result_.steps.back().line.milliseconds;
  for (const auto& node : result_.nodes) {
    std::ranges::move(ChangesOf(node, from - kAround, to + kAround),
                      std::back_inserter(result_.changes));
  }
  std::ranges::stable_sort(result_.changes, IsEarlier);
  return std::move(result_);
}

std::vector<NodeLine>
Explainer::ChangesOf(const std::string& aNode,
                     std::int64_t aFrom,
                     std::int64_t aTo) const
{
  std::vector<NodeLine> found;
  /// What was so when the time around the request began.
  std::map<std::string, const NodeLine*> before;
  for (const auto& change : changes_) {
    const auto& line = change.line;
    if (change.node != aNode || line.milliseconds > aTo ||
        !IsAbout(line, result_.nodes)) {
      continue;
    }
    if (line.milliseconds >= aFrom) {
      found.push_back(change);
    } else if (line.sentence != "Message.") {
      before[line.part] = &change;
    }
  }
  for (const auto& [part, change] : before) {
    found.push_back(*change);
  }
  return found;
}

} // namespace teaselhold::tool
