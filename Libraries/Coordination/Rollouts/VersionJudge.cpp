#include "Coordination/Rollouts/VersionJudge.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace teaselhold::coordination {

namespace {

/// Counts in reports fade; a report that is older than this is dropped.
constexpr state::Duration kReportLifetime = std::chrono::seconds(6);
/// Runs of a route at an upstream before its rates say anything.
constexpr double kMinRuns = 4;
/// Failures (faded by age) before an upstream counts as failing.
constexpr double kMinFailures = 1.7;
/// An upstream fails if its share of failures exceeds that of the old ones by
/// this.
constexpr double kFailureMargin = 0.15;
/// An upstream is slow if its mean service time exceeds that of the old ones by
/// this factor. Upstreams of one service differ in speed by less.
constexpr double kSlownessFactor = 2;
/// A mean time must also exceed that of the old ones by this many milliseconds:
/// a busy host adds some 60 ms to short requests, whatever the version.
constexpr double kMinExcess = 100;
/// Failures of all new upstreams together before a version is bad.
constexpr double kMinPooledFailures = 4;
/// Runs of each side before their mean times are compared.
constexpr double kMinPooledRuns = 10;
/// A version is slow if its mean time exceeds the old one's by this factor, and
/// by kDeviations of what chance does to two means whose runs vary as much as
/// their mean. Many nodes look often, so rare chances come up: a factor alone
/// took good versions back for some 20 runs on a rare route (82 ms against 36).
constexpr double kPooledSlownessFactor = 1.6;
constexpr double kDeviations = 3;
/// Upstreams that must be judged before a version is, if there are as many.
constexpr std::size_t kMinUpstreams = 2;
/// The chance that an upstream is in trouble of its own is taken as at least
/// this, also if no old one is.
constexpr double kMinTroubleRate = 0.05;
constexpr double kMaxTroubleRate = 0.95;
/// The version is bad if trouble of single upstreams would hit so many new ones
/// with less than this probability.
constexpr double kSignificance = 0.003;
/// Runs of all new upstreams together before the version may be called good.
constexpr double kMinGoodRuns = 10;
/// The label under which all routes together are compared.
constexpr const char* kAllRoutes = "all";

double
Median(std::vector<double> aValues)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::ranges::nth_element(aValues, middle);
  return *middle;
}

/// @return the probability that at least aHits of aCount happen if each does
/// with probability aRate.
double
BinomialTail(std::size_t aHits, std::size_t aCount, double aRate)
{
  double sum = 0;
  double term = std::pow(1 - aRate, static_cast<double>(aCount));
  for (std::size_t i = 0; i <= aCount; ++i) {
    if (i >= aHits) {
      sum += term;
    }
    term *= static_cast<double>(aCount - i) / static_cast<double>(i + 1) *
            aRate / (1 - aRate);
  }
  return sum;
}

double
FailureRate(const RouteEvidence& aEvidence)
{
  return aEvidence.failures / aEvidence.runs;
}

double
MeanTime(const RouteEvidence& aEvidence)
{
  return aEvidence.milliseconds / aEvidence.timedRuns;
}

/// The thresholds of one route, from the old upstreams.
struct Standard
{
  double failureRate = 0;
  /// 0 if service times cannot be compared.
  double time = 0;
  RouteEvidence pooled;

  bool IsMissedBy(const RouteEvidence& aEvidence) const
  {
    const bool fails = aEvidence.failures >= kMinFailures &&
                       FailureRate(aEvidence) > failureRate + kFailureMargin;
    const bool isSlow = time > 0 && aEvidence.timedRuns >= kMinRuns &&
                        MeanTime(aEvidence) > kSlownessFactor * time &&
                        MeanTime(aEvidence) > time + kMinExcess;
    return fails || isSlow;
  }
};

RouteEvidence
Pool(const std::vector<RouteEvidence>& aUpstreams)
{
  RouteEvidence sum;
  for (const auto& evidence : aUpstreams) {
    sum.runs += evidence.runs;
    sum.failures += evidence.failures;
    sum.timedRuns += evidence.timedRuns;
    sum.milliseconds += evidence.milliseconds;
  }
  return sum;
}

Standard
MakeStandard(const std::vector<RouteEvidence>& aOld)
{
  std::vector<double> rates;
  rates.reserve(aOld.size());
  for (const auto& evidence : aOld) {
    rates.push_back(FailureRate(evidence));
  }
  const auto pooled = Pool(aOld);
  return { std::max(Median(std::move(rates)), FailureRate(pooled)),
           pooled.timedRuns >= kMinPooledRuns ? MeanTime(pooled) : 0,
           pooled };
}

bool
IsSlower(const RouteEvidence& aNew, const RouteEvidence& aOld)
{
  if (aNew.timedRuns < kMinPooledRuns || aOld.timedRuns < kMinPooledRuns) {
    return false;
  }
  const double chance = std::sqrt(1 / aNew.timedRuns + 1 / aOld.timedRuns);
  const double factor = kPooledSlownessFactor * std::exp(kDeviations * chance);
  return MeanTime(aNew) > factor * MeanTime(aOld) &&
         MeanTime(aNew) > MeanTime(aOld) + kMinExcess;
}

