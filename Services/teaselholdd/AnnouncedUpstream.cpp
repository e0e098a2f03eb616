#include "Services/teaselholdd/AnnouncedUpstream.h"

#include <spdlog/spdlog.h>

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::chrono::milliseconds kTickInterval{ 100 };

/// Requests that wait when the upstream leaves are delivered until shortly
/// before the bound.
constexpr std::chrono::milliseconds kDrainMargin{ 500 };

state::Duration
DrainLimit(const Settings& aSettings)
{
  return std::max<state::Duration>(aSettings.upstreamDrain - kDrainMargin,
                                   state::Duration{ 0 });
}

/// @return true if the message says that an upstream leaves.
bool
IsDeparture(const protocol::UpstreamMessage& aMessage)
{
  const auto* announcement =
    std::get_if<state::UpstreamAnnouncement>(&aMessage);
  return announcement == nullptr ||
         announcement->state == state::EndpointState::Draining;
}

Response
Answer(http::status aStatus, std::string aBody)
{
  Response response;
  response.result(aStatus);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(aBody);
  return response;
}

} // namespace

AnnouncedUpstream::AnnouncedUpstream(asio::io_context& aContext,
                                     const Settings& aSettings,
                                     const Clock& aClock,
                                     protocol::UpstreamMessageReader aReader,
                                     std::shared_ptr<AdmissionQueue> aAdmission,
                                     DepartureSaver& aSaver,
                                     DepartureReplicator& aReplicator,
                                     ChangeSink aChangeSink)
  : context_(aContext)
  , clock_(aClock)
  , reader_(std::move(aReader))
  , admission_(std::move(aAdmission))
  , saver_(aSaver)
  , replicator_(aReplicator)
  , changeSink_(std::move(aChangeSink))
  , nodeName_(aSettings.nodeName)
  , registry_(aSettings.service,
              aSettings.upstreamAddress,
              DrainLimit(aSettings))
{
}

void
AnnouncedUpstream::Start()
{
  asio::co_spawn(context_, Tick(), asio::detached);
}

void
AnnouncedUpstream::OnSettings(const Settings& aSettings)
{
  registry_.SetDrainLimit(DrainLimit(aSettings));
}

asio::awaitable<void>
AnnouncedUpstream::Tick()
{
  asio::steady_timer timer(context_);
  while (true) {
    timer.expires_after(kTickInterval);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    registry_.Tick(clock_.Now());
    Apply();
  }
}

asio::awaitable<Response>
AnnouncedUpstream::Serve(Request aRequest)
{
  const auto method = aRequest.method_string();
  const auto target = aRequest.target();
  const auto message = reader_({ method.data(), method.size() },
                               { target.data(), target.size() },
                               aRequest.body());
  if (const auto* unreadable =
        std::get_if<protocol::UnreadableMessage>(&message)) {
    spdlog::warn("[upstream] Message refused. target={} reason=\"{}\"",
                 std::string_view(target.data(), target.size()),
                 unreadable->reason);
    co_return Answer(http::status::bad_request, "{}");
  }
  const auto before = registry_.State();
  auto verdict = AnnouncementVerdict::Stale;
  if (const auto* announcement =
        std::get_if<state::UpstreamAnnouncement>(&message)) {
    verdict = registry_.Announce(*announcement, clock_.Now());
    if (verdict == AnnouncementVerdict::Taken) {
      warmTime_ = clock_.Now() + announcement->warmUpLeft;
    }
  } else if (const auto* departure =
               std::get_if<state::UpstreamDeparture>(&message)) {
    verdict = registry_.Depart(*departure, clock_.Now());
  }
  if (registry_.State() != before || verdict != AnnouncementVerdict::Taken) {
    LogMessage(message, verdict);
  }
  if (verdict == AnnouncementVerdict::Foreign) {
    co_return Answer(http::status::bad_request, "{}");
  }
  StartSaving();
  Apply();
  if (IsDeparture(message) && !co_await SecureDepartures()) {
    co_return Answer(http::status::service_unavailable, "{}");
  }
  co_return Answer(http::status::ok, "{}");
}

