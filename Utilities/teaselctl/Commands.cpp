#include "Utilities/teaselctl/Commands.h"

#include "Utilities/teaselctl/ApplyCommand.h"
#include "Utilities/teaselctl/StatusCommand.h"

namespace teaselhold::tool {

ExitCode
RunCommand(const CommandContext& aContext)
{
  const auto& command = aContext.options.command;
  if (command == "check") {
    return RunCheck(aContext);
  }
  if (command == "apply") {
    return ApplyCommand(aContext).Run();
  }
  if (command == "get") {
    return RunGet(aContext);
  }
  if (command == "diff") {
    return RunDiff(aContext);
  }
  if (command == "status") {
    return StatusCommand(aContext).Run();
  }
  if (command == "explain") {
    return RunExplain(aContext);
  }
  return command == "nodes" ? RunNodes(aContext) : RunMetrics(aContext);
}

} // namespace teaselhold::tool
