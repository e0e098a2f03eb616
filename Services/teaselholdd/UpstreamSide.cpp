#include "Services/teaselholdd/UpstreamSide.h"

#include "Coordination/ClaimBinding.h"
#include "Protocol/Headers.h"
#include "Services/teaselholdd/HttpHeaders.h"
#include "Services/teaselholdd/Logs.h"
#include "Services/teaselholdd/RequestFingerprint.h"

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace headers = protocol::headers;

/// Requests that wait for one slot. A queue that is longer than a few service
/// times only adds latency.
constexpr std::uint32_t kQueuePerSlot = 4;

/// How long a body may wait if its request names no bound.
constexpr state::Duration kBodyWait = std::chrono::seconds(1);

AdmissionOptions
MakeAdmissionOptions(const Settings& aSettings, const Adapters& aAdapters)
{
  AdmissionOptions options;
  if (aAdapters.IsAnnounced()) {
    options.isPaced = aSettings.upstreamPaced;
    options.shedAnswerIsNotRun = true;
    options.slots = aSettings.upstreamSlots;
    options.queueLimit = aSettings.upstreamSlots * kQueuePerSlot;
    return options;
  }
  options.slots = aSettings.upstreamSlots;
  options.queueLimit = aSettings.upstreamSlots * kQueuePerSlot;
  options.shedAnswerIsNotRun = aSettings.upstreamShedIsNotRun;
  return options;
}

Exchange
MakeExchange(const Outcome& aOutcome)
{
  return { aOutcome, MakeResponse(aOutcome), 0 };
}

Exchange
Refuse(NotRunReason aReason)
{
  return MakeExchange(NotRun{ aReason });
}

/// The identity of a request: node, incarnation and number of its sender.
struct Identity
{
  std::string peer;
  std::uint64_t number = 0;
};

std::optional<Identity>
ReadIdentity(const Request& aRequest)
{
  const auto text = ReadHeader(aRequest, headers::kRequestId);
  const auto slash = text.rfind('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto number = ParseNumber<std::uint64_t>(text.substr(slash + 1));
  if (!number) {
    return std::nullopt;
  }
  return Identity{ std::string(text.substr(0, slash)), *number };
}

} // namespace

UpstreamSide::UpstreamSide(asio::io_context& aContext,
                           const Settings& aSettings,
                           const Adapters& aAdapters,
                           const Clock& aClock,
                           std::uint64_t aIncarnation,
                           AnnouncedUpstream::ChangeSink aChangeSink,
                           DepartureSaver& aDepartures,
                           DepartureReplicator& aReplicator,
                           UpstreamLink::CrashSink aCrashSink,
                           CallMetrics& aCallMetrics,
                           std::shared_ptr<OutgoingLink> aLink,
                           VersionExchange& aVersions)
  : context_(aContext)
  , settings_(aSettings)
  , adapters_(aAdapters)
  , clock_(aClock)
  , incarnation_(aIncarnation)
  , callMetrics_(aCallMetrics)
  , arrivals_(aIncarnation)
  , keyedRuns_(aContext, aClock)
  , admission_(std::make_shared<AdmissionQueue>(
      aContext,
      aClock,
      MakeAdmissionOptions(aSettings, aAdapters)))
  , bodies_(std::make_shared<BodyQueue>(aContext,
                                        aClock,
                                        LinkBytesPerSecond(aSettings)))
  , link_(std::move(aLink))
  , versions_(aVersions)
  , replicator_(aReplicator)
  , announced_(aAdapters.IsAnnounced() ? std::make_unique<AnnouncedUpstream>(
                                           aContext,
                                           aSettings,
                                           aClock,
                                           aAdapters.readUpstreamMessage,
                                           admission_,
                                           aDepartures,
                                           aReplicator,
                                           aChangeSink)
                                       : nullptr)
  , upstream_(
      aContext,
      aSettings,
      aAdapters,
      aClock,
      announced_.get(),
      [queue = admission_, sink = aChangeSink](state::EndpointState aState) {
        queue->SetState(aState);
        sink({ aState });
      },
      std::move(aCrashSink))
{
}

void
UpstreamSide::Start()
{
  if (announced_ != nullptr) {
    announced_->Start();
  } else {
    asio::co_spawn(context_, upstream_.Probe(), asio::detached);
  }
}

void
UpstreamSide::Drain()
{
  LogEach(Sampled::Delivery);
  if (announced_ != nullptr) {
    announced_->Close();
  } else {
    upstream_.Drain();
  }
}

void
UpstreamSide::LogBrokenOff() const
{
  const auto now = clock_.Now();
  for (const auto& delivery : *deliveries_) {
    LogDeliveryBrokenOff(delivery.start, now - delivery.arrived);
  }
}