void
AnnouncedUpstream::LogMessage(const protocol::UpstreamMessage& aMessage,
                              AnnouncementVerdict aVerdict) const
{
  const auto* announcement =
    std::get_if<state::UpstreamAnnouncement>(&aMessage);
  const auto* departure = std::get_if<state::UpstreamDeparture>(&aMessage);
  const auto& current = registry_.Upstream();
  spdlog::info(
    "[upstream] Message. kind={} id={} born={} sequence={} service={} "
    "verdict={} state={} current_id={} current_born={} current_sequence={}",
    departure != nullptr ? "departure" : "announcement",
    departure != nullptr ? departure->id : announcement->upstream.id,
    departure != nullptr ? departure->bornMilliseconds.value_or(0)
                         : announcement->upstream.bornMilliseconds,
    departure != nullptr ? 0 : announcement->upstream.sequence,
    departure != nullptr ? "" : announcement->service,
    state::FindEnumName(kAnnouncementVerdictNames, aVerdict),
    state::FindEnumName(state::kEndpointStateNames, registry_.State()),
    current.id,
    current.bornMilliseconds,
    current.sequence);
}

void
AnnouncedUpstream::StartSaving()
{
  for (const auto& upstream : registry_.TakeDepartures()) {
    unsecured_.emplace(saver_.Start(nodeName_, upstream), upstream);
  }
}

asio::awaitable<bool>
AnnouncedUpstream::SecureDepartures()
{
  // Copied, because messages that arrive meanwhile change it.
  const auto waiting = unsecured_;
  for (const auto& [number, upstream] : waiting) {
    if (!co_await replicator_.Secure(number, upstream)) {
      spdlog::warn(
        "[upstream] Departure is not acknowledged: neither the store "
        "nor another node holds it. id={}",
        upstream.id);
      co_return false;
    }
    unsecured_.erase(number);
  }
  co_return true;
}

void
AnnouncedUpstream::Restore(const coordination::RestoreUpstream& aRestored)
{
  const bool isChanged =
    registry_.Restore(aRestored.departed, aRestored.isComplete, clock_.Now());
  spdlog::info("[upstream] Departures restored. count={} complete={} new={} "
               "newest_id={} newest_born={}",
               aRestored.departed.size(),
               aRestored.isComplete,
               isChanged,
               aRestored.departed.empty() ? "" : aRestored.departed.back().id,
               aRestored.departed.empty()
                 ? 0
                 : aRestored.departed.back().bornMilliseconds);
  Apply();
}

void
AnnouncedUpstream::AddDeparture(const state::UpstreamIdentity& aUpstream)
{
  if (!registry_.AddDepartures({ aUpstream }, clock_.Now())) {
    return;
  }
  spdlog::info("[upstream] Another node kept a departure. id={} born={}",
               aUpstream.id,
               aUpstream.bornMilliseconds);
  Apply();
}

void
AnnouncedUpstream::MarkUnreachable()
{
  registry_.MarkUnreachable();
  Apply();
}

void
AnnouncedUpstream::Close()
{
  isClosed_ = true;
  admission_->SetState(state::EndpointState::Draining);
}

void
AnnouncedUpstream::Apply()
{
  const auto state = registry_.State();
  // A node that ends takes no work, but a leaving must outlast it.
  const bool isLeaving = state == state::EndpointState::Draining ||
                         state == state::EndpointState::Gone;
  if (!registry_.TakeChanged() || (isClosed_ && !isLeaving)) {
    return;
  }
  const auto& upstream = registry_.Upstream();
  if (upstream.slots > 0) {
    admission_->SetSlots(upstream.slots);
  }
  if (!upstream.IsSameRun(admittedRun_)) {
    admittedRun_ = upstream;
    admission_->BeginRun();
  }
  admission_->SetState(state);
  spdlog::info("[upstream] State changed. state={} id={} born={} slots={}",
               state::FindEnumName(state::kEndpointStateNames, state),
               upstream.id,
               upstream.bornMilliseconds,
               upstream.slots);
  changeSink_({ state, upstream });
}

} // namespace teaselhold::daemon
