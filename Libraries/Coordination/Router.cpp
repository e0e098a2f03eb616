#include "Coordination/Router.h"

#include <algorithm>
#include <array>

namespace teaselhold::coordination {

namespace {

/// Groups by distance: this host, this data centre, this region, elsewhere.
constexpr std::size_t kGroupCount = 4;
constexpr unsigned kSameRegionGroup = 2;
/// Number of random draws before the group is scanned in order, starting at the
/// last draw.
constexpr unsigned kRandomDraws = 4;
/// Above this transfer time, an upstream in another data centre may respond
/// sooner than a near one behind a congested link.
constexpr state::Duration kCongestedTransferTime =
  std::chrono::milliseconds(40);
/// Bytes between data centres are dear, so a large answer comes from another
/// one only if it saves more than this time.
constexpr state::Duration kFarAnswerCost = std::chrono::milliseconds(400);
/// If every upstream looks full, an upstream of a farther group is taken only
/// if its expected time is below this share of the nearer one's. A smaller gain
/// is not worth the bytes between data centres: the requests that are pushed
/// out there take slots from the callers of that data centre.
constexpr double kMaxFarTimeShare = 0.7;
/// Service time of an upstream whose UpstreamHealth::RelativeCost() is 1.
constexpr state::Duration kDefaultServiceTime = std::chrono::milliseconds(100);

/// Mixes all bits; the finalizer of SplitMix64.
std::uint64_t
MixBits(std::uint64_t aValue)
{
  aValue = (aValue ^ (aValue >> 30U)) * 0xbf58476d1ce4e5b9U;
  aValue = (aValue ^ (aValue >> 27U)) * 0x94d049bb133111ebU;
  return aValue ^ (aValue >> 31U);
}

/// Hashes a node name with FNV-1a, which gives the same result on all nodes.
std::uint64_t
HashNodeName(std::string_view aNode)
{
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325U;
  constexpr std::uint64_t kPrime = 0x100000001b3U;
  std::uint64_t hash = kOffset;
  for (const auto letter : aNode) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * kPrime;
  }
  return hash;
}

bool
Contains(const std::vector<EndpointPointer>& aTried,
         const state::EndpointRecord& aRecord)
{
  return std::ranges::any_of(aTried, [&](const EndpointPointer& aEndpoint) {
    return aEndpoint->node == aRecord.node;
  });
}

} // namespace

struct Router::Candidate
{
  const state::EndpointRecord* record;
  UpstreamHealth* health;
  unsigned distance;
  std::uint64_t nodeHash;

  bool IsAllowed(bool aPanic, state::Instant aNow) const
  {
    return aPanic || !health->IsEjected(aNow);
  }

  bool HasFreeSlot(state::Instant aNow) const
  {
    return health->OutstandingRequests(aNow) <
             health->UsableSlots(record->slots, aNow) &&
           !health->IsOverloaded(aNow) && !health->IsFailing(aNow);
  }

  /// False for a large answer from another data centre whose link is busy.
  bool HasRoomForAnswer(TransferSizes aSizes, state::Instant aNow) const
  {
    return aSizes.answer == BodySize::Small || distance < kSameRegionGroup ||
           health->AnswerWait(aNow) <= kMaxFarAnswerWait;
  }

  double LoadWithOneMore(state::Instant aNow) const
  {
    return (health->OutstandingRequests(aNow) + 1) /
           health->UsableSlots(record->slots, aNow) *
           health->RelativeCost(aNow);
  }

  /// Round-trip time, and the waits until large bodies may be sent. Bodies
  /// between this host and its own upstream do not use the link.
  state::Duration TransferTime(TransferSizes aSizes, state::Instant aNow) const
  {
    auto time = health->RoundTripTime(aNow);
    if (aSizes.request == BodySize::Large && distance > 0) {
      time += health->BodyWait(aNow);
    }
    if (aSizes.answer == BodySize::Large && distance > 0) {
      time += health->AnswerWait(aNow);
    }
    return time;
  }

  /// Expected response time in seconds, for a large answer from another data
  /// centre with the cost of its bytes.
  double ExpectedTime(TransferSizes aSizes, state::Instant aNow) const
  {
    const bool isFarAnswer =
      aSizes.answer == BodySize::Large && distance >= kSameRegionGroup;
    const std::chrono::duration<double> transfer =
      TransferTime(aSizes, aNow) +
      (isFarAnswer ? kFarAnswerCost : state::Duration{ 0 });
    const std::chrono::duration<double> service = kDefaultServiceTime;
    return transfer.count() + LoadWithOneMore(aNow) * service.count();
  }
};

