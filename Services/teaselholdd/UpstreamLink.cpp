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

transport::HttpClientOptions
MakePoolOptions(const Settings& aSettings)
{
  transport::HttpClientOptions options;
  options.maxIdleConnections = aSettings.upstreamSlots;
  options.maxIdleTime = kMaxIdleTime;
  return options;
}

} // namespace

UpstreamLink::UpstreamLink(asio::io_context& aContext,
                           const Settings& aSettings,
                           const Clock& aClock,
                           StateSink aStateSink,
                           CrashSink aCrashSink)
  : context_(aContext)
  , settings_(aSettings)
  , clock_(aClock)
  , stateSink_(std::move(aStateSink))
  , crashSink_(std::move(aCrashSink))
  , pool_(aContext, MakePoolOptions(aSettings))
{
}

asio::awaitable<Exchange>
UpstreamLink::Deliver(Request& aRequest,
                      state::Instant aDeadline,
                      transport::CancellationPointer aCancellation)
{
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    aDeadline - clock_.Now());
  RemoveNodeHeaders(aRequest);
  SetHeader(aRequest, headers::kDeadline, std::to_string(remaining.count()));
  auto answer = co_await pool_.Send(settings_.upstreamAddress,
                                    aRequest,
                                    clock_.ToSteady(aDeadline),
                                    aCancellation);
  if (!answer) {
    co_return co_await Fail(aRequest, answer.error());
  }
  RememberAnswer(aRequest);
  RemoveHopHeaders(*answer);
  RemoveAnswerHeaders(*answer);
  SetHeader(*answer, headers::kOutcome, "answered");
  const auto status = answer->result_int();
  co_return Exchange{ Answered{ status }, std::move(*answer), 0 };
}

asio::awaitable<Exchange>
UpstreamLink::Fail(const Request& aRequest,
                   const transport::TransportError& aError)
{
  Outcome outcome = ToOutcome(aError);
  if (aError.code == transport::TransportErrorCode::ConnectFailed) {
    SetState(state::EndpointState::Starting);
  }
  const bool lost =
    aError.code == transport::TransportErrorCode::ConnectionLost ||
    aError.code == transport::TransportErrorCode::PartialAnswer;
  bool crashed = false;
  if (lost) {
    crashed = co_await HasCrashed();
  }
  if (crashed) {
    SetState(state::EndpointState::Starting);
    ReportCrash(aRequest);
    outcome = Unknown{ UnknownReason::UpstreamCrashed };
  }
  co_return Exchange{ outcome, MakeResponse(outcome), 0 };
}

void
UpstreamLink::ReportCrash(const Request& aRequest)
{
  const auto fingerprint = FingerprintOf(aRequest);
  const bool isSuspect = !answered_.Contains(fingerprint);
  spdlog::warn(
    "[upstream] Crashed while it ran a request. fingerprint={:x} suspect={}",
    fingerprint,
    isSuspect ? "yes" : "no");
  if (isSuspect) {
    crashSink_(fingerprint);
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