asio::awaitable<transport::BodyAdmission>
UpstreamSide::AdmitBody(const Request& aHead)
{
  const auto arrived = clock_.Now();
  const auto admission = ReadAdmission(aHead);
  std::optional<NotRun> refused;
  std::shared_ptr<BodyQueue::Permit> permit;
  if (!admission) {
    refused = NotRun{ NotRunReason::BadRequest };
  } else if (ReadHeader(aHead, headers::kService) != settings_.service) {
    refused = NotRun{ NotRunReason::WrongService };
  } else {
    refused = admission_->PredictRefusal(*admission);
  }
  if (!refused) {
    const auto bytes = ReadNumber<std::uint64_t>(aHead, "Content-Length");
    auto body = co_await bodies_->Enter(bytes.value_or(0),
                                        admission->maxWait.value_or(kBodyWait));
    refused = body.refused;
    permit = std::move(body.permit);
  }
  if (!refused) {
    const auto onReceived = [permit](std::uint64_t aBytes) {
      permit->Receive(aBytes);
    };
    co_return transport::BodyAdmission{ std::nullopt, permit, onReceived };
  }
  LogDeliveryEnd(Describe(aHead, admission), *refused, clock_.Now() - arrived);
  auto exchange = MakeExchange(*refused);
  SetHeader(exchange.response,
            headers::kRequestId,
            ReadHeader(aHead, headers::kRequestId));
  AddReport(exchange, arrived);
  co_return transport::BodyAdmission{ std::move(exchange.response),
                                      nullptr,
                                      {} };
}

asio::awaitable<Response>
UpstreamSide::ServeNode(Request aRequest,
                        transport::CancellationPointer aCancellation)
{
  if (IsNodeCall(aRequest, headers::kProbePath)) {
    Response response;
    response.result(http::status::no_content);
    co_return response;
  }
  if (IsNodeCall(aRequest, headers::kArrivalPath)) {
    co_return AnswerArrival(aRequest);
  }
  if (IsNodeCall(aRequest, headers::kDeparturePath)) {
    co_return co_await AnswerDeparture(aRequest);
  }
  const auto arrived = clock_.Now();
  versions_.Learn(aRequest);
  const std::string id(ReadHeader(aRequest, headers::kRequestId));
  const auto refused = CheckArrival(aRequest);
  Exchange exchange;
  if (refused) {
    exchange = MakeExchange(*refused);
    LogDeliveryEnd(
      Describe(aRequest, ReadAdmission(aRequest)), *refused, state::Duration{});
  } else {
    exchange = co_await Serve(aRequest, std::move(aCancellation));
  }
  SetHeader(exchange.response, headers::kRequestId, id);
  AddReport(exchange, arrived);
  co_return std::move(exchange.response);
}

Response
UpstreamSide::AnswerArrival(const Request& aRequest)
{
  const auto identity = ReadIdentity(aRequest);
  const auto asked = ReadNumber<std::uint64_t>(aRequest, headers::kExecutor);
  if (!identity || !asked) {
    return MakeResponse(NotRun{ NotRunReason::BadRequest });
  }
  const auto answer =
    arrivals_.Ask(identity->peer, identity->number, *asked, clock_.Now());
  const bool neverArrived = answer == state::ArrivalLog::Answer::NeverArrived;
  return MakeResponse(neverArrived
                        ? Outcome(NotRun{ NotRunReason::NeverArrived })
                        : Outcome(Unknown{ UnknownReason::ConnectionLost }));
}

asio::awaitable<Response>
UpstreamSide::AnswerDeparture(const Request& aRequest)
{
  const auto reminder = replicator_.ReadReminder(aRequest);
  if (!reminder) {
    co_return co_await replicator_.Serve(aRequest);
  }
  if (announced_ != nullptr) {
    announced_->AddDeparture(*reminder);
  }
  co_return Response();
}

std::optional<Outcome>
UpstreamSide::CheckArrival(const Request& aRequest)
{
  const auto identity = ReadIdentity(aRequest);
  if (!identity) {
    return NotRun{ NotRunReason::BadRequest };
  }
  using Verdict = state::ArrivalLog::Verdict;
  switch (arrivals_.Arrive(identity->peer, identity->number, clock_.Now())) {
    case Verdict::Barred:
      return NotRun{ NotRunReason::NeverArrived };
    case Verdict::Doubtful:
      return Unknown{ UnknownReason::ConnectionLost };
    case Verdict::New:
      break;
  }
  return std::nullopt;
}