/// The parameters of one pick.
struct Router::PickCriteria
{
  const std::vector<EndpointPointer>& tried;
  TransferSizes sizes;
  bool ignoresLoad;
  state::Instant now;
  const UpstreamFilter& filter;
};

/// The ready upstreams of one service, nearest first.
struct Router::ServiceList
{
  std::uint64_t tableVersion = 0;
  std::vector<Candidate> candidates;
  /// Group g is [groupBegin[g], groupBegin[g + 1]).
  std::array<std::size_t, kGroupCount + 1> groupBegin{};
  /// Fewer than half of the upstreams look healthy, so that local ejections
  /// are ignored.
  bool panic = false;
  std::uint64_t healthVersion = 0;
  state::Instant panicValidUntil{ 0 };
};

Router::Router(RouterOptions aOptions)
  : options_(std::move(aOptions))
  , random_(static_cast<std::minstd_rand::result_type>(options_.randomSeed))
{
}

Router::~Router() = default;

void
Router::SetEndpoints(EndpointTablePointer aEndpoints, state::Instant /*aNow*/)
{
  if (aEndpoints == endpoints_ || aEndpoints == nullptr) {
    return;
  }
  endpoints_ = std::move(aEndpoints);
  ++tableVersion_;
  std::erase_if(healthByNode_, [this](const auto& aEntry) {
    return endpoints_->Find(aEntry.first) == nullptr;
  });
  std::erase_if(serviceLists_, [this](const auto& aList) {
    return endpoints_->Digest(aList.first) == 0;
  });
}

unsigned
Router::Distance(const state::EndpointRecord& aRecord) const
{
  if (aRecord.node == options_.node) {
    return 0;
  }
  if (aRecord.dataCentre == options_.dataCentre) {
    return 1;
  }
  return aRecord.region == options_.region ? kSameRegionGroup
                                           : kSameRegionGroup + 1;
}

Router::ServiceList*
Router::FindServiceList(std::string_view aService, state::Instant aNow)
{
  if (endpoints_ == nullptr) {
    return nullptr;
  }
  auto found = serviceLists_.find(aService);
  if (found == serviceLists_.end()) {
    if (endpoints_->Digest(aService) == 0) {
      return nullptr;
    }
    found = serviceLists_.try_emplace(std::string(aService)).first;
  }
  auto& list = found->second;
  if (list.tableVersion != tableVersion_) {
    Rebuild(list, aService, aNow);
  }
  UpdatePanic(list, aNow);
  return &list;
}

void
Router::Rebuild(ServiceList& aList,
                std::string_view aService,
                state::Instant aNow)
{
  // Upstreams that exist when the service is first called are not new, so they
  // are not paced.
  const bool isFirstTable = aList.tableVersion == 0;
  aList.candidates.clear();
  for (const auto* record : endpoints_->OfService(aService)) {
    if (record->state != state::EndpointState::Ready) {
      continue;
    }
    UpstreamHealth::Pacing pacing{ options_.isPaced,
                                   !isFirstTable,
                                   record->slots };
    const auto [entry, isNew] = healthByNode_.try_emplace(
      record->node, record->incarnation, pacing, aNow);
    if (!isNew && entry->second.Incarnation() != record->incarnation) {
      pacing.isNew = true;
      entry->second = UpstreamHealth(record->incarnation, pacing, aNow);
    }
    aList.candidates.push_back({ record,
                                 &entry->second,
                                 Distance(*record),
                                 HashNodeName(record->node) });
  }
  std::ranges::stable_sort(aList.candidates, {}, &Candidate::distance);
  for (unsigned group = 0; group <= kGroupCount; ++group) {
    const auto begin = std::ranges::lower_bound(
      aList.candidates, group, {}, &Candidate::distance);
    aList.groupBegin[group] =
      static_cast<std::size_t>(begin - aList.candidates.begin());
  }
  aList.tableVersion = tableVersion_;
  aList.panicValidUntil = state::Instant{ 0 };
}

