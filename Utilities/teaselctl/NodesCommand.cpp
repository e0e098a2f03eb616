#include "Utilities/teaselctl/StatusCommand.h"
#include "Utilities/teaselctl/Table.h"

namespace teaselhold::tool {

ExitCode
RunNodes(const CommandContext& aContext)
{
  const auto status = aContext.nodes.Call(&wire::Admin::Stub::Status,
                                          wire::StatusRequest(),
                                          aContext.options.timeout);
  if (!status) {
    return aContext.report.Fail(Failed, status.error().message);
  }
  std::vector<std::vector<std::string>> rows{
    { "NODE", "SERVICE", "DATA CENTRE", "STATE", "ROLE", "VERSION" }
  };
  auto nodes = nlohmann::json::array();
  for (const auto& node : status->nodes()) {
    rows.push_back({ node.node(),
                     node.service(),
                     node.data_centre(),
                     node.state(),
                     node.role(),
                     std::to_string(node.active_generation()) });
    nodes.push_back(ToJson(node));
  }
  aContext.report.Result({ { "nodes", nodes } }, FormatTable(rows));
  return Done;
}

} // namespace teaselhold::tool
