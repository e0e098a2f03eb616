#include "Services/teaselholdd/MetricsText.h"

#include "Services/teaselholdd/ExpositionWriter.h"

#include <map>

namespace teaselhold::daemon {

namespace {

using namespace coordination;
using Labels = ExpositionWriter::Labels;

constexpr double kMicrosecondsPerSecond = 1e6;

std::string
ClassName(state::RequestClass aClass)
{
  return std::string(state::FindEnumName(state::kRequestClassNames, aClass));
}

/// Writes the metrics part by part.
class Formatter
{
public:
  explicit Formatter(const MetricsCopy& aMetrics)
    : metrics_(aMetrics)
  {
  }

  std::string Format()
  {
    WriteCalls();
    WriteLatencies();
    WriteReasons("teaselhold_not_run_total",
                 "Calls of callers that were not run.",
                 metrics_.calls.notRun,
                 kNotRunReasonNames);
    WriteReasons("teaselhold_unknown_total",
                 "Calls of callers whose outcome is unknown.",
                 metrics_.calls.unknown,
                 kUnknownReasonNames);
    WriteReasons("teaselhold_refused_total",
                 "Requests of other nodes refused beside the upstream.",
                 metrics_.calls.refused,
                 kNotRunReasonNames);
    WritePeers();
    WriteQuotas();
    WriteControl();
    WriteStore();
    WriteVersions();
    WriteFleet();
    WriteRollouts();
    return writer_.Take();
  }

private:
  using Row = CallMetricsSnapshot::Rows::value_type;

  static Labels LabelsOf(const Row& aRow)
  {
    return { { "class", ClassName(aRow.first.first) },
             { "tenant", aRow.first.second } };
  }

  void Sample(std::string_view aName, Labels aLabels, std::uint64_t aValue)
  {
    writer_.Sample(aName, aLabels, static_cast<double>(aValue));
  }

  /// A family of one counter without labels.
  void Counter(std::string_view aName,
               std::string_view aHelp,
               std::uint64_t aValue)
  {
    writer_.Family(aName, "counter", aHelp);
    Sample(aName, {}, aValue);
  }

  void WriteCalls()
  {
    constexpr std::string_view kName = "teaselhold_calls_total";
    writer_.Family(
      kName, "counter", "Calls that entered through this node, by outcome.");
    for (const auto& row : metrics_.calls.rows) {
      const auto write = [&](const char* aOutcome, std::uint64_t aCount) {
        auto labels = LabelsOf(row);
        labels.emplace_back("outcome", aOutcome);
        Sample(kName, std::move(labels), aCount);
      };
      write("answered", row.second.answered);
      write("not-run", row.second.notRun);
      write("unknown", row.second.unknown);
    }
  }

  void WriteLatencies()
  {
    writer_.Family("teaselhold_call_latency_seconds",
                   "histogram",
                   "Time to the answer of answered calls.");
    for (const auto& row : metrics_.calls.rows) {
      WriteHistogram(row);
    }
    writer_.Family("teaselhold_call_latency_max_seconds",
                   "gauge",
                   "Longest time to an answer since the start.");
    for (const auto& row : metrics_.calls.rows) {
      if (row.second.answered > 0) {
        writer_.Sample("teaselhold_call_latency_max_seconds",
                       LabelsOf(row),
                       boost::accumulators::max(row.second.latencies) /
                         kMicrosecondsPerSecond);
      }
    }
  }

  void WriteHistogram(const Row& aRow)
  {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < aRow.second.buckets.size(); ++i) {
      sum += aRow.second.buckets[i];
      auto labels = LabelsOf(aRow);
      labels.emplace_back("le", BoundText(i));
      Sample("teaselhold_call_latency_seconds_bucket", std::move(labels), sum);
    }
    writer_.Sample("teaselhold_call_latency_seconds_sum",
                   LabelsOf(aRow),
                   static_cast<double>(aRow.second.latencySum) /
                     kMicrosecondsPerSecond);
    Sample("teaselhold_call_latency_seconds_count", LabelsOf(aRow), sum);
  }

  static std::string BoundText(std::size_t aBucket)
  {
    if (aBucket == kLatencyBounds.size()) {
      return "+Inf";
    }
    auto text = std::to_string(static_cast<double>(kLatencyBounds[aBucket]) /
                               kMicrosecondsPerSecond);
    text.erase(text.find_last_not_of('0') + 1);
    return text.ends_with('.') ? text + "0" : text;
  }

  template<std::size_t Size, typename Enum>
  void WriteReasons(std::string_view aName,
                    std::string_view aHelp,
                    const CallMetricsSnapshot::CountsByClass<Size>& aCounts,
                    const std::array<state::EnumName<Enum>, Size>& aNames)
  {
    writer_.Family(aName, "counter", aHelp);
    for (const auto& requestClass : state::kRequestClassNames) {
      const auto& counts =
        aCounts[static_cast<std::size_t>(requestClass.value)];
      for (const auto& reason : aNames) {
        const auto count = counts[static_cast<std::size_t>(reason.value)];
        if (count > 0) {
          Sample(aName,
                 { { "class", std::string(requestClass.name) },
                   { "reason", std::string(reason.name) } },
                 count);
        }
      }
    }
  }

  void WritePeers()
  {
    constexpr std::string_view kName = "teaselhold_peer_refusals_total";
    writer_.Family(kName,
                   "counter",
                   "Requests, answers and connections of peers refused or "
                   "ended by a limit, by reason.");
    for (const auto& reason : transport::kPeerRefusalNames) {
      const auto count =
        metrics_.peerRefusals[static_cast<std::size_t>(reason.value)];
      if (count > 0) {
        Sample(kName, { { "reason", std::string(reason.name) } }, count);
      }
    }
    writer_.Family("teaselhold_peer_memory_bytes",
                   "gauge",
                   "Memory taken for what peers send.");
    Sample("teaselhold_peer_memory_bytes", {}, metrics_.peerMemoryBytes);
    writer_.Family("teaselhold_peer_connections",
                   "gauge",
                   "Open connections with callers, nodes and the upstream.");
    Sample("teaselhold_peer_connections", {}, metrics_.peerConnections);
  }

