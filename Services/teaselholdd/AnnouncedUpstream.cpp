#include "Services/teaselholdd/AnnouncedUpstream.h"

#include <spdlog/spdlog.h>

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace asio = boost::asio;
namespace http = boost::beast::http;

/// The upstream waits for 1 s; with the store out, this process's memory has
/// to do.
constexpr std::chrono::milliseconds kSaveTimeout{ 600 };
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
                                     ChangeSink aChangeSink)
  : context_(aContext)
  , clock_(aClock)
  , reader_(std::move(aReader))
  , admission_(std::move(aAdmission))
  , changeSink_(std::move(aChangeSink))
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
    Apply(0);
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
  const bool isLeaving = registry_.State() == state::EndpointState::Draining &&
                         before != state::EndpointState::Draining;
  if (isLeaving) {
    co_await SaveLeaving();
  } else {
    Apply(0);
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

asio::awaitable<void>
AnnouncedUpstream::SaveLeaving()
{
  const auto number = nextSave_++;
  const auto timer =
    std::make_shared<asio::steady_timer>(context_, kSaveTimeout);
  saving_.emplace(number, timer);
  Apply(number);
  boost::system::error_code error;
  co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, error));
  if (saving_.erase(number) > 0) {
    spdlog::warn("[upstream] Leaving is not in the store yet. id={}",
                 registry_.Upstream().id);
  }
}

void
AnnouncedUpstream::OnSaved(std::uint64_t aSaveNumber)
{
  const auto found = saving_.find(aSaveNumber);
  if (found != saving_.end()) {
    found->second->cancel();
    saving_.erase(found);
  }
}

void
AnnouncedUpstream::Restore(
  const std::optional<state::UpstreamIdentity>& aLeaving)
{
  if (aLeaving) {
    spdlog::info("[upstream] An earlier process knew it as leaving. id={}",
                 aLeaving->id);
  }
  registry_.Restore(aLeaving, clock_.Now());
  Apply(0);
}

void
AnnouncedUpstream::MarkUnreachable()
{
  registry_.MarkUnreachable();
  Apply(0);
}

void
AnnouncedUpstream::Close()
{
  isClosed_ = true;
  admission_->SetState(state::EndpointState::Draining);
}

void
AnnouncedUpstream::Apply(std::uint64_t aSaveNumber)
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
  admission_->SetState(state);
  spdlog::info("[upstream] State changed. state={} id={} born={} slots={}",
               state::FindEnumName(state::kEndpointStateNames, state),
               upstream.id,
               upstream.bornMilliseconds,
               upstream.slots);
  changeSink_({ state, upstream, aSaveNumber });
}

} // namespace teaselhold::daemon
