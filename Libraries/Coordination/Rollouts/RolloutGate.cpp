#include "Coordination/Rollouts/RolloutGate.h"

#include <algorithm>
#include <cmath>

namespace teaselhold::coordination {

namespace {

/// A node gives less than the whole share, because some of its requests are
/// sent again or lost on the way and do not count for the service.
constexpr double kUsedShare = 0.7;
/// Credit that a node may save up for later requests.
constexpr double kMaxCredit = 2;
/// The share goes to a few upstreams at a time, so that each of them meets the
/// load of an upstream in full use; this is how long.
constexpr state::Duration kGroupTime = std::chrono::seconds(3);
/// Two upstreams tell trouble of a host from trouble of the version.
constexpr std::size_t kMinGroupSize = 2;
/// An order whose target every upstream already has is in force; it takes this
/// long until a node that starts knows all upstreams.
constexpr state::Duration kDiscoveryTime = std::chrono::seconds(2);
/// Upstreams of the old version have ended by this time after the end of a
/// roll-out. Later ones of other versions are none of its concern.
constexpr state::Duration kMovedTime = std::chrono::seconds(20);
/// All nodes know the final state by this time.
constexpr state::Duration kTellTime = std::chrono::seconds(30);
/// No report may speak against a version for this long before it is proven.
constexpr state::Duration kGoodTime = std::chrono::milliseconds(1500);

/// A node that finds a version suspicious for this long gives it nothing until
/// the reports change or have faded.
constexpr state::Duration kSuspicionTime = std::chrono::seconds(3);

} // namespace

void
RolloutGate::SetEndpoints(
  std::shared_ptr<const state::EndpointTable> aEndpoints,
  state::Instant aNow)
{
  if (aEndpoints == nullptr || aEndpoints == endpoints_) {
    return;
  }
  endpoints_ = std::move(aEndpoints);
  for (const auto& rollout : book_.All()) {
    Follow(rollout, aNow);
  }
}

void
RolloutGate::Learn(const std::vector<Rollout>& aRollouts, state::Instant aNow)
{
  for (const auto& rollout : aRollouts) {
    if (book_.Merge(rollout)) {
      isChanged_ = true;
      Follow(*book_.Find(rollout.service), aNow);
    }
  }
}

void
RolloutGate::Follow(const Rollout& aRollout, state::Instant aNow)
{
  auto& service = services_[aRollout.service];
  if (service.order != aRollout.order) {
    service = Service();
    service.order = aRollout.order;
    service.knownSince = aNow;
    proven_.erase(aRollout.service);
  }
  if (!aRollout.IsFinal()) {
    service.finalSince.reset();
  } else if (!service.finalSince) {
    service.finalSince = aNow;
  }
  Recount(aRollout, service);
}

void
RolloutGate::Recount(const Rollout& aRollout, Service& aService) const
{
  if (endpoints_ == nullptr) {
    return;
  }
  std::vector<std::pair<std::string, std::string>> targets;
  aService.oldUpstreams = 0;
  for (const auto* record : endpoints_->OfService(aRollout.service)) {
    if (record->state != state::EndpointState::Ready) {
      continue;
    }
    if (record->upstream.version != aRollout.target) {
      ++aService.oldUpstreams;
      continue;
    }
    // All nodes use the upstreams in the same order, which spreads neighbours
    // over the groups.
    targets.emplace_back(
      RouteLabel(record->node + '/' + std::to_string(aRollout.order)),
      record->node);
  }
  std::ranges::sort(targets);
  aService.targets.clear();
  for (auto& [rank, node] : targets) {
    aService.targets.push_back(std::move(node));
  }
  aService.hadOldUpstreams =
    aService.hadOldUpstreams || aService.oldUpstreams > 0;
  // So many that each meets the load of an old one.
  const auto wanted = static_cast<std::size_t>(
    std::ceil(options_.exposureShare * kUsedShare *
              static_cast<double>(aService.oldUpstreams)));
  aService.groupSize = std::max(kMinGroupSize, wanted);
  aService.judge.SetFleet(aService.oldUpstreams, aService.targets.size());
}

RolloutGate::Stage
RolloutGate::StageOf(const Rollout& aRollout,
                     const Service& aService,
                     state::Instant aNow) const
{
  using protocol::RolloutState;
  const auto state = aRollout.stored;
  if (state == RolloutState::Completed) {
    const auto since = aService.finalSince.value_or(aNow);
    return aNow - since < kMovedTime ? Stage::Moved : Stage::Free;
  }
  if (state == RolloutState::RolledBack || aRollout.isBad) {
    return Stage::Closed;
  }
  if (!aService.hadOldUpstreams && !aService.targets.empty() &&
      aNow - aService.knownSince > kDiscoveryTime) {
    return Stage::Free;
  }
  if (state == RolloutState::Promoting) {
    return Stage::Promoting;
  }
  const bool isInTime = aNow < aRollout.begin + aRollout.duration;
  const bool isHeld = aService.suspiciousSince &&
                      aNow - *aService.suspiciousSince >= kSuspicionTime;
  return state == RolloutState::Running && isInTime && !isHeld ? Stage::Shared
                                                               : Stage::Closed;
}

RolloutGate::Stage
RolloutGate::StageOf(std::string_view aService, state::Instant aNow) const
{
  const auto* rollout = book_.Find(aService);
  const auto service = services_.find(aService);
  if (rollout == nullptr || service == services_.end()) {
    return Stage::Free;
  }
  return StageOf(*rollout, service->second, aNow);
}

bool
RolloutGate::IsInGroup(const Rollout& aRollout,
                       const Service& aService,
                       const std::string& aNode,
                       state::Instant aNow)
{
  const auto& targets = aService.targets;
  const auto found = std::ranges::find(targets, aNode);
  if (found == targets.end()) {
    return false;
  }
  const auto age = std::max(aNow - aRollout.begin, state::Duration{ 0 });
  const auto turn = static_cast<std::size_t>(age / kGroupTime);
  const auto first = turn * aService.groupSize % targets.size();
  const auto index = static_cast<std::size_t>(found - targets.begin());
  return (index + targets.size() - first) % targets.size() < aService.groupSize;
}

std::vector<VersionChoice>
RolloutGate::Choose(const std::string& aService,
                    bool aIsFirst,
                    state::Instant aNow)
{
  switch (StageOf(aService, aNow)) {
    case Stage::Free:
      return { VersionChoice::Any };
    case Stage::Closed:
      return { VersionChoice::Established };
    case Stage::Promoting:
      return { VersionChoice::Target, VersionChoice::Established };
    case Stage::Moved:
      return { VersionChoice::Target };
    case Stage::Shared:
      break;
  }
  auto& credit = services_.find(aService)->second.credit;
  if (!aIsFirst || credit < 1) {
    return { VersionChoice::Established };
  }
  credit -= 1;
  return { VersionChoice::Target, VersionChoice::Established };
}

bool
RolloutGate::Allows(VersionChoice aChoice,
                    const state::EndpointRecord& aUpstream,
                    state::Instant aNow) const
{
  const auto* rollout = book_.Find(aUpstream.service);
  if (aChoice == VersionChoice::Any || rollout == nullptr) {
    return true;
  }
  const bool isTarget = aUpstream.upstream.version == rollout->target;
  if (aChoice == VersionChoice::Established) {
    return !isTarget;
  }
  if (!isTarget || rollout->stored != protocol::RolloutState::Running) {
    return isTarget;
  }
  const auto service = services_.find(aUpstream.service);
  return service != services_.end() &&
         IsInGroup(*rollout, service->second, aUpstream.node, aNow);
}

void
RolloutGate::Return(const std::string& aService)
{
  const auto service = services_.find(aService);
  if (service != services_.end()) {
    service->second.credit = std::min(service->second.credit + 1, kMaxCredit);
  }
}

void
RolloutGate::OnArrival(const std::string& aService)
{
  const auto service = services_.find(aService);
  if (service != services_.end()) {
    auto& credit = service->second.credit;
    credit = std::min(credit + options_.exposureShare * kUsedShare, kMaxCredit);
  }
}

std::uint64_t
RolloutGate::Permit(const std::string& aService) const
{
  const auto* rollout = book_.Find(aService);
  return rollout == nullptr ? 0 : rollout->order;
}

void
RolloutGate::OnReport(const state::EndpointRecord& aUpstream,
                      std::string_view aReport,
                      state::Instant aNow)
{
  const auto* rollout = book_.Find(aUpstream.service);
  const auto service = services_.find(aUpstream.service);
  if (rollout == nullptr || service == services_.end() || rollout->IsFinal()) {
    return;
  }
  service->second.judge.OnReport(aUpstream.node,
                                 aUpstream.upstream.version == rollout->target,
                                 ParseEvidence(aReport),
                                 aNow);
}

void
RolloutGate::Tick(state::Instant aNow)
{
  for (const auto& rollout : book_.All()) {
    const auto service = services_.find(rollout.service);
    if (service != services_.end() && rollout.stored && !rollout.IsFinal() &&
        !rollout.isBad) {
      Judge(rollout, service->second, aNow);
    }
  }
}

void
RolloutGate::Note(const Rollout& aRollout,
                  std::string_view aFinding,
                  const VersionOpinion& aOpinion)
{
  notes_.push_back("Version judged. service=" + aRollout.service +
                   " version=" + aRollout.target +
                   " order=" + std::to_string(aRollout.order) +
                   " finding=" + std::string(aFinding) + " " + aOpinion.reason);
}

void
RolloutGate::Judge(const Rollout& aRollout,
                   Service& aService,
                   state::Instant aNow)
{
  const auto opinion = aService.judge.Assess(aNow);
  if (opinion.finding == VersionFinding::Bad) {
    book_.MarkBad(aRollout.service, aRollout.order);
    isChanged_ = true;
  }
  // Good and unclear take turns as reports come and fade.
  const bool isNews = opinion.finding >= VersionFinding::Suspicious &&
                      opinion.finding > aService.finding;
  aService.finding = opinion.finding;
  if (isNews) {
    Note(aRollout,
         opinion.finding == VersionFinding::Bad ? "bad" : "suspicious",
         opinion);
  }
  if (opinion.finding == VersionFinding::Suspicious) {
    aService.suspiciousSince = aService.suspiciousSince.value_or(aNow);
  } else {
    aService.suspiciousSince.reset();
  }
  if (opinion.finding == VersionFinding::Good) {
    aService.goodSince = aService.goodSince.value_or(aNow);
  } else if (opinion.finding != VersionFinding::Unclear) {
    aService.goodSince.reset();
  }
  const bool isProven =
    aService.goodSince && aNow - *aService.goodSince >= kGoodTime;
  if (isProven != proven_.contains(aRollout.service)) {
    isChanged_ = true;
    if (isProven) {
      Note(aRollout, "good", opinion);
      proven_.insert(aRollout.service);
    } else {
      proven_.erase(aRollout.service);
    }
  }
}

bool
RolloutGate::IsRefused(const std::string& aService,
                       const std::string& aVersion,
                       std::uint64_t aPermit,
                       state::Instant aNow) const
{
  const auto* rollout = book_.Find(aService);
  if (rollout == nullptr) {
    return false;
  }
  const bool isTarget = aVersion == rollout->target;
  switch (StageOf(aService, aNow)) {
    case Stage::Closed:
      return isTarget;
    case Stage::Shared:
      return isTarget && aPermit != rollout->order;
    case Stage::Moved:
      return !isTarget;
    case Stage::Free:
    case Stage::Promoting:
      break;
  }
  return false;
}

bool
RolloutGate::IsObserved(const std::string& aService, state::Instant aNow) const
{
  const auto stage = StageOf(aService, aNow);
  return stage == Stage::Shared || stage == Stage::Promoting;
}

std::vector<Rollout>
RolloutGate::Live(state::Instant aNow) const
{
  auto live = book_.All();
  std::erase_if(live, [&](const Rollout& aRollout) {
    const auto service = services_.find(aRollout.service);
    return service != services_.end() && service->second.finalSince &&
           aNow - *service->second.finalSince > kTellTime;
  });
  return live;
}

} // namespace teaselhold::coordination