/// Returns true if the new upstreams together are bad, too, so that no few runs
/// decide.
bool
IsConfirmed(const Standard& aStandard, const RouteEvidence& aPooled)
{
  const bool fails =
    aPooled.failures >= kMinPooledFailures &&
    FailureRate(aPooled) > aStandard.failureRate + kFailureMargin;
  return fails || IsSlower(aPooled, aStandard.pooled);
}

std::string
FormatCounts(const Standard& aStandard,
             const std::vector<RouteEvidence>& aNew,
             std::size_t aMissed)
{
  const auto sum = Pool(aNew);
  const auto time = sum.timedRuns > 0 ? MeanTime(sum) : 0;
  const auto percent = [](double aShare) {
    constexpr double kPercent = 100;
    return std::to_string(std::llround(aShare * kPercent));
  };
  return " bad_upstreams=" + std::to_string(aMissed) +
         " upstreams=" + std::to_string(aNew.size()) +
         " runs=" + std::to_string(std::llround(sum.runs)) +
         " failed_percent=" + percent(sum.runs > 0 ? FailureRate(sum) : 0) +
         " old_failed_percent=" + percent(aStandard.failureRate) +
         " milliseconds=" + std::to_string(std::llround(time)) +
         " old_milliseconds=" + std::to_string(std::llround(aStandard.time));
}

} // namespace

/// What is known of one route.
struct VersionJudge::Group
{
  std::vector<RouteEvidence> oldUpstreams;
  std::vector<RouteEvidence> newUpstreams;
};

void
VersionJudge::SetFleet(std::size_t aOldUpstreams, std::size_t aNewUpstreams)
{
  oldUpstreams_ = aOldUpstreams;
  newUpstreams_ = aNewUpstreams;
}

void
VersionJudge::OnReport(const std::string& aNode,
                       bool aIsNew,
                       Evidence aEvidence,
                       state::Instant aNow)
{
  reports_[aNode] = { aIsNew, std::move(aEvidence), aNow };
}

std::map<std::string, VersionJudge::Group>
VersionJudge::Collect(state::Instant aNow)
{
  std::erase_if(reports_, [&](const auto& aEntry) {
    return aNow - aEntry.second.time > kReportLifetime;
  });
  std::map<std::string, Group> groups;
  const auto add =
    [&](const std::string& aLabel, bool aIsNew, const RouteEvidence& aRoute) {
      if (aRoute.runs < kMinRuns) {
        return;
      }
      auto& group = groups[aLabel];
      (aIsNew ? group.newUpstreams : group.oldUpstreams).push_back(aRoute);
    };
  for (const auto& [node, report] : reports_) {
    RouteEvidence all;
    for (const auto& [label, route] : report.evidence) {
      add(label, report.isNew, route);
      all.runs += route.runs;
      all.failures += route.failures;
    }
    // Times of different routes differ, so only failures are compared.
    add(kAllRoutes, report.isNew, all);
  }
  return groups;
}

VersionOpinion
VersionJudge::AssessRoute(const std::string& aLabel, const Group& aGroup) const
{
  const auto& fresh = aGroup.newUpstreams;
  const auto& old = aGroup.oldUpstreams;
  const bool isEnough =
    !fresh.empty() && fresh.size() >= std::min(kMinUpstreams, newUpstreams_) &&
    !old.empty() && old.size() >= std::min(kMinUpstreams, oldUpstreams_);
  if (!isEnough) {
    return {};
  }
  const auto standard = MakeStandard(old);
  const auto count = [&](const std::vector<RouteEvidence>& aUpstreams) {
    return static_cast<std::size_t>(
      std::ranges::count_if(aUpstreams, [&](const auto& aEvidence) {
        return standard.IsMissedBy(aEvidence);
      }));
  };
  const auto missed = count(fresh);
  const auto reason = "route=" + aLabel + FormatCounts(standard, fresh, missed);
  if (2 * missed < fresh.size() || missed == 0) {
    return { VersionFinding::Good, reason };
  }
  const auto rate = std::clamp(static_cast<double>(count(old)) /
                                 static_cast<double>(old.size()),
                               kMinTroubleRate,
                               kMaxTroubleRate);
  // With a single new upstream, its version and its host cannot be told apart.
  const bool isOnlyOne = newUpstreams_ == 1 && rate <= kMinTroubleRate;
  const bool isBad =
    2 * missed > fresh.size() && IsConfirmed(standard, Pool(fresh)) &&
    (isOnlyOne || BinomialTail(missed, fresh.size(), rate) < kSignificance);
  return { isBad ? VersionFinding::Bad : VersionFinding::Suspicious, reason };
}

VersionOpinion
VersionJudge::Assess(state::Instant aNow)
{
  VersionOpinion opinion;
  double runs = 0;
  for (const auto& [label, group] : Collect(aNow)) {
    if (label == kAllRoutes) {
      for (const auto& evidence : group.newUpstreams) {
        runs += evidence.runs;
      }
    }
    auto route = AssessRoute(label, group);
    if (route.finding > opinion.finding) {
      opinion = std::move(route);
    }
  }
  if (opinion.finding == VersionFinding::Good && runs < kMinGoodRuns) {
    opinion.finding = VersionFinding::Unclear;
  }
  return opinion;
}

} // namespace teaselhold::coordination
