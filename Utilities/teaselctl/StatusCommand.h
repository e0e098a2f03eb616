#pragma once

#include "Utilities/teaselctl/Commands.h"

namespace teaselhold::tool {

/// The parts of a fleet's status that an operator acts on.
struct FleetSummary
{
  /// The newest version that the node knows of.
  std::uint64_t newest = 0;
  /// Nodes that run: neither gone nor down.
  std::size_t running = 0;
  std::size_t upToDate = 0;
  std::vector<wire::NodeStatus> lagging;
  /// Running nodes that refused the newest version.
  std::vector<wire::NodeStatus> refusing;
};

FleetSummary
Summarize(const wire::StatusResponse& aStatus);

nlohmann::json
ToJson(const wire::NodeStatus& aNode);

/// Shows the fleet, and waits for a version if asked to.
class StatusCommand
{
public:
  explicit StatusCommand(const CommandContext& aContext)
    : context_(aContext)
  {
  }

  ExitCode Run();

private:
  ExitCode Wait();
  void Show(const wire::StatusResponse& aStatus) const;

  const CommandContext& context_;
};

} // namespace teaselhold::tool
