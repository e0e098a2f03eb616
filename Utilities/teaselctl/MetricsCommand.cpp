#include "Utilities/teaselctl/Commands.h"
#include "Utilities/teaselctl/Table.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace teaselhold::tool {

namespace {

constexpr std::uint64_t kBarWidth = 40;

std::string
Milliseconds(std::uint64_t aMicroseconds)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(),
                text.size(),
                "%.1f ms",
                static_cast<double>(aMicroseconds) / 1000.0);
  return text.data();
}

std::string
FormatHistogram(const wire::MetricsResponse& aMetrics,
                const wire::CallRow& aRow)
{
  const auto& buckets = aRow.buckets();
  const auto isUsed = [](std::uint64_t aCount) { return aCount > 0; };
  const auto first = std::ranges::find_if(buckets, isUsed) - buckets.begin();
  const auto last =
    std::find_if(buckets.rbegin(), buckets.rend(), isUsed).base() -
    buckets.begin();
  const auto peak =
    buckets.empty() ? 0 : *std::max_element(buckets.begin(), buckets.end());
  std::vector<std::vector<std::string>> rows;
  for (auto i = first; i < last; ++i) {
    const auto count = buckets[static_cast<int>(i)];
    const bool isLast = i >= aMetrics.bucket_bounds_microseconds_size();
    const auto bound =
      aMetrics.bucket_bounds_microseconds(static_cast<int>(i) - isLast);
    // Rounded up, so that a single call among thousands is still seen.
    const auto length = (count * kBarWidth + peak - 1) / peak;
    rows.push_back({ "",
                     (isLast ? ">  " : "<= ") + Milliseconds(bound),
                     std::to_string(count),
                     std::string(length, '#') });
  }
  return FormatTable(rows);
}

/// Reads the samples of the exposition that have no row of their own.
std::vector<std::pair<std::string, std::string>>
OtherSamples(const wire::MetricsResponse& aMetrics)
{
  std::vector<std::pair<std::string, std::string>> samples;
  std::istringstream text(aMetrics.text());
  for (std::string line; std::getline(text, line);) {
    const auto space = line.rfind(' ');
    const bool hasRow = std::ranges::any_of(
      std::array{ "#",
                  "teaselhold_call",
                  "teaselhold_not_run",
                  "teaselhold_unknown",
                  "teaselhold_refused" },
      [&](const char* aPrefix) { return line.starts_with(aPrefix); });
    if (!hasRow && space != std::string::npos) {
      samples.emplace_back(line.substr(0, space), line.substr(space + 1));
    }
  }
  return samples;
}

std::string
FormatMetrics(const wire::MetricsResponse& aMetrics)
{
  std::ostringstream text;
  text << "node " << aMetrics.node() << "\n";
  for (const auto& row : aMetrics.calls()) {
    text << "\n"
         << row.request_class() << ", tenant " << row.tenant() << ": "
         << row.answered() << " answered, " << row.not_run() << " not run, "
         << row.unknown() << " unknown";
    if (row.answered() > 0) {
      text << "; mean " << Milliseconds(row.mean_microseconds()) << ", highest "
           << Milliseconds(row.max_microseconds());
    }
    text << "\n" << FormatHistogram(aMetrics, row);
  }
  if (aMetrics.calls().empty()) {
    text << "no call has entered through this node\n";
  }
  if (!aMetrics.reasons().empty()) {
    std::vector<std::vector<std::string>> rows{
      { "OUTCOME", "CLASS", "REASON", "COUNT" }
    };
    for (const auto& reason : aMetrics.reasons()) {
      rows.push_back({ reason.kind(),
                       reason.request_class(),
                       reason.reason(),
                       std::to_string(reason.count()) });
    }
    text << "\n" << FormatTable(rows);
  }
  text << "\n";
  for (const auto& [name, value] : OtherSamples(aMetrics)) {
    text << name << " " << value << "\n";
  }
  return text.str();
}

nlohmann::json
ToJson(const wire::MetricsResponse& aMetrics)
{
  auto calls = nlohmann::json::array();
  for (const auto& row : aMetrics.calls()) {
    calls.push_back(
      { { "class", row.request_class() },
        { "tenant", row.tenant() },
        { "answered", row.answered() },
        { "not_run", row.not_run() },
        { "unknown", row.unknown() },
        { "mean_microseconds", row.mean_microseconds() },
        { "max_microseconds", row.max_microseconds() },
        { "buckets",
          std::vector(row.buckets().begin(), row.buckets().end()) } });
  }
  auto reasons = nlohmann::json::array();
  for (const auto& row : aMetrics.reasons()) {
    reasons.push_back({ { "kind", row.kind() },
                        { "class", row.request_class() },
                        { "reason", row.reason() },
                        { "count", row.count() } });
  }
  auto samples = nlohmann::json::object();
  for (const auto& [name, value] : OtherSamples(aMetrics)) {
    samples[name] = std::stod(value);
  }
  const auto& bounds = aMetrics.bucket_bounds_microseconds();
  return { { "node", aMetrics.node() },
           { "bucket_bounds_microseconds",
             std::vector(bounds.begin(), bounds.end()) },
           { "calls", calls },
           { "reasons", reasons },
           { "samples", samples } };
}

} // namespace

ExitCode
RunMetrics(const CommandContext& aContext)
{
  const auto metrics = aContext.nodes.Call(&wire::Admin::Stub::Metrics,
                                           wire::MetricsRequest(),
                                           aContext.options.timeout);
  if (!metrics) {
    return aContext.report.Fail(Failed, metrics.error().message);
  }
  aContext.report.Result(ToJson(*metrics), FormatMetrics(*metrics));
  return Done;
}

} // namespace teaselhold::tool
