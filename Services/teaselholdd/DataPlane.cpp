#include "Services/teaselholdd/DataPlane.h"

#include "Protocol/Headers.h"

#include <charconv>
#include <spdlog/spdlog.h>

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace headers = protocol::headers;

constexpr std::size_t kMaxIdlePerPeer = 64;
constexpr std::chrono::milliseconds kProbeTimeout{ 400 };

std::string
Header(const http::fields& aFields, const char* aName)
{
  const auto value = aFields[aName];
  return { value.data(), value.size() };
}

template<typename Number>
Number
NumericHeader(const http::fields& aFields, const char* aName, Number aDefault)
{
  const auto text = aFields[aName];
  Number value = aDefault;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  return result.ec == std::errc() && result.ptr == end ? value : aDefault;
}

/// Builds the answer for a request that has no answer of an upstream.
struct OutcomeResponse
{
  transport::HttpResponse operator()(const Answered& aOutcome) const
  {
    transport::HttpResponse response;
    response.result(aOutcome.status);
    response.set(headers::kOutcome, "answered");
    return response;
  }

  transport::HttpResponse operator()(const NotRun& aOutcome) const
  {
    transport::HttpResponse response;
    response.result(StatusOf(aOutcome.reason));
    response.set(headers::kOutcome, "not-run");
    Explain(response, state::FindEnumName(kNotRunReasonNames, aOutcome.reason));
    return response;
  }

  transport::HttpResponse operator()(const Unknown& aOutcome) const
  {
    transport::HttpResponse response;
    response.result(aOutcome.reason == UnknownReason::Timeout
                      ? http::status::gateway_timeout
                      : http::status::bad_gateway);
    response.set(headers::kOutcome, "unknown");
    Explain(response,
            state::FindEnumName(kUnknownReasonNames, aOutcome.reason));
    return response;
  }

private:
  static http::status StatusOf(NotRunReason aReason)
  {
    switch (aReason) {
      case NotRunReason::NoRoute:
      case NotRunReason::ServiceNotReachable:
        return http::status::not_found;
      case NotRunReason::TenantLimit:
        return http::status::too_many_requests;
      case NotRunReason::BadRequest:
        return http::status::bad_request;
      default:
        return http::status::service_unavailable;
    }
  }

  static void Explain(transport::HttpResponse& aResponse,
                      std::string_view aReason)
  {
    aResponse.set(headers::kReason,
                  boost::string_view(aReason.data(), aReason.size()));
    aResponse.body() = std::string(aReason) + "\n";
  }
};

transport::HttpResponse
MakeResponse(const Outcome& aOutcome)
{
  return std::visit(OutcomeResponse{}, aOutcome);
}

Outcome
ToOutcome(const transport::TransportError& aError)
{
  switch (aError.code) {
    case transport::TransportErrorCode::InvalidAddress:
    case transport::TransportErrorCode::BindFailed:
    case transport::TransportErrorCode::ConnectFailed:
      return NotRun{ NotRunReason::ConnectFailed };
    case transport::TransportErrorCode::Timeout:
      return Unknown{ UnknownReason::Timeout };
    case transport::TransportErrorCode::PartialAnswer:
      return Unknown{ UnknownReason::PartialAnswer };
    case transport::TransportErrorCode::ConnectionLost:
      break;
  }
  return Unknown{ UnknownReason::ConnectionLost };
}

/// Reads the outcome that the node beside the upstream reports.
Outcome
ReadOutcome(const transport::HttpResponse& aResponse)
{
  const auto outcome = Header(aResponse, headers::kOutcome);
  const auto reason = Header(aResponse, headers::kReason);
  if (outcome == "answered") {
    return Answered{ aResponse.result_int() };
  }
  if (outcome == "not-run") {
    const auto known = state::FindEnumValue(kNotRunReasonNames, reason);
    return NotRun{ known.value_or(NotRunReason::NotReady) };
  }
  const auto known = state::FindEnumValue(kUnknownReasonNames, reason);
  return Unknown{ known.value_or(UnknownReason::ConnectionLost) };
}

} // namespace

