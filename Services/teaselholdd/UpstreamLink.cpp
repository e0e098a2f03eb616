#include "Services/teaselholdd/UpstreamLink.h"

#include "Protocol/Headers.h"
#include "Services/teaselholdd/HttpHeaders.h"
#include "Services/teaselholdd/RequestFingerprint.h"

#include <spdlog/spdlog.h>

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace headers = protocol::headers;

constexpr std::chrono::milliseconds kProbeTimeout{ 400 };

/// One bad probe can be chance: a probe takes milliseconds and shares the
/// upstream with requests.
constexpr unsigned kProbesUntilUnhealthy = 2;

/// Common servers close idle connections after 5 s or more.
constexpr std::chrono::seconds kMaxIdleTime{ 4 };

/// A process that ends closes its sockets one after the other, so its port may
/// accept for a moment after a connection was reset.
constexpr int kCrashChecks = 4;
constexpr std::chrono::milliseconds kCrashCheckInterval{ 15 };
constexpr std::chrono::milliseconds kCrashCheckTimeout{ 100 };

/// Larger bodies are not hashed on each answer: it takes 0.1 ms for 1 MB, and
/// they are rarely the same.
constexpr std::size_t kMaxRememberedBytes = std::size_t{ 64 } * 1024;

/// The upstream ends its work this much earlier than the caller gives up, so
/// that its own word on a timeout arrives in time.
constexpr std::chrono::milliseconds kAnswerMargin{ 20 };

/// After a lost connection; a crashed process refuses new ones by then.
constexpr std::chrono::milliseconds kLossCheckDelay{ 30 };

/// Upstreams may forget connections that were idle for long.
constexpr std::chrono::milliseconds kSilenceLimit{ 2000 };

transport::HttpClientOptions
MakePoolOptions(const Settings& aSettings, const Adapters& aAdapters)
{
  transport::HttpClientOptions options;
  options.rules.identityHeader = aAdapters.headers.requestId;
  options.rules.acceptsUnframed = aAdapters.headers.acceptsUnframed;
  options.silenceLimit = kSilenceLimit;
  options.maxIdleConnections = aSettings.upstreamSlots;
  options.maxIdleTime = kMaxIdleTime;
  return options;
}

} // namespace

UpstreamLink::UpstreamLink(asio::io_context& aContext,
                           const Settings& aSettings,
                           const Adapters& aAdapters,
                           const Clock& aClock,
                           AnnouncedUpstream* aAnnounced,
                           StateSink aStateSink,
                           CrashSink aCrashSink)
  : context_(aContext)
  , settings_(aSettings)
  , adapters_(aAdapters)
  , clock_(aClock)
  , announced_(aAnnounced)
  , stateSink_(std::move(aStateSink))
  , crashSink_(std::move(aCrashSink))
  , pool_(aContext, MakePoolOptions(aSettings, aAdapters))
{
}

asio::awaitable<Exchange>
UpstreamLink::Deliver(Request& aRequest,
                      state::Instant aDeadline,
                      transport::CancellationPointer aCancellation)
{
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    aDeadline - clock_.Now());
  const auto work = std::max(remaining - kAnswerMargin, remaining / 2);
  const auto& names = adapters_.headers;
  RemoveNodeHeaders(aRequest);
  aRequest.erase(http::field::expect);
  SetHeader(aRequest, names.deadline, std::to_string(work.count()));
  if (announced_ != nullptr && !names.upstreamId.empty()) {
    SetHeader(aRequest, names.upstreamId, announced_->Upstream().id);
  }
  auto answer = co_await pool_.Send(settings_.upstreamAddress,
                                    aRequest,
                                    clock_.ToSteady(aDeadline),
                                    aCancellation);
  if (!answer) {
    co_return co_await Fail(aRequest, answer.error());
  }
  RememberAnswer(aRequest);
  co_return ReadAnswer(std::move(*answer));
}

Exchange
UpstreamLink::ReadAnswer(Response aAnswer)
{
  const auto status = aAnswer.result_int();
  if (announced_ != nullptr &&
      aAnswer.result() == http::status::misdirected_request) {
    // Another process took the address; it ran nothing.
    announced_->MarkUnreachable();
    const Outcome outcome = NotRun{ NotRunReason::WrongExecutor };
    return { outcome, MakeResponse(outcome), 0 };
  }
  RemoveHopHeaders(aAnswer);
  RemoveAnswerHeaders(aAnswer);
  SetHeader(aAnswer, headers::kOutcome, "answered");
  return { Answered{ status }, std::move(aAnswer), 0 };
}

void
UpstreamLink::MarkUnreachable()
{
  if (announced_ != nullptr) {
    announced_->MarkUnreachable();
  } else {
    SetState(state::EndpointState::Starting);
  }
}