asio::awaitable<Exchange>
UpstreamSide::ServeLocal(Request& aRequest,
                         transport::CancellationPointer aCancellation)
{
  const auto arrived = clock_.Now();
  auto exchange = co_await Serve(aRequest, std::move(aCancellation));
  AddReport(exchange, arrived);
  co_return exchange;
}

asio::awaitable<Exchange>
UpstreamSide::Serve(Request& aRequest,
                    transport::CancellationPointer aCancellation)
{
  const auto arrived = clock_.Now();
  const auto admission = ReadAdmission(aRequest);
  // Described now, because the delivery changes the request's headers.
  Delivery delivery{ {}, Describe(aRequest, admission), arrived };
  deliveries_->push_back(delivery);
  auto exchange =
    co_await Decide(aRequest, admission, std::move(aCancellation));
  LogDeliveryEnd(delivery.start, exchange.outcome, clock_.Now() - arrived);
  co_return exchange;
}

asio::awaitable<Exchange>
UpstreamSide::Decide(Request& aRequest,
                     const OptionalAdmission& aAdmission,
                     transport::CancellationPointer aCancellation)
{
  if (ReadHeader(aRequest, headers::kService) != settings_.service) {
    co_return Refuse(NotRunReason::WrongService);
  }
  if (announced_ != nullptr &&
      versions_.Rollouts().IsRefused(
        aRequest, settings_.service, announced_->Upstream().version)) {
    co_return Refuse(NotRunReason::NotReady);
  }
  if (!aAdmission) {
    co_return Refuse(NotRunReason::BadRequest);
  }
  Exchange exchange;
  if (aRequest.count(headers::kClaim) > 0) {
    exchange = co_await RunKeyed(aRequest, *aAdmission);
  } else {
    exchange = co_await Run(aRequest, *aAdmission, std::move(aCancellation));
  }
  if (const auto* notRun = std::get_if<NotRun>(&exchange.outcome)) {
    callMetrics_.RecordRefusal(aAdmission->requestClass, notRun->reason);
  }
  co_return exchange;
}

DeliveryStart
UpstreamSide::Describe(const Request& aRequest,
                       const OptionalAdmission& aAdmission) const
{
  DeliveryStart start;
  start.id = ReadId(aRequest, adapters_.headers);
  const auto sender = ReadHeader(aRequest, headers::kRequestId);
  // A request that entered at this node carries no identity between nodes.
  start.from = sender.empty() ? std::string_view(settings_.nodeName)
                              : sender.substr(0, sender.find('/'));
  start.service = ReadHeader(aRequest, headers::kService);
  if (announced_ != nullptr) {
    const auto& upstream = announced_->Upstream();
    start.upstream = upstream.id;
    start.born = upstream.bornMilliseconds;
  } else {
    start.upstream = settings_.upstreamAddress;
    start.born = incarnation_;
  }
  start.inputs =
    admission_->DecisionInputs(aAdmission.value_or(AdmissionRequest{}));
  if (aAdmission) {
    start.requestClass = aAdmission->requestClass;
    start.maxWait = aAdmission->maxWait;
    start.left = aAdmission->deadline - clock_.Now();
  }
  return start;
}

asio::awaitable<Exchange>
UpstreamSide::RunKeyed(Request& aRequest, const AdmissionRequest& aAdmission)
{
  static constexpr std::string_view kStart = ";start";
  if (ReadNumber<std::uint64_t>(aRequest, headers::kExecutor) != incarnation_) {
    co_return Refuse(NotRunReason::WrongExecutor);
  }
  auto claim = ReadHeader(aRequest, headers::kClaim);
  state::KeyedDelivery delivery;
  delivery.mayStart = claim.ends_with(kStart);
  if (delivery.mayStart) {
    claim.remove_suffix(kStart.size());
  }
  const auto epoch = ParseNumber<std::uint64_t>(claim);
  if (!epoch) {
    co_return Refuse(NotRunReason::BadRequest);
  }
  delivery.epoch = *epoch;
  delivery.name = KeyedRequestName(
    settings_.service,
    std::string(aAdmission.tenant),
    std::string(ReadHeader(aRequest, headers::kIdempotencyKey)));
  delivery.fingerprint = FingerprintOf(aRequest);
  // The run goes on if its caller is gone, so that a later send joins it.
  KeyedRuns::RunFunction run = [&] {
    return Run(aRequest, aAdmission, nullptr);
  };
  co_return co_await keyedRuns_.Serve(
    std::move(delivery), aAdmission.deadline, std::move(run));
}

