#include "Services/teaselholdd/RolloutExchange.h"

#include "Protocol/Headers.h"

#include <spdlog/spdlog.h>

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace headers = protocol::headers;

constexpr state::Duration kTickInterval = std::chrono::milliseconds(100);
/// After a change, messages carry the roll-outs themselves for this time.
constexpr state::Duration kTellTime = std::chrono::seconds(2);
constexpr char kDigestMark = '#';

} // namespace

void
RolloutExchange::Set(const std::vector<Rollout>& aRollouts)
{
  gate_.Learn(aRollouts, clock_.Now());
  Announce();
}

void
RolloutExchange::Announce()
{
  for (const auto& note : gate_.TakeNotes()) {
    spdlog::info("[rollout] {}", note);
  }
  if (gate_.TakeChanged()) {
    tellAllUntil_ = clock_.Now() + kTellTime;
    sink_({ gate_.All(), gate_.Proven() });
  }
}

void
RolloutExchange::Tick()
{
  const auto now = clock_.Now();
  if (gate_.IsEmpty() || now < nextTick_) {
    return;
  }
  nextTick_ = now + kTickInterval;
  gate_.Tick(now);
  Announce();
}

void
RolloutExchange::Tell(HttpFields& aMessage) const
{
  if (gate_.IsEmpty()) {
    return;
  }
  const auto now = clock_.Now();
  const auto live = gate_.Live(now);
  if (live.empty()) {
    return;
  }
  SetHeader(aMessage,
            headers::kRollouts,
            now < tellAllUntil_ ? FormatRollouts(live, now)
                                : kDigestMark + std::to_string(gate_.Digest()));
}

void
RolloutExchange::Learn(const HttpFields& aMessage)
{
  Tick();
  const auto text = ReadHeader(aMessage, headers::kRollouts);
  if (text.empty() && gate_.IsEmpty()) {
    return;
  }
  const auto now = clock_.Now();
  if (!text.empty() && text.front() != kDigestMark) {
    gate_.Learn(ParseRollouts(text, now), now);
    Announce();
    return;
  }
  // A sender without the header knows of no roll-out.
  const auto digest =
    text.empty() ? std::nullopt : ParseNumber<std::uint32_t>(text.substr(1));
  if (digest != gate_.Digest()) {
    tellAllUntil_ = std::max(tellAllUntil_, now + kTellTime);
  }
}

void
RolloutExchange::MarkRequest(HttpFields& aRequest,
                             const std::string& aService,
                             std::string_view aRoute,
                             std::uint64_t aOrder) const
{
  if (aOrder == 0) {
    return;
  }
  SetHeader(aRequest, headers::kRolloutOrder, std::to_string(aOrder));
  if (gate_.IsObserved(aService, clock_.Now())) {
    SetHeader(aRequest, headers::kRouteLabel, RouteLabel(aRoute));
  }
}

bool
RolloutExchange::IsRefused(const HttpFields& aRequest,
                           const std::string& aService,
                           const std::string& aVersion) const
{
  return !gate_.IsEmpty() && gate_.IsRefused(aService,
                                             aVersion,
                                             ReadNumber<std::uint64_t>(
                                               aRequest, headers::kRolloutOrder)
                                               .value_or(0),
                                             clock_.Now());
}

void
RolloutExchange::RecordRun(std::string_view aLabel,
                           const Outcome& aOutcome,
                           std::optional<state::Duration> aTime)
{
  constexpr unsigned kFirstServerError = 500;
  if (aLabel.empty() || std::holds_alternative<NotRun>(aOutcome)) {
    return;
  }
  const auto* answered = std::get_if<Answered>(&aOutcome);
  const bool isFailure =
    answered == nullptr || answered->status >= kFirstServerError;
  evidence_.Record(aLabel, isFailure, aTime, clock_.Now());
}

void
RolloutExchange::Report(HttpFields& aAnswer, const std::string& aService)
{
  const auto now = clock_.Now();
  if (!gate_.IsEmpty() && gate_.IsObserved(aService, now)) {
    SetHeader(aAnswer, headers::kEvidence, evidence_.Report(now));
  }
}

void
RolloutExchange::LearnEvidence(const state::EndpointRecord& aUpstream,
                               const HttpFields& aAnswer)
{
  const auto report = ReadHeader(aAnswer, headers::kEvidence);
  if (!report.empty()) {
    gate_.OnReport(aUpstream, report, clock_.Now());
  }
  Tick();
}

} // namespace teaselhold::daemon
