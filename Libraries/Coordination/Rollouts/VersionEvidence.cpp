#include "Coordination/Rollouts/VersionEvidence.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <vector>

namespace teaselhold::coordination {

namespace {

/// Bounds the header that each answer carries during a roll-out.
constexpr std::size_t kMaxReportedRoutes = 6;
constexpr std::size_t kMaxRoutes = 64;
/// Less than this many runs, faded by age, say nothing.
constexpr double kMinRuns = 0.05;
/// Counts are reported in tenths.
constexpr double kTenths = 10;

std::string
FormatTenths(double aValue)
{
  return std::to_string(std::llround(aValue * kTenths));
}

} // namespace

std::string
RouteLabel(std::string_view aRoute)
{
  // FNV-1a.
  constexpr std::uint32_t kOffset = 0x811c9dc5U;
  constexpr std::uint32_t kPrime = 0x01000193U;
  constexpr std::size_t kDigits = 8;
  constexpr int kHexadecimal = 16;
  std::uint32_t hash = kOffset;
  for (const auto byte : aRoute) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
  }
  std::array<char, kDigits> digits{};
  const auto end =
    std::to_chars(digits.data(), digits.data() + kDigits, hash, kHexadecimal);
  const std::string text(digits.data(), end.ptr);
  return std::string(kDigits - text.size(), '0') + text;
}

void
VersionEvidence::Age(state::Instant aNow)
{
  const std::chrono::duration<double> elapsed = aNow - agedAt_;
  const std::chrono::duration<double> lifetime = kEvidenceLifetime;
  const double rest = std::exp(-elapsed.count() / lifetime.count());
  agedAt_ = aNow;
  for (auto& [label, route] : byRoute_) {
    route.runs *= rest;
    route.failures *= rest;
    route.timedRuns *= rest;
    route.milliseconds *= rest;
  }
  std::erase_if(
    byRoute_, [](const auto& aEntry) { return aEntry.second.runs < kMinRuns; });
}

void
VersionEvidence::Record(std::string_view aLabel,
                        bool aIsFailure,
                        std::optional<state::Duration> aTime,
                        state::Instant aNow)
{
  Age(aNow);
  auto found = byRoute_.find(aLabel);
  if (found == byRoute_.end()) {
    if (byRoute_.size() >= kMaxRoutes) {
      return;
    }
    found = byRoute_.try_emplace(std::string(aLabel)).first;
  }
  auto& route = found->second;
  route.runs += 1;
  route.failures += aIsFailure ? 1 : 0;
  if (aTime) {
    const std::chrono::duration<double, std::milli> time = *aTime;
    route.timedRuns += 1;
    route.milliseconds += time.count();
  }
}

std::string
VersionEvidence::Report(state::Instant aNow)
{
  Age(aNow);
  std::vector<const Evidence::value_type*> routes;
  for (const auto& entry : byRoute_) {
    routes.push_back(&entry);
  }
  std::ranges::sort(routes, [](const auto* aLeft, const auto* aRight) {
    return aLeft->second.runs > aRight->second.runs;
  });
  routes.resize(std::min(routes.size(), kMaxReportedRoutes));
  std::string text;
  for (const auto* entry : routes) {
    const auto& route = entry->second;
    text += (text.empty() ? "" : ",") + entry->first + ';' +
            FormatTenths(route.runs) + ';' + FormatTenths(route.failures) +
            ';' + FormatTenths(route.timedRuns) + ';' +
            std::to_string(std::llround(route.milliseconds));
  }
  return text;
}

Evidence
ParseEvidence(std::string_view aText)
{
  constexpr std::size_t kNumbers = 4;
  Evidence evidence;
  while (!aText.empty() && evidence.size() < kMaxReportedRoutes) {
    const auto end = std::min(aText.find(','), aText.size());
    auto part = aText.substr(0, end);
    aText.remove_prefix(std::min(end + 1, aText.size()));
    const auto labelEnd = std::min(part.find(';'), part.size());
    const std::string label(part.substr(0, labelEnd));
    std::array<double, kNumbers> numbers{};
    std::size_t read = 0;
    const auto* next = part.data() + labelEnd;
    const auto* last = part.data() + part.size();
    while (read < kNumbers && next != last && *next == ';') {
      std::uint32_t value = 0;
      const auto parsed = std::from_chars(next + 1, last, value);
      if (parsed.ec != std::errc()) {
        break;
      }
      numbers[read++] = value;
      next = parsed.ptr;
    }
    if (read != kNumbers || next != last || label.empty()) {
      continue;
    }
    evidence[label] = { numbers[0] / kTenths,
                        numbers[1] / kTenths,
                        numbers[2] / kTenths,
                        numbers[3] };
  }
  return evidence;
}

} // namespace teaselhold::coordination
