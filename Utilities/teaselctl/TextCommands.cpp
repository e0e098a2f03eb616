#include "Protocol/ConfigurationText.h"
#include "Utilities/teaselctl/Commands.h"
#include "Utilities/teaselctl/LineDifference.h"

namespace teaselhold::tool {

namespace {

nlohmann::json
ToJson(const std::vector<protocol::ProtocolError>& aErrors)
{
  auto rows = nlohmann::json::array();
  for (const auto& error : aErrors) {
    rows.push_back({ { "line", error.line }, { "message", error.message } });
  }
  return rows;
}

} // namespace

std::optional<std::string>
ReadValidText(const CommandContext& aContext)
{
  const auto& path = aContext.options.argument;
  auto text = ReadFile(path);
  if (!text) {
    aContext.report.Fail(Failed, text.error());
    return std::nullopt;
  }
  const auto compiled = protocol::CompileSubmission(*text, 1);
  if (compiled) {
    return std::move(*text);
  }
  aContext.report.Errors() << protocol::FormatErrors(path, compiled.error());
  aContext.report.Result({ { "file", path },
                           { "valid", false },
                           { "errors", ToJson(compiled.error()) } },
                         "");
  return std::nullopt;
}

ExitCode
RunCheck(const CommandContext& aContext)
{
  if (!ReadValidText(aContext)) {
    return Failed;
  }
  const auto& path = aContext.options.argument;
  aContext.report.Result({ { "file", path },
                           { "valid", true },
                           { "errors", nlohmann::json::array() } },
                         path + ": valid\n");
  return Done;
}

ExitCode
RunGet(const CommandContext& aContext)
{
  const auto response = aContext.nodes.Call(
    &wire::Admin::Stub::Get, wire::GetRequest(), aContext.options.timeout);
  if (!response) {
    return aContext.report.Fail(Failed, response.error().message);
  }
  if (response->generation() == 0) {
    return aContext.report.Fail(Failed,
                                "node " + aContext.nodes.Answered() +
                                  ": no version is in force; apply a text or "
                                  "see \"teaselctl status\"");
  }
  aContext.report.Note("version " + std::to_string(response->generation()));
  aContext.report.Result(
    { { "generation", response->generation() }, { "text", response->text() } },
    response->text());
  return Done;
}

ExitCode
RunDiff(const CommandContext& aContext)
{
  const auto text = ReadFile(aContext.options.argument);
  if (!text) {
    return aContext.report.Fail(Failed, text.error());
  }
  const auto response = aContext.nodes.Call(
    &wire::Admin::Stub::Get, wire::GetRequest(), aContext.options.timeout);
  if (!response) {
    return aContext.report.Fail(Failed, response.error().message);
  }
  const auto version = "version " + std::to_string(response->generation());
  const auto difference =
    LineDifference(response->text(), *text, version, aContext.options.argument);
  const bool same = response->text() == *text;
  aContext.report.Note(
    same ? "same as " + version
         : (difference.empty()
              ? "differs from " + version + " only in the end of the last line"
              : "differs from " + version));
  aContext.report.Result({ { "generation", response->generation() },
                           { "same", same },
                           { "difference", difference } },
                         difference);
  return Done;
}

} // namespace teaselhold::tool
