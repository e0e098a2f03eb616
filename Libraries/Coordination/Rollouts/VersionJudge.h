#pragma once

#include "Coordination/Rollouts/VersionEvidence.h"

namespace teaselhold::coordination {

enum class VersionFinding : std::uint8_t
{
  /// Too little is known.
  Unclear,
  Good,
  /// Some upstreams of the version fail or are slow, but so few that trouble
  /// of single hosts explains it.
  Suspicious,
  Bad,
};

struct VersionOpinion
{
  VersionFinding finding = VersionFinding::Unclear;
  /// For the log: which route, what was compared.
  std::string reason;
};

/// Compares the upstreams of a new version with those of the old one at the
/// same time and on the same route. A version is bad if clearly more of its
/// upstreams fail or are slow than trouble of single upstreams explains: grey
/// or slow hosts, full services and bursts also hit upstreams of the old
/// version, and single ones of the new. Answers the load of the share that a
/// roll-out gives, some requests a second at each upstream.
class VersionJudge
{
public:
  /// How many ready upstreams there are.
  void SetFleet(std::size_t aOldUpstreams, std::size_t aNewUpstreams);

  /// Takes the report of one upstream; it replaces the one before.
  void OnReport(const std::string& aNode,
                bool aIsNew,
                Evidence aEvidence,
                state::Instant aNow);

  VersionOpinion Assess(state::Instant aNow);

private:
  struct Report
  {
    bool isNew = false;
    Evidence evidence;
    state::Instant time{ 0 };
  };
  struct Group;

  std::map<std::string, Group> Collect(state::Instant aNow);
  VersionOpinion AssessRoute(const std::string& aLabel,
                             const Group& aGroup) const;

  std::map<std::string, Report> reports_;
  std::size_t oldUpstreams_ = 0;
  std::size_t newUpstreams_ = 0;
};

} // namespace teaselhold::coordination
