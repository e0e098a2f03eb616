#include "Utilities/teaselctl/Commands.h"
#include "Utilities/teaselctl/Explanation.h"
#include "Utilities/teaselctl/Table.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace teaselhold::tool {

namespace {

constexpr std::string_view kStandardInput = "-";

/// Fields that a step shows apart from its inputs.
bool
IsDecision(std::string_view aKey)
{
  return aKey == "id" || aKey == "outcome" || aKey == "reason";
}

std::string
DecisionOf(const LogLine& aLine)
{
  const auto outcome = aLine.Field("outcome");
  const auto reason = aLine.Field("reason");
  std::string text(outcome);
  if (!reason.empty() && reason != "none") {
    text.append(" (").append(reason).append(")");
  }
  return text;
}

/// The words of the line that tell what decided, in its order.
std::string
InputsOf(const LogLine& aLine)
{
  std::string text;
  std::size_t start = 0;
  while (start < aLine.rest.size()) {
    const auto end = std::min(aLine.rest.find(' ', start), aLine.rest.size());
    const auto word = aLine.rest.substr(start, end - start);
    if (!IsDecision(word.substr(0, word.find('=')))) {
      text.append(text.empty() ? "" : " ").append(word);
    }
    start = end + 1;
  }
  return text;
}

nlohmann::json
ToJson(const NodeLine& aLine)
{
  return {
    { "time", aLine.line.time },         { "node", aLine.node },
    { "level", aLine.line.level },       { "part", aLine.line.part },
    { "sentence", aLine.line.sentence }, { "fields", aLine.line.fields }
  };
}

nlohmann::json
ToJson(const std::vector<NodeLine>& aLines)
{
  auto rows = nlohmann::json::array();
  for (const auto& line : aLines) {
    rows.push_back(ToJson(line));
  }
  return rows;
}

std::string
FormatText(const Explanation& aFound)
{
  std::vector<std::vector<std::string>> steps{
    { "TIME", "NODE", "HOP", "ID", "DECISION", "INPUTS" }
  };
  for (const auto& [node, line] : aFound.steps) {
    steps.push_back({ line.time,
                      node,
                      line.part,
                      std::string(line.Field("id")),
                      DecisionOf(line),
                      InputsOf(line) });
  }
  std::vector<std::vector<std::string>> changes{
    { "TIME", "NODE", "PART", "CHANGE" }
  };
  for (const auto& [node, line] : aFound.changes) {
    const auto space = line.rest.empty() ? "" : " ";
    changes.push_back(
      { line.time, node, line.part, line.sentence + space + line.rest });
  }
  return "Steps of the request:\n" + FormatTable(steps) +
         "\nChanges of these nodes around it:\n" + FormatTable(changes);
}

/// Reads one log. @return what failed, or none.
std::string
ReadLog(const std::string& aPath, Explainer& aExplainer)
{
  if (aPath == kStandardInput) {
    aExplainer.Read(std::cin, "");
    return "";
  }
  std::ifstream file(aPath);
  if (!file || std::filesystem::is_directory(aPath)) {
    return aPath + ": cannot be read";
  }
  aExplainer.Read(file, std::filesystem::path(aPath).stem());
  return "";
}

} // namespace

ExitCode
RunExplain(const CommandContext& aContext)
{
  const auto& id = aContext.options.argument;
  Explainer explainer(id);
  for (const auto& path : aContext.options.logs) {
    if (const auto error = ReadLog(path, explainer); !error.empty()) {
      return aContext.report.Fail(Failed, error);
    }
  }
  const auto found = explainer.Finish();
  if (found.unreadable > 0) {
    aContext.report.Note("lines that are not of a node's log: " +
                         std::to_string(found.unreadable));
  }
  if (found.steps.empty()) {
    return aContext.report.Fail(
      Failed,
      "no line of request " + id +
        " in these logs; most requests that end well get none, and a log may "
        "keep only its newest part");
  }
  aContext.report.Result({ { "id", id },
                           { "nodes", found.nodes },
                           { "steps", ToJson(found.steps) },
                           { "changes", ToJson(found.changes) },
                           { "unreadable", found.unreadable } },
                         FormatText(found));
  return Done;
}

} // namespace teaselhold::tool