void
Router::UpdatePanic(ServiceList& aList, state::Instant aNow) const
{
  if (aList.healthVersion == healthVersion_ && aNow < aList.panicValidUntil) {
    return;
  }
  std::size_t healthy = 0;
  aList.panicValidUntil = state::Instant::max();
  for (const auto& candidate : aList.candidates) {
    const auto& health = *candidate.health;
    if (aNow < health.EjectedUntil()) {
      aList.panicValidUntil =
        std::min(aList.panicValidUntil, health.EjectedUntil());
    }
    const bool suspect = health.IsEjected(aNow) || health.IsHalfOpen(aNow);
    healthy += suspect ? 0 : 1;
  }
  aList.panic = healthy * 2 < aList.candidates.size();
  aList.healthVersion = healthVersion_;
}

EndpointPointer
Router::Pick(std::string_view aService,
             const std::vector<EndpointPointer>& aTried,
             state::Instant aNow,
             TransferSizes aSizes,
             const UpstreamFilter& aFilter)
{
  const auto* list = FindServiceList(aService, aNow);
  if (list == nullptr) {
    return nullptr;
  }
  const auto* candidate =
    PickFrom(*list, { aTried, aSizes, false, aNow, aFilter });
  if (candidate == nullptr) {
    candidate = PickFrom(*list, { aTried, aSizes, true, aNow, aFilter });
  }
  return candidate == nullptr ? nullptr : StartRequest(*candidate, aNow);
}

const Router::Candidate*
Router::PickFrom(const ServiceList& aList, const PickCriteria& aCriteria)
{
  const auto expected = [&](const Candidate& aCandidate) {
    return aCandidate.ExpectedTime(aCriteria.sizes, aCriteria.now);
  };
  const Candidate* best = nullptr;
  for (std::size_t group = 0; group < kGroupCount; ++group) {
    const auto* candidate = SampleGroup(
      aList, aList.groupBegin[group], aList.groupBegin[group + 1], aCriteria);
    if (candidate == nullptr) {
      continue;
    }
    const double share = aCriteria.ignoresLoad ? kMaxFarTimeShare : 1;
    if (best == nullptr || expected(*candidate) < share * expected(*best)) {
      best = candidate;
    }
    if (aCriteria.ignoresLoad) {
      continue;
    }
    if (best->TransferTime(aCriteria.sizes, aCriteria.now) <=
        kCongestedTransferTime) {
      break;
    }
  }
  return best;
}

const Router::Candidate*
Router::SampleGroup(const ServiceList& aList,
                    std::size_t aBegin,
                    std::size_t aEnd,
                    const PickCriteria& aCriteria)
{
  const auto now = aCriteria.now;
  const auto size = aEnd - aBegin;
  if (size == 0) {
    return nullptr;
  }
  const bool isAnyNear = aList.groupBegin[kSameRegionGroup] > 0;
  const auto usable = [&](const Candidate& aCandidate) {
    return aCandidate.IsAllowed(aList.panic, now) &&
           (!isAnyNear || aCandidate.HasRoomForAnswer(aCriteria.sizes, now)) &&
           (aCriteria.ignoresLoad || aCandidate.HasFreeSlot(now)) &&
           (!aCriteria.filter || aCriteria.filter(*aCandidate.record)) &&
           !Contains(aCriteria.tried, *aCandidate.record);
  };
  const auto draw = [&](const Candidate* aOther) -> const Candidate* {
    std::size_t offset = 0;
    for (unsigned i = 0; i < kRandomDraws; ++i) {
      offset = random_() % size;
      const auto& candidate = aList.candidates[aBegin + offset];
      if (&candidate != aOther && usable(candidate)) {
        return &candidate;
      }
    }
    for (std::size_t i = 0; i < size; ++i) {
      const auto& candidate = aList.candidates[aBegin + (offset + i) % size];
      if (&candidate != aOther && usable(candidate)) {
        return &candidate;
      }
    }
    return nullptr;
  };
  const auto* first = draw(nullptr);
  const auto* second = first == nullptr || size == 1 ? nullptr : draw(first);
  if (second == nullptr) {
    return first;
  }
  return second->ExpectedTime(aCriteria.sizes, now) <
             first->ExpectedTime(aCriteria.sizes, now)
           ? second
           : first;
}