DataPlane::DataPlane(const Settings& aSettings,
                     const Clock& aClock,
                     std::uint64_t aIncarnation,
                     StateSink aStateSink)
  : settings_(aSettings)
  , clock_(aClock)
  , incarnation_(aIncarnation)
  , stateSink_(std::move(aStateSink))
  , nodes_(context_, kMaxIdlePerPeer)
  , upstream_(context_, aSettings.upstreamSlots)
  , environment_({ aSettings.nodeName,
                   aSettings.dataCentre,
                   aSettings.region,
                   aIncarnation },
                 aIncarnation,
                 aSettings.service)
  , admission_(aSettings.upstreamSlots)
{
}

DataPlane::~DataPlane()
{
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

tl::expected<void, transport::TransportError>
DataPlane::Start()
{
  auto callerServer = transport::HttpServer::Listen(
    context_, settings_.callerAddress, [this](Request aRequest) {
      return ServeCaller(std::move(aRequest));
    });
  if (!callerServer) {
    return tl::make_unexpected(callerServer.error());
  }
  auto nodeServer = transport::HttpServer::Listen(
    context_, settings_.dataAddress, [this](Request aRequest) {
      return ServeNode(std::move(aRequest));
    });
  if (!nodeServer) {
    return tl::make_unexpected(nodeServer.error());
  }
  callerServer_ = std::move(*callerServer);
  nodeServer_ = std::move(*nodeServer);
  asio::co_spawn(context_, ProbeUpstream(), asio::detached);
  thread_ = std::thread([this] { context_.run(); });
  return {};
}

void
DataPlane::SetSnapshot(RoutingSnapshotPointer aSnapshot)
{
  snapshot_.store(std::move(aSnapshot));
}

void
DataPlane::DrainAndStop()
{
  asio::post(context_, [this] {
    draining_ = true;
    SetUpstreamState(state::EndpointState::Draining);
  });
  // Other nodes learn of the draining state before the listeners close.
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const auto deadline = Clock::Steady::now() + settings_.drainTimeout;
  bool idle = false;
  while (!idle && Clock::Steady::now() < deadline) {
    std::promise<bool> result;
    asio::post(context_, [&] {
      callerServer_->Drain();
      nodeServer_->Drain();
      result.set_value(callerServer_->InFlight() + nodeServer_->InFlight() ==
                       0);
    });
    idle = result.get_future().get();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

asio::awaitable<transport::HttpResponse>
DataPlane::ServeCaller(Request aRequest)
{
  const auto now = clock_.Now();
  CallFacts facts;
  const auto method = aRequest.method_string();
  facts.method.assign(method.data(), method.size());
  facts.target.assign(aRequest.target().data(), aRequest.target().size());
  facts.tenant = Header(aRequest, headers::kTenant);
  facts.idempotencyKey = Header(aRequest, headers::kIdempotencyKey);
  facts.depth = NumericHeader(aRequest, headers::kDepth, 0U);
  facts.retriesLeft = NumericHeader(aRequest, headers::kRetriesLeft, 2U);
  const auto remaining =
    NumericHeader(aRequest, headers::kDeadline, std::int64_t{ -1 });
  if (remaining >= 0) {
    facts.deadline = now + std::chrono::milliseconds(remaining);
  }
  const auto snapshot = snapshot_.load();
  CallSession session(std::move(facts), snapshot, environment_);
  auto step = session.Start(now);
  Response response;
  while (!std::holds_alternative<Respond>(step)) {
    if (const auto* attempt = std::get_if<Attempt>(&step)) {
      auto exchange = co_await SendToNode(aRequest, session, *attempt);
      response = std::move(exchange.response);
      step = session.Finish(exchange.outcome, clock_.Now());
    } else if (const auto* backoff = std::get_if<Backoff>(&step)) {
      asio::steady_timer timer(context_, clock_.ToSteady(backoff->until));
      co_await timer.async_wait(asio::use_awaitable);
      step = session.Resume(clock_.Now());
    } else {
      // FIXME: Pass the step to the store; until then keyed calls are not run.
      step = session.FinishClaim(
        protocol::StoreError{ protocol::StoreErrorCode::Unavailable, "" },
        clock_.Now());
    }
  }
  const auto& outcome = std::get<Respond>(step).outcome;
  if (!std::holds_alternative<Answered>(outcome)) {
    response = MakeResponse(outcome);
  }
  const auto generation =
    snapshot == nullptr || snapshot->configuration == nullptr
      ? 0
      : snapshot->configuration->GetGeneration();
  response.set(headers::kGeneration, std::to_string(generation));
  co_return response;
}

asio::awaitable<DataPlane::Exchange>
DataPlane::SendToNode(const Request& aRequest,
                      const CallSession& aSession,
                      const Attempt& aAttempt)
{
  const auto& route = *aSession.Route();
  const auto id = settings_.nodeName + "/" + std::to_string(incarnation_) +
                  "/" + std::to_string(nextRequest_++);
  auto request = aRequest;
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    aAttempt.carriedDeadline - clock_.Now());
  const auto className =
    state::FindEnumName(state::kRequestClassNames, route.requestClass);
  request.set(headers::kRequestId, id);
  request.set(headers::kService, route.service);
  request.set(headers::kClass,
              boost::string_view(className.data(), className.size()));
  request.set(headers::kIdempotent, route.isIdempotent ? "yes" : "no");
  request.set(headers::kDeadline, std::to_string(remaining.count()));
  request.set(headers::kRetriesLeft, std::to_string(aAttempt.retriesLeft));
  request.set(headers::kDepth,
              std::to_string(NumericHeader(request, headers::kDepth, 0U) + 1));
  request.keep_alive(true);
  request.prepare_payload();
  auto answer = co_await nodes_.Send(aAttempt.endpoint->dataAddress,
                                     std::move(request),
                                     clock_.ToSteady(aAttempt.deadline));
  if (!answer) {
    co_return Exchange{ ToOutcome(answer.error()), {} };
  }
  if (Header(*answer, headers::kRequestId) != id) {
    co_return Exchange{ Unknown{ UnknownReason::CrossedAnswer }, {} };
  }
  const auto outcome = ReadOutcome(*answer);
  co_return Exchange{ outcome, std::move(*answer) };
}

asio::awaitable<transport::HttpResponse>
DataPlane::ServeNode(Request aRequest)
{
  const auto now = clock_.Now();
  const auto id = Header(aRequest, headers::kRequestId);
  AdmissionRequest admission;
  admission.id = nextRequest_++;
  admission.requestClass =
    state::FindEnumValue(state::kRequestClassNames,
                         Header(aRequest, headers::kClass))
      .value_or(state::RequestClass::Lookup);
  admission.tenant = Header(aRequest, headers::kTenant);
  admission.deadline =
    now + std::chrono::milliseconds(
            NumericHeader(aRequest, headers::kDeadline, std::int64_t{ 0 }));
  Response response;
  if (Header(aRequest, headers::kService) != settings_.service) {
    response = MakeResponse(NotRun{ NotRunReason::WrongService });
  } else {
    const auto decision = admission_.Decide(admission, now);
    if (const auto* refused = std::get_if<NotRun>(&decision)) {
      response = MakeResponse(*refused);
    } else {
      response = co_await RunOnUpstream(std::move(aRequest), admission);
    }
  }
  response.set(headers::kRequestId, id);
  co_return response;
}

asio::awaitable<transport::HttpResponse>
DataPlane::RunOnUpstream(Request aRequest, AdmissionRequest aAdmission)
{
  auto answer = co_await upstream_.Send(settings_.upstreamAddress,
                                        std::move(aRequest),
                                        clock_.ToSteady(aAdmission.deadline));
  admission_.Finish(aAdmission.id, clock_.Now());
  if (!answer) {
    co_return MakeResponse(ToOutcome(answer.error()));
  }
  answer->set(headers::kOutcome, "answered");
  co_return std::move(*answer);
}

asio::awaitable<void>
DataPlane::ProbeUpstream()
{
  asio::steady_timer timer(context_);
  while (!draining_) {
    Request request(http::verb::get, settings_.upstreamHealthPath, 11);
    request.set(http::field::host, settings_.upstreamAddress);
    request.prepare_payload();
    const auto answer =
      co_await upstream_.Send(settings_.upstreamAddress,
                              std::move(request),
                              Clock::Steady::now() + kProbeTimeout);
    const bool ready = answer && answer->result() == http::status::ok;
    if (!draining_) {
      SetUpstreamState(ready ? state::EndpointState::Ready
                             : state::EndpointState::Starting);
    }
    timer.expires_after(settings_.upstreamProbeInterval);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

void
DataPlane::SetUpstreamState(state::EndpointState aState)
{
  if (aState == upstreamState_) {
    return;
  }
  upstreamState_ = aState;
  admission_.SetState(aState, clock_.Now());
  spdlog::info("[upstream] State changed. state={}",
               state::FindEnumName(state::kEndpointStateNames, aState));
  stateSink_(aState);
}

} // namespace teaselhold::daemon
