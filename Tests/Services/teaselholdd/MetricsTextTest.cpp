#include "Services/teaselholdd/MetricsText.h"

#include <catch2/catch.hpp>
#include <regex>
#include <set>
#include <sstream>

using namespace teaselhold;
using namespace teaselhold::coordination;
using daemon::FormatMetrics;
using state::RequestClass;

namespace {

daemon::MetricsCopy
MakeMetrics()
{
  CallMetrics calls;
  calls.Record(
    RequestClass::Check, "", Answered{ 200 }, std::chrono::microseconds(800));
  calls.Record(
    RequestClass::Check, "", Answered{ 200 }, std::chrono::microseconds(1500));
  calls.Record(RequestClass::Batch,
               "any",
               NotRun{ NotRunReason::Shed },
               std::chrono::microseconds(1));
  calls.RecordRefusal(RequestClass::Batch, NotRunReason::Draining);
  daemon::MetricsCopy metrics;
  metrics.node = "a\"b\\c";
  metrics.calls = calls.Snapshot();
  metrics.control.sentBytes = 12345678901234;
  metrics.fleet.nodes.push_back({ .node = "a\"b\\c",
                                  .service = "s",
                                  .dataCentre = "d",
                                  .state = state::EndpointState::Ready,
                                  .role = "relay",
                                  .refusedReason = "" });
  return metrics;
}

bool
HasLine(const std::string& aText, const std::string& aLine)
{
  return ("\n" + aText).find("\n" + aLine + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("a histogram that is not cumulative would mislead Prometheus")
{
  const auto text = FormatMetrics(MakeMetrics());
  CAPTURE(text);
  const std::string labels = R"(class="check",tenant="_none")";
  const std::string name = "teaselhold_call_latency_seconds";
  CHECK(HasLine(text, name + "_bucket{" + labels + R"(,le="0.0005"} 0)"));
  CHECK(HasLine(text, name + "_bucket{" + labels + R"(,le="0.001"} 1)"));
  CHECK(HasLine(text, name + "_bucket{" + labels + R"(,le="0.002"} 2)"));
  CHECK(HasLine(text, name + "_bucket{" + labels + R"(,le="10.0"} 2)"));
  CHECK(HasLine(text, name + "_bucket{" + labels + R"(,le="+Inf"} 2)"));
  CHECK(HasLine(text, name + "_count{" + labels + "} 2"));
  CHECK(HasLine(text, name + "_sum{" + labels + "} 0.0023"));
}

TEST_CASE("an account's quota decisions are told by account")
{
  auto metrics = MakeMetrics();
  metrics.quotas.accounts["account-1"] = { 12, 3 };
  metrics.quotas.accounts["unseen"] = {};
  metrics.quotas.positionsLent = 2;
  const auto text = FormatMetrics(metrics);
  CAPTURE(text);
  const std::string name = "teaselhold_quota_requests_total";
  CHECK(HasLine(text, name + R"({account="account-1",decision="granted"} 12)"));
  CHECK(HasLine(text, name + R"({account="account-1",decision="refused"} 3)"));
  CHECK(text.find("unseen") == std::string::npos);
  CHECK(HasLine(text, "teaselhold_quota_positions_lent 2"));
}

TEST_CASE("outcomes, reasons and refusals are not lost from the exposition")
{
  const auto text = FormatMetrics(MakeMetrics());
  CAPTURE(text);
  CHECK(HasLine(text,
                "teaselhold_calls_total{class=\"batch\",tenant=\"_other\","
                "outcome=\"not-run\"} 1"));
  CHECK(HasLine(text,
                R"(teaselhold_not_run_total{class="batch",reason="shed"} 1)"));
  CHECK(HasLine(
    text, R"(teaselhold_refused_total{class="batch",reason="draining"} 1)"));
  CHECK(HasLine(text, R"(teaselhold_nodes_by_role{role="relay"} 1)"));
  CHECK(text.find(R"(node="a\"b\\c",)") != std::string::npos);
}

TEST_CASE("a large byte count is not rounded or written with an exponent")
{
  CHECK(HasLine(FormatMetrics(MakeMetrics()),
                "teaselhold_control_sent_bytes_total 12345678901234"));
}

TEST_CASE("a line that Prometheus cannot read is found")
{
  const std::regex sample(R"re([a-z_]+(\{[a-z_]+="([^"\\]|\\.)*")re"
                          R"re((,[a-z_]+="([^"\\]|\\.)*")*\})? [0-9.e+-]+)re");
  std::istringstream text(FormatMetrics(MakeMetrics()));
  std::set<std::string> families;
  for (std::string line; std::getline(text, line);) {
    CAPTURE(line);
    if (line.starts_with("# TYPE ")) {
      CHECK(families.insert(line).second);
    } else if (!line.starts_with("# HELP ")) {
      CHECK(std::regex_match(line, sample));
    }
  }
  CHECK(families.size() > 10);
}
