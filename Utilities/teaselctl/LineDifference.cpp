#include "Utilities/teaselctl/LineDifference.h"

#include <algorithm>
#include <vector>

namespace teaselhold::tool {

namespace {

using Lines = std::vector<std::string_view>;

/// The trace of the search takes about this number squared of integers.
constexpr int kMaxEdits = 2000;
constexpr std::size_t kContext = 3;

struct Edit
{
  /// ' ', '-' or '+'.
  char kind;
  std::string_view line;
};

Lines
Split(std::string_view aText)
{
  Lines lines;
  while (!aText.empty()) {
    const auto end = aText.find('\n');
    lines.push_back(aText.substr(0, end));
    aText = end == std::string_view::npos ? std::string_view{}
                                          : aText.substr(end + 1);
  }
  return lines;
}

std::vector<Edit>
ReplaceAll(const Lines& aOld, const Lines& aNew)
{
  std::vector<Edit> edits;
  for (const auto line : aOld) {
    edits.push_back({ '-', line });
  }
  for (const auto line : aNew) {
    edits.push_back({ '+', line });
  }
  return edits;
}

/// The shortest edit script by Myers' greedy algorithm.
class ScriptFinder
{
public:
  ScriptFinder(const Lines& aOld, const Lines& aNew)
    : old_(aOld)
    , new_(aNew)
    , oldSize_(static_cast<int>(aOld.size()))
    , newSize_(static_cast<int>(aNew.size()))
  {
  }

  std::vector<Edit> Find()
  {
    const int limit = std::min(kMaxEdits, oldSize_ + newSize_);
    std::vector<int> ends(2 * static_cast<std::size_t>(limit) + 3, 0);
    const auto at = [&](int aDiagonal) -> int& {
      return *(ends.begin() + limit + 1 + aDiagonal);
    };
    for (int edits = 0; edits <= limit; ++edits) {
      trace_.emplace_back(ends.begin() + (limit + 1 - edits - 1),
                          ends.begin() + (limit + 1 + edits + 2));
      for (int diagonal = -edits; diagonal <= edits; diagonal += 2) {
        const bool down =
          diagonal == -edits ||
          (diagonal != edits && at(diagonal - 1) < at(diagonal + 1));
        int x = down ? at(diagonal + 1) : at(diagonal - 1) + 1;
        while (x < oldSize_ && x - diagonal < newSize_ &&
               Old(x) == New(x - diagonal)) {
          ++x;
        }
        at(diagonal) = x;
        if (x >= oldSize_ && x - diagonal >= newSize_) {
          return Backtrack();
        }
      }
    }
    return ReplaceAll(old_, new_);
  }

private:
  std::string_view Old(int aPlace) const
  {
    return old_[static_cast<std::size_t>(aPlace)];
  }
  std::string_view New(int aPlace) const
  {
    return new_[static_cast<std::size_t>(aPlace)];
  }

  std::vector<Edit> Backtrack() const
  {
    std::vector<Edit> script;
    int x = oldSize_;
    int y = newSize_;
    for (int edits = static_cast<int>(trace_.size()) - 1; edits >= 0; --edits) {
      const auto& ends = trace_[static_cast<std::size_t>(edits)];
      const auto at = [&](int aDiagonal) {
        return *(ends.begin() + edits + 1 + aDiagonal);
      };
      const int diagonal = x - y;
      const bool down =
        diagonal == -edits ||
        (diagonal != edits && at(diagonal - 1) < at(diagonal + 1));
      const int fromX =
        edits == 0 ? 0 : (down ? at(diagonal + 1) : at(diagonal - 1));
      const int fromY =
        edits == 0 ? 0 : fromX - (down ? diagonal + 1 : diagonal - 1);
      while (x > fromX && y > fromY) {
        --x;
        --y;
        script.push_back({ ' ', Old(x) });
      }
      if (edits > 0 && down) {
        script.push_back({ '+', New(--y) });
      } else if (edits > 0) {
        script.push_back({ '-', Old(--x) });
      }
    }
    std::ranges::reverse(script);
    return script;
  }

  const Lines& old_;
  const Lines& new_;
  int oldSize_;
  int newSize_;
  /// For each number of edits, the furthest ends of diagonals -edits-1 to
  /// edits+1 before that step.
  std::vector<std::vector<int>> trace_;
};

std::vector<Edit>
FindScript(Lines aOld, Lines aNew)
{
  std::vector<Edit> head;
  std::vector<Edit> tail;
  const auto [oldStart, newStart] = std::ranges::mismatch(aOld, aNew);
  for (auto line = aOld.begin(); line != oldStart; ++line) {
    head.push_back({ ' ', *line });
  }
  aNew.erase(aNew.begin(), newStart);
  aOld.erase(aOld.begin(), oldStart);
  while (!aOld.empty() && !aNew.empty() && aOld.back() == aNew.back()) {
    tail.push_back({ ' ', aOld.back() });
    aOld.pop_back();
    aNew.pop_back();
  }
  const auto middle = ScriptFinder(aOld, aNew).Find();
  head.insert(head.end(), middle.begin(), middle.end());
  head.insert(head.end(), tail.rbegin(), tail.rend());
  return head;
}

std::size_t
CountLines(const std::vector<Edit>& aScript,
           std::size_t aFirst,
           std::size_t aLast,
           char aExcluded)
{
  const auto count = std::count_if(
    aScript.begin() + static_cast<std::ptrdiff_t>(aFirst),
    aScript.begin() + static_cast<std::ptrdiff_t>(aLast),
    [aExcluded](const Edit& aEdit) { return aEdit.kind != aExcluded; });
  return static_cast<std::size_t>(count);
}

void
AppendHunk(const std::vector<Edit>& aScript,
           std::size_t aFirst,
           std::size_t aLast,
           std::string& aText)
{
  const auto range = [&](char aSign, char aExcluded) {
    const auto before = CountLines(aScript, 0, aFirst, aExcluded);
    const auto count = CountLines(aScript, aFirst, aLast, aExcluded);
    return aSign + std::to_string(before + (count == 0 ? 0 : 1)) + "," +
           std::to_string(count);
  };
  aText += "@@ " + range('-', '+') + " " + range('+', '-') + " @@\n";
  for (auto i = aFirst; i < aLast; ++i) {
    aText += aScript[i].kind;
    aText.append(aScript[i].line).append("\n");
  }
}

} // namespace

std::string
LineDifference(std::string_view aOld,
               std::string_view aNew,
               std::string_view aOldName,
               std::string_view aNewName)
{
  const auto script = FindScript(Split(aOld), Split(aNew));
  std::string hunks;
  std::size_t i = 0;
  while (i < script.size()) {
    if (script[i].kind == ' ') {
      ++i;
      continue;
    }
    const auto first = i - std::min(i, kContext);
    auto last = i;
    // Differences closer than two contexts share a hunk.
    for (auto j = i; j < script.size() && j <= last + 2 * kContext; ++j) {
      last = script[j].kind == ' ' ? last : j;
    }
    i = std::min(last + 1 + kContext, script.size());
    AppendHunk(script, first, i, hunks);
  }
  if (hunks.empty()) {
    return "";
  }
  std::string text = "--- ";
  text.append(aOldName).append("\n+++ ").append(aNewName).append("\n");
  return text + hunks;
}

} // namespace teaselhold::tool
