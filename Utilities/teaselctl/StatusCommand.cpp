#include "Utilities/teaselctl/StatusCommand.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <thread>

namespace teaselhold::tool {

namespace {

using Clock = std::chrono::steady_clock;
constexpr std::chrono::milliseconds kPollInterval{ 200 };
constexpr std::size_t kMaxNamedNodes = 5;

bool
IsRunning(const wire::NodeStatus& aNode)
{
  return aNode.state() != "gone" && aNode.state() != "down";
}

bool
IsUpToDate(const FleetSummary& aSummary)
{
  return aSummary.newest > 0 && aSummary.upToDate == aSummary.running;
}

std::string
DescribeProgress(const FleetSummary& aSummary)
{
  std::string text = "version " + std::to_string(aSummary.newest) +
                     " in force on " + std::to_string(aSummary.upToDate) +
                     " of " + std::to_string(aSummary.running) + " nodes";
  for (std::size_t i = 0; i < aSummary.lagging.size(); ++i) {
    if (i == kMaxNamedNodes) {
      text += " and " + std::to_string(aSummary.lagging.size() - i) + " more";
      break;
    }
    text += (i == 0 ? "; waiting for " : ", ") + aSummary.lagging[i].node();
  }
  return text;
}

std::string
DescribeRefusal(const wire::NodeStatus& aNode)
{
  return aNode.node() + " (" + aNode.data_centre() + ") refused version " +
         std::to_string(aNode.refused_generation()) + ": " +
         aNode.refused_reason();
}

nlohmann::json
ListToJson(const std::vector<wire::NodeStatus>& aNodes)
{
  auto rows = nlohmann::json::array();
  for (const auto& node : aNodes) {
    rows.push_back(ToJson(node));
  }
  return rows;
}

std::map<std::string, std::size_t>
CountStates(const wire::StatusResponse& aStatus)
{
  std::map<std::string, std::size_t> states;
  for (const auto& node : aStatus.nodes()) {
    ++states[node.state()];
  }
  return states;
}

/// @return the role of the node that answered, or "" if it is not listed.
std::string
AnsweringRole(const wire::StatusResponse& aStatus)
{
  const auto found =
    std::ranges::find_if(aStatus.nodes(), [&](const wire::NodeStatus& aNode) {
      return aNode.node() == aStatus.answering_node();
    });
  return found == aStatus.nodes().end() ? "" : found->role();
}

std::string
FormatStatus(const wire::StatusResponse& aStatus, const FleetSummary& aSummary)
{
  std::ostringstream text;
  const auto role = AnsweringRole(aStatus);
  text << "seen by   " << aStatus.answering_node();
  if (role == "leaf" || role == "joining") {
    text << ", a " << role
         << " node, which knows only relays and lagging nodes; ask a relay for "
            "all nodes";
  }
  text << "\nversion   "
       << (aSummary.newest == 0 ? "none accepted yet"
                                : DescribeProgress(aSummary))
       << "\nstore     "
       << (aStatus.store_reachable() ? "reachable" : "NOT REACHABLE")
       << (aStatus.store_generation() == 0
             ? ", not read by this node"
             : ", version " + std::to_string(aStatus.store_generation()))
       << "\nnodes     " << aStatus.nodes_size();
  std::string separator = ": ";
  for (const auto& [state, count] : CountStates(aStatus)) {
    text << separator << count << " " << state;
    separator = ", ";
  }
  text << "\n";
  for (const auto& node : aSummary.lagging) {
    text << "lagging   " << node.node() << " (" << node.data_centre()
         << ") has version " << node.active_generation() << "\n";
  }
  for (const auto& node : aSummary.refusing) {
    text << "refused   " << DescribeRefusal(node) << "\n";
  }
  for (const auto& rollout : aStatus.rollouts()) {
    text << "rollout   " << rollout.service() << " to "
         << rollout.target_version() << ": " << rollout.state() << ", found "
         << rollout.finding() << "\n";
  }
  for (const auto& alarm : aStatus.alarms()) {
    text << "alarm     " << alarm << "\n";
  }
  return text.str();
}

} // namespace

FleetSummary
Summarize(const wire::StatusResponse& aStatus)
{
  FleetSummary summary;
  summary.newest =
    std::max(aStatus.highest_generation(), aStatus.store_generation());
  for (const auto& node : aStatus.nodes()) {
    if (!IsRunning(node)) {
      continue;
    }
    ++summary.running;
    if (node.active_generation() >= summary.newest) {
      ++summary.upToDate;
    } else {
      summary.lagging.push_back(node);
    }
    if (node.refused_generation() != 0 &&
        node.refused_generation() >= summary.newest) {
      summary.refusing.push_back(node);
    }
  }
  return summary;
}

nlohmann::json
ToJson(const wire::NodeStatus& aNode)
{
  return { { "node", aNode.node() },
           { "service", aNode.service() },
           { "data_centre", aNode.data_centre() },
           { "state", aNode.state() },
           { "role", aNode.role() },
           { "active_generation", aNode.active_generation() },
           { "refused_generation", aNode.refused_generation() },
           { "refused_reason", aNode.refused_reason() } };
}

ExitCode
StatusCommand::Run()
{
  if (context_.options.wait) {
    return Wait();
  }
  const auto status = context_.nodes.Call(&wire::Admin::Stub::Status,
                                          wire::StatusRequest(),
                                          context_.options.timeout);
  if (!status) {
    return context_.report.Fail(Failed, status.error().message);
  }
  Show(*status);
  return Done;
}

ExitCode
StatusCommand::Wait()
{
  const auto deadline = Clock::now() + context_.options.timeout;
  std::string progress;
  while (true) {
    const auto status = context_.nodes.Call(&wire::Admin::Stub::Status,
                                            wire::StatusRequest(),
                                            context_.options.timeout);
    if (!status) {
      return context_.report.Fail(Failed, status.error().message);
    }
    const auto summary = Summarize(*status);
    const bool newEnough = summary.newest >= context_.options.atLeast;
    const auto now = DescribeProgress(summary);
    if (now != progress) {
      progress = now;
      context_.report.Note(progress);
    }
    if (IsUpToDate(summary) && newEnough) {
      Show(*status);
      return Done;
    }
    const bool refused = newEnough && !summary.refusing.empty();
    if (refused || Clock::now() >= deadline) {
      context_.report.Note(
        refused ? DescribeRefusal(summary.refusing.front())
                : "not in force everywhere after " +
                    std::to_string(context_.options.timeout.count()) +
                    " s; see the lagging nodes, or wait longer with --timeout");
      Show(*status);
      return Failed;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void
StatusCommand::Show(const wire::StatusResponse& aStatus) const
{
  const auto summary = Summarize(aStatus);
  auto alarms = nlohmann::json::array();
  for (const auto& alarm : aStatus.alarms()) {
    alarms.push_back(alarm);
  }
  auto rollouts = nlohmann::json::array();
  for (const auto& rollout : aStatus.rollouts()) {
    rollouts.push_back(
      { { "service", rollout.service() },
        { "target_version", rollout.target_version() },
        { "order", rollout.order() },
        { "state", rollout.state() },
        { "finding", rollout.finding() },
        { "duration_milliseconds", rollout.duration_milliseconds() } });
  }
  context_.report.Result({ { "answering_node", aStatus.answering_node() },
                           { "answering_role", AnsweringRole(aStatus) },
                           { "newest_generation", summary.newest },
                           { "store_generation", aStatus.store_generation() },
                           { "store_reachable", aStatus.store_reachable() },
                           { "nodes", CountStates(aStatus) },
                           { "running", summary.running },
                           { "up_to_date", summary.upToDate },
                           { "lagging", ListToJson(summary.lagging) },
                           { "refused", ListToJson(summary.refusing) },
                           { "alarms", alarms },
                           { "rollouts", rollouts } },
                         FormatStatus(aStatus, summary));
}

} // namespace teaselhold::tool
