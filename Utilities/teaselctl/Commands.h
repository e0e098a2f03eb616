#pragma once

#include "Utilities/teaselctl/NodeClient.h"
#include "Utilities/teaselctl/Report.h"

namespace teaselhold::tool {

/// What every command works with.
struct CommandContext
{
  const Options& options;
  NodeClients& nodes;
  const Report& report;
};

ExitCode
RunCheck(const CommandContext& aContext);

ExitCode
RunGet(const CommandContext& aContext);

ExitCode
RunDiff(const CommandContext& aContext);

ExitCode
RunNodes(const CommandContext& aContext);

ExitCode
RunMetrics(const CommandContext& aContext);

/// Tells from logs what became of a request; asks no node.
ExitCode
RunExplain(const CommandContext& aContext);

/// Reads and checks the file; writes every error.
/// @return the text, if it is valid
std::optional<std::string>
ReadValidText(const CommandContext& aContext);

/// Runs the command that the options name.
ExitCode
RunCommand(const CommandContext& aContext);

} // namespace teaselhold::tool
