#include "Coordination/LoadReport.h"

#include <array>
#include <charconv>

namespace teaselhold::coordination {

namespace {

constexpr double kPerMille = 1000;
constexpr std::size_t kFieldCount = 8;
/// Fields of the reports of older versions.
constexpr std::size_t kRequiredFieldCount = 7;

} // namespace

std::string
FormatLoadReport(const LoadReport& aReport)
{
  const auto failures = static_cast<unsigned>(aReport.failureRate * kPerMille);
  return std::to_string(aReport.outstandingRequests) + ";" +
         std::to_string(aReport.slots) + ";" +
         std::to_string(aReport.serviceTime.count()) + ";" +
         std::to_string(failures) + ";" +
         std::to_string(aReport.ownServiceTime.count()) + ";" +
         std::to_string(aReport.residence.count()) + ";" +
         std::to_string(aReport.bodyWait.count()) + ";" +
         std::to_string(aReport.answerWait.count());
}

std::optional<LoadReport>
ParseLoadReport(std::string_view aText)
{
  std::array<std::uint32_t, kFieldCount> values{};
  const auto* next = aText.data();
  const auto* end = next + aText.size();
  for (std::size_t i = 0; i < kFieldCount; ++i) {
    const auto parsed = std::from_chars(next, end, values[i]);
    const bool isEnd = parsed.ptr == end;
    const bool mayEnd = i + 1 >= kRequiredFieldCount;
    const bool mayContinue = i + 1 < kFieldCount;
    const bool isComplete = isEnd ? mayEnd : mayContinue && *parsed.ptr == ';';
    if (parsed.ec != std::errc() || !isComplete) {
      return std::nullopt;
    }
    if (isEnd) {
      break;
    }
    next = parsed.ptr + 1;
  }
  LoadReport report;
  report.outstandingRequests = values[0];
  report.slots = values[1];
  report.serviceTime = state::Duration(values[2]);
  report.failureRate = values[3] / kPerMille;
  report.ownServiceTime = state::Duration(values[4]);
  report.residence = state::Duration(values[5]);
  report.bodyWait = state::Duration(values[6]);
  report.answerWait = state::Duration(values[7]);
  return report;
}

} // namespace teaselhold::coordination