EndpointPointer
Router::PickExecutor(std::string_view aService,
                     std::uint64_t aKeyHash,
                     const std::vector<EndpointPointer>& aTried,
                     state::Instant aNow)
{
  const auto* list = FindServiceList(aService, aNow);
  if (list == nullptr) {
    return nullptr;
  }
  const auto highest = [&](std::size_t aBegin, std::size_t aEnd) {
    const Candidate* best = nullptr;
    std::uint64_t bestScore = 0;
    for (auto i = aBegin; i < aEnd; ++i) {
      const auto& candidate = list->candidates[i];
      const auto score = MixBits(candidate.nodeHash ^ aKeyHash);
      if ((best == nullptr || score > bestScore) &&
          candidate.IsAllowed(list->panic, aNow) &&
          !Contains(aTried, *candidate.record)) {
        best = &candidate;
        bestScore = score;
      }
    }
    return best;
  };
  const auto regionEnd = list->groupBegin[kSameRegionGroup + 1];
  const auto* best = highest(0, regionEnd);
  if (best == nullptr) {
    best = highest(regionEnd, list->candidates.size());
  }
  return best == nullptr ? nullptr : StartRequest(*best, aNow);
}

EndpointPointer
Router::StartRequest(const Candidate& aCandidate, state::Instant aNow)
{
  aCandidate.health->OnRequestStarted(aNow);
  return { endpoints_, aCandidate.record };
}

UpstreamHealth*
Router::FindHealth(const state::EndpointRecord& aRecord)
{
  const auto found = healthByNode_.find(aRecord.node);
  // A late outcome of an older incarnation does not apply to the new one.
  const bool isSame = found != healthByNode_.end() &&
                      found->second.Incarnation() == aRecord.incarnation;
  return isSame ? &found->second : nullptr;
}

void
Router::OnRequestStarted(const EndpointPointer& aEndpoint, state::Instant aNow)
{
  if (auto* health = FindHealth(*aEndpoint)) {
    health->OnRequestStarted(aNow);
  }
}

void
Router::OnRequestFinished(const state::EndpointRecord& aEndpoint,
                          const Outcome& aOutcome,
                          state::Instant aNow)
{
  auto* health = FindHealth(aEndpoint);
  if (health == nullptr) {
    return;
  }
  constexpr double kRange = std::minstd_rand::max();
  if (health->OnRequestFinished(
        aOutcome, static_cast<double>(random_()) / kRange, aNow)) {
    ++healthVersion_;
  }
}

void
Router::RecordLoadReport(const state::EndpointRecord& aEndpoint,
                         const LoadReport& aReport,
                         state::Instant aNow)
{
  if (auto* health = FindHealth(aEndpoint)) {
    health->RecordLoadReport(aReport, aNow);
  }
}

void
Router::RecordRoundTripTime(const state::EndpointRecord& aEndpoint,
                            state::Duration aTime,
                            state::Instant aNow)
{
  if (auto* health = FindHealth(aEndpoint)) {
    health->RecordRoundTripTime(aTime, aNow);
  }
}

state::Duration
Router::ServiceTime(const state::EndpointRecord& aEndpoint)
{
  const auto* health = FindHealth(aEndpoint);
  return health == nullptr ? state::Duration{ 0 } : health->ServiceTime();
}

Router::UsualAnswers
Router::Usual(std::string_view aService, state::Instant aNow) const
{
  UsualAnswers usual;
  const auto list = serviceLists_.find(aService);
  if (list == serviceLists_.end()) {
    return usual;
  }
  int count = 0;
  for (const auto& candidate : list->second.candidates) {
    const auto time = candidate.health->ServiceTime();
    if (time.count() > 0 && candidate.distance > 0) {
      usual.serviceTime += time;
      usual.failureRate += candidate.health->FailureRate(aNow);
      ++count;
    }
  }
  if (count > 0) {
    usual.serviceTime /= count;
    usual.failureRate /= count;
  }
  return usual;
}

void
Router::OnRequestAbandoned(const state::EndpointRecord& aEndpoint)
{
  if (auto* health = FindHealth(aEndpoint)) {
    health->OnRequestAbandoned();
  }
}

EndpointPointer
Router::Find(std::string_view aNode) const
{
  const auto* record =
    endpoints_ == nullptr ? nullptr : endpoints_->Find(aNode);
  return record == nullptr ? nullptr : EndpointPointer(endpoints_, record);
}

} // namespace teaselhold::coordination