  void WriteQuotas()
  {
    constexpr std::string_view kName = "teaselhold_quota_requests_total";
    const auto& quotas = metrics_.quotas;
    writer_.Family(kName,
                   "counter",
                   "Requests of limited client accounts at this node, by what "
                   "the limit over all nodes decided.");
    for (const auto& [name, counts] : quotas.accounts) {
      const std::string& account = name;
      const auto sample = [&](const char* aDecision, std::uint64_t aCount) {
        Sample(
          kName, { { "account", account }, { "decision", aDecision } }, aCount);
      };
      // An account that was not seen gets no row.
      if (counts.granted + counts.refused > 0) {
        sample("granted", counts.granted);
        sample("refused", counts.refused);
      }
    }
    writer_.Family("teaselhold_quota_positions_lent",
                   "gauge",
                   "Positions for which this node lends credit.");
    Sample("teaselhold_quota_positions_lent", {}, quotas.positionsLent);
    Counter("teaselhold_quota_messages_total",
            "Messages about quotas sent to other nodes.",
            quotas.messages);
    Counter("teaselhold_quota_failed_messages_total",
            "Messages about quotas that got no answer.",
            quotas.failedMessages);
  }

  void WriteControl()
  {
    const auto& control = metrics_.control;
    Counter("teaselhold_control_sent_bytes_total",
            "Bytes of control messages sent.",
            control.sentBytes);
    Counter("teaselhold_control_received_bytes_total",
            "Bytes of control messages received.",
            control.receivedBytes);
    Counter("teaselhold_control_sent_messages_total",
            "Control messages sent.",
            control.sentMessages);
    Counter("teaselhold_control_received_messages_total",
            "Control messages received.",
            control.receivedMessages);
    Counter("teaselhold_control_dropped_messages_total",
            "Control messages dropped because a queue was full.",
            control.droppedMessages);
  }

  void WriteStore()
  {
    const auto& store = metrics_.store;
    writer_.Family("teaselhold_store_calls_total",
                   "counter",
                   "Calls of the platform's store.");
    Sample(
      "teaselhold_store_calls_total", { { "kind", "watch" } }, store.watches);
    Sample(
      "teaselhold_store_calls_total", { { "kind", "other" } }, store.others);
    Counter("teaselhold_store_failures_total",
            "Calls of the platform's store that failed.",
            store.failures);
    writer_.Family("teaselhold_store_reachable",
                   "gauge",
                   "1 if the store answers, as the control plane knows it.");
    Sample(
      "teaselhold_store_reachable", {}, metrics_.fleet.storeReachable ? 1 : 0);
  }

  void WriteVersions()
  {
    constexpr std::string_view kName = "teaselhold_generation";
    writer_.Family(kName, "gauge", "Generations of the configuration.");
    Sample(kName, { { "which", "active" } }, metrics_.activeGeneration);
    Sample(kName, { { "which", "store" } }, metrics_.fleet.storeGeneration);
    Sample(kName, { { "which", "highest" } }, metrics_.fleet.highestGeneration);
  }

  void WriteFleet()
  {
    std::string role = "unknown";
    std::map<std::string, std::uint64_t> states;
    std::map<std::string, std::uint64_t> roles;
    for (const auto& node : metrics_.fleet.nodes) {
      ++states[std::string(
        state::FindEnumName(state::kEndpointStateNames, node.state))];
      ++roles[node.role];
      role = node.node == metrics_.node ? node.role : role;
    }
    writer_.Family("teaselhold_node_info", "gauge", "This node.");
    Sample("teaselhold_node_info",
           { { "node", metrics_.node },
             { "service", metrics_.service },
             { "data_centre", metrics_.dataCentre },
             { "region", metrics_.region },
             { "role", role } },
           1);
    writer_.Family(
      "teaselhold_nodes", "gauge", "Nodes that this node knows, by state.");
    for (const auto& [name, count] : states) {
      Sample("teaselhold_nodes", { { "state", name } }, count);
    }
    writer_.Family("teaselhold_nodes_by_role",
                   "gauge",
                   "Nodes that this node knows, by role.");
    for (const auto& [name, count] : roles) {
      Sample("teaselhold_nodes_by_role", { { "role", name } }, count);
    }
    writer_.Family("teaselhold_alarms", "gauge", "Alarms of this node.");
    Sample("teaselhold_alarms", {}, metrics_.fleet.alarms.size());
  }

  void WriteRollouts()
  {
    constexpr std::string_view kName = "teaselhold_rollout";
    if (metrics_.fleet.rollouts.empty()) {
      return;
    }
    writer_.Family(kName, "gauge", "Roll-outs that this node knows.");
    for (const auto& rollout : metrics_.fleet.rollouts) {
      const auto finding = FindingOf(rollout, metrics_.fleet.provenServices);
      Sample(kName,
             { { "service", rollout.service },
               { "version", rollout.target },
               { "state", std::string(rollout.StateName()) },
               { "finding", std::string(finding) } },
             1);
    }
  }

  const MetricsCopy& metrics_;
  ExpositionWriter writer_;
};

} // namespace

std::string
FormatMetrics(const MetricsCopy& aMetrics)
{
  return Formatter(aMetrics).Format();
}

} // namespace teaselhold::daemon
