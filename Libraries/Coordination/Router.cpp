#include "Coordination/Router.h"

#include <algorithm>
#include <tuple>

namespace teaselhold::coordination {

namespace {

constexpr state::Duration kEjectionTime = std::chrono::seconds(2);

} // namespace

Router::Router(std::string aDataCentre, std::string aRegion)
  : dataCentre_(std::move(aDataCentre))
  , region_(std::move(aRegion))
{
}

unsigned
Router::Distance(const state::EndpointRecord& aRecord) const
{
  if (aRecord.dataCentre == dataCentre_) {
    return 0;
  }
  return aRecord.region == region_ ? 1 : 2;
}

std::optional<state::EndpointRecord>
Router::Pick(const state::EndpointTable& aEndpoints,
             const std::string& aService,
             const std::vector<std::string>& aTried,
             state::Instant aNow)
{
  const state::EndpointRecord* best = nullptr;
  std::tuple<bool, unsigned, unsigned> bestRank;
  for (const auto* record : aEndpoints.OfService(aService)) {
    if (record->state != state::EndpointState::Ready ||
        std::ranges::find(aTried, record->node) != aTried.end()) {
      continue;
    }
    const auto& view = views_[record->node];
    const std::tuple rank{ view.ejectedUntil > aNow,
                           Distance(*record) +
                             (view.inFlight >= record->slots ? 3U : 0U),
                           view.inFlight };
    if (best == nullptr || rank < bestRank) {
      best = record;
      bestRank = rank;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ++views_[best->node].inFlight;
  return *best;
}

void
Router::Finished(const std::string& aNode,
                 const Outcome& aOutcome,
                 state::Instant aNow)
{
  auto& view = views_[aNode];
  --view.inFlight;
  const auto* notRun = std::get_if<NotRun>(&aOutcome);
  const bool unreachable =
    std::holds_alternative<Unknown>(aOutcome) ||
    (notRun != nullptr && notRun->reason == NotRunReason::ConnectFailed);
  if (unreachable) {
    view.ejectedUntil = aNow + kEjectionTime;
  }
}

} // namespace teaselhold::coordination