asio::awaitable<void>
UpstreamLink::CheckAfterLoss(std::uint64_t aFingerprint)
{
  lost_.push_back(aFingerprint);
  if (lost_.size() > 1) {
    co_return;
  }
  asio::steady_timer timer(context_, kLossCheckDelay);
  boost::system::error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  const auto lost = std::exchange(lost_, {});
  const bool isRefusing = co_await IsRefusing();
  if (!isRefusing) {
    co_return;
  }
  announced_->MarkUnreachable();
  for (const auto fingerprint : lost) {
    ReportCrash(fingerprint);
  }
}

asio::awaitable<Exchange>
UpstreamLink::Fail(const Request& aRequest,
                   const transport::TransportError& aError)
{
  Outcome outcome = ToOutcome(aError);
  if (aError.code == transport::TransportErrorCode::ConnectFailed) {
    MarkUnreachable();
  }
  const bool isUnreadable =
    aError.code == transport::TransportErrorCode::PartialAnswer;
  if (isUnreadable) {
    spdlog::warn("[upstream] Answer could not be read. id={} reason=\"{}\"",
                 ReadHeader(aRequest, adapters_.headers.requestId),
                 aError.message);
  }
  const bool lost =
    isUnreadable ||
    aError.code == transport::TransportErrorCode::ConnectionLost;
  bool crashed = false;
  if (lost && announced_ != nullptr) {
    // The caller does not wait for the check: another upstream may still
    // answer in time.
    asio::co_spawn(
      context_, CheckAfterLoss(FingerprintOf(aRequest)), asio::detached);
  } else if (lost) {
    crashed = co_await HasCrashed();
  }
  if (crashed) {
    SetState(state::EndpointState::Starting);
    ReportCrash(FingerprintOf(aRequest));
    outcome = Unknown{ UnknownReason::UpstreamCrashed };
  }
  co_return Exchange{ outcome, MakeResponse(outcome), 0 };
}

void
UpstreamLink::ReportCrash(std::uint64_t aFingerprint)
{
  const bool isSuspect = !answered_.Contains(aFingerprint);
  spdlog::warn(
    "[upstream] Crashed while it ran a request. fingerprint={:x} suspect={}",
    aFingerprint,
    isSuspect ? "yes" : "no");
  if (isSuspect) {
    crashSink_(aFingerprint);
  }
}

void
UpstreamLink::RememberAnswer(const Request& aRequest)
{
  lastAnswer_ = clock_.Now();
  if (aRequest.body().size() <= kMaxRememberedBytes) {
    answered_.Add(FingerprintOf(aRequest));
  }
}

asio::awaitable<bool>
UpstreamLink::HasCrashed()
{
  asio::steady_timer timer(context_);
  for (int i = 0; i < kCrashChecks; ++i) {
    const bool refusing = co_await IsRefusing();
    if (refusing) {
      co_return true;
    }
    boost::system::error_code error;
    timer.expires_after(kCrashCheckInterval);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
  co_return false;
}

asio::awaitable<bool>
UpstreamLink::IsRefusing()
{
  transport::HttpClientConnection connection(context_);
  const auto connected =
    co_await connection.Connect(settings_.upstreamAddress,
                                Clock::Steady::now() + kCrashCheckTimeout,
                                nullptr,
                                std::chrono::milliseconds(0));
  co_return !connected;
}

asio::awaitable<void>
UpstreamLink::Probe()
{
  asio::steady_timer timer(context_);
  while (state_ != state::EndpointState::Draining) {
    const auto health = co_await AskHealth();
    OnHealth(health);
    timer.expires_after(settings_.upstreamProbeInterval);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

asio::awaitable<UpstreamLink::Health>
UpstreamLink::AskHealth()
{
  Request request(http::verb::get, settings_.upstreamHealthPath, 11);
  request.set(http::field::host, settings_.upstreamAddress);
  const auto answer = co_await pool_.Send(
    settings_.upstreamAddress, request, Clock::Steady::now() + kProbeTimeout);
  if (answer) {
    co_return answer->result() == http::status::ok ? Health::Healthy
                                                   : Health::Unhealthy;
  }
  co_return answer.error().code == transport::TransportErrorCode::ConnectFailed
    ? Health::Refused
    : Health::Silent;
}

void
UpstreamLink::OnHealth(Health aHealth)
{
  if (aHealth == Health::Healthy) {
    failedProbes_ = 0;
    SetState(state::EndpointState::Ready);
    return;
  }
  ++failedProbes_;
  // Answers to requests are better evidence than a health endpoint that lags.
  const bool answersRequests =
    clock_.Now() - lastAnswer_ < settings_.upstreamProbeInterval;
  const bool lagging = aHealth == Health::Silent && answersRequests;
  if (aHealth == Health::Refused ||
      (failedProbes_ >= kProbesUntilUnhealthy && !lagging)) {
    SetState(state::EndpointState::Starting);
  }
}

void
UpstreamLink::SetState(state::EndpointState aState)
{
  if (aState == state_ || state_ == state::EndpointState::Draining) {
    return;
  }
  state_ = aState;
  spdlog::info("[upstream] State changed. state={}",
               state::FindEnumName(state::kEndpointStateNames, aState));
  stateSink_(aState);
}

} // namespace teaselhold::daemon
