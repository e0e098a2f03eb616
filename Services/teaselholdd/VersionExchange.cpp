#include "Services/teaselholdd/VersionExchange.h"

#include "Protocol/Headers.h"

#include <algorithm>

namespace teaselhold::daemon {

namespace {

namespace headers = protocol::headers;

constexpr state::Duration kReportInterval = std::chrono::seconds(1);

} // namespace

void
VersionExchange::SetOwn(state::Generation aGeneration)
{
  newest_ = std::max(newest_, aGeneration);
}

void
VersionExchange::Tell(HttpFields& aMessage) const
{
  SetHeader(aMessage, headers::kGeneration, std::to_string(newest_));
  rollouts_.Tell(aMessage);
}

void
VersionExchange::Learn(const HttpFields& aMessage)
{
  rollouts_.Learn(aMessage);
  const auto generation =
    ReadNumber<state::Generation>(aMessage, headers::kGeneration);
  if (!generation) {
    return;
  }
  const auto now = clock_.Now();
  if (*generation <= newest_ && now < nextReport_) {
    return;
  }
  newest_ = std::max(newest_, *generation);
  nextReport_ = now + kReportInterval;
  sink_(newest_);
}

} // namespace teaselhold::daemon
