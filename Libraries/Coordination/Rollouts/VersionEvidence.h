#pragma once

#include "State/Instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// What one upstream did recently with the requests of one route. Older runs
/// count less, with kEvidenceLifetime as the time constant.
struct RouteEvidence
{
  double runs = 0;
  double failures = 0;
  /// Runs whose service time is meaningful.
  double timedRuns = 0;
  /// The sum of their service times in milliseconds.
  double milliseconds = 0;
};

inline constexpr state::Duration kEvidenceLifetime = std::chrono::seconds(3);

/// By the label of the route.
using Evidence = std::map<std::string, RouteEvidence, std::less<>>;

/// @return the label under which evidence of a route is reported, 8 hexadecimal
/// digits.
std::string
RouteLabel(std::string_view aRoute);

/// Counts the runs of the upstream beside this node. Every caller of the
/// upstream gets the counts with its answers, so a few answers tell what
/// requests of all callers met there.
class VersionEvidence
{
public:
  /// @param aTime the service time; nothing if the upstream was still warming
  /// up, as its times say nothing about its version then.
  void Record(std::string_view aLabel,
              bool aIsFailure,
              std::optional<state::Duration> aTime,
              state::Instant aNow);

  /// Formats the routes with the most runs for the header of an answer.
  std::string Report(state::Instant aNow);

  void Clear() { byRoute_.clear(); }

private:
  void Age(state::Instant aNow);

  Evidence byRoute_;
  state::Instant agedAt_{ 0 };
};

/// @return the well-formed part of a report.
Evidence
ParseEvidence(std::string_view aText);

} // namespace teaselhold::coordination