asio::awaitable<Exchange>
UpstreamSide::Run(Request& aRequest,
                  const AdmissionRequest& aAdmission,
                  transport::CancellationPointer aCancellation)
{
  const auto answerBytes =
    ReadNumber<std::uint64_t>(aRequest, headers::kAnswerBytes).value_or(0);
  const std::chrono::milliseconds answerTime{
    ReadNumber<std::uint32_t>(aRequest, headers::kAnswerTime).value_or(0)
  };
  auto refused = link_->Refusal(answerBytes, answerTime);
  if (refused) {
    co_return MakeExchange(*refused);
  }
  const OutgoingLink::Expectation expectation(link_, answerBytes);
  refused = co_await admission_->Enter(aAdmission, aCancellation);
  if (refused) {
    co_return MakeExchange(*refused);
  }
  const AdmissionQueue::Slot slot(admission_, aAdmission.id);
  const std::string routeLabel(ReadHeader(aRequest, headers::kRouteLabel));
  const auto start = clock_.Now();
  auto exchange =
    co_await upstream_.Deliver(aRequest, aAdmission.deadline, aCancellation);
  if (const auto* answered = std::get_if<Answered>(&exchange.outcome)) {
    const bool saysShed =
      exchange.response.count(adapters_.headers.notRunMark) > 0;
    const auto outcome = admission_->Classify(answered->status, saysShed);
    if (!std::holds_alternative<Answered>(outcome)) {
      exchange = MakeExchange(outcome);
    }
  }
  exchange.serviceTime = clock_.Now() - start;
  if (!transport::IsCancelled(aCancellation)) {
    Learn(exchange.outcome, exchange.serviceTime);
    const bool isWarm = announced_ == nullptr || announced_->IsWarm();
    versions_.Rollouts().RecordRun(routeLabel,
                                   exchange.outcome,
                                   isWarm ? std::optional(exchange.serviceTime)
                                          : std::nullopt);
  }
  co_return exchange;
}

void
UpstreamSide::AddReport(Exchange& aExchange, state::Instant aArrived) const
{
  auto report = admission_->Report();
  report.residence = clock_.Now() - aArrived;
  report.bodyWait = bodies_->PredictedWait();
  report.answerWait = link_->PredictedWait();
  if (std::holds_alternative<Answered>(aExchange.outcome)) {
    report.ownServiceTime = aExchange.serviceTime;
  }
  SetHeader(aExchange.response, headers::kLoad, FormatLoadReport(report));
  versions_.Tell(aExchange.response);
  versions_.TellAttested(aExchange.response, aArrived);
  versions_.TellChecked(aExchange.response, aArrived);
  versions_.Rollouts().Report(aExchange.response, settings_.service);
}

void
UpstreamSide::Learn(const Outcome& aOutcome, state::Duration aServiceTime)
{
  constexpr unsigned kFirstServerError = 500;
  constexpr unsigned kGatewayTimeout = 504;
  const auto* answered = std::get_if<Answered>(&aOutcome);
  const bool isServed =
    answered != nullptr && (answered->status < kFirstServerError ||
                            answered->status == kGatewayTimeout);
  admission_->RecordResult(aServiceTime, isServed);
}

UpstreamSide::OptionalAdmission
UpstreamSide::ReadAdmission(const Request& aRequest)
{
  const auto requestClass = state::FindEnumValue(
    state::kRequestClassNames, ReadHeader(aRequest, headers::kClass));
  const auto remaining =
    ReadNumber<std::uint32_t>(aRequest, headers::kDeadline);
  if (!requestClass || !remaining) {
    return std::nullopt;
  }
  AdmissionRequest admission;
  admission.id = nextRequest_++;
  admission.requestClass = *requestClass;
  admission.tenant = ReadHeader(aRequest, headers::kTenant);
  admission.tenantLimit =
    ReadNumber<std::uint32_t>(aRequest, headers::kTenantLimit).value_or(0);
  admission.account = ReadHeader(aRequest, adapters_.headers.accountName);
  admission.priority = ReadNumber<std::uint32_t>(aRequest, headers::kPriority)
                         .value_or(state::kDefaultPriority);
  admission.deadline = clock_.Now() + std::chrono::milliseconds(*remaining);
  admission.isFinalTry = ReadHeader(aRequest, headers::kFinalTry) == "yes";
  if (const auto wait =
        ReadNumber<std::uint32_t>(aRequest, headers::kMaxWait)) {
    admission.maxWait = std::chrono::milliseconds(*wait);
  }
  if (const auto wait =
        ReadNumber<std::uint32_t>(aRequest, headers::kUsefulWait)) {
    admission.usefulWait = std::chrono::milliseconds(*wait);
  }
  return admission;
}

} // namespace teaselhold::daemon
