#include "Services/teaselholdd/CallerSide.h"

#include "Coordination/Accounts/KeyCheck.h"
#include "Coordination/RetryDelay.h"
#include "Protocol/Headers.h"
#include "Services/teaselholdd/HttpHeaders.h"
#include "Services/teaselholdd/Logs.h"
#include "Services/teaselholdd/RequestFingerprint.h"
#include "Services/teaselholdd/UpstreamSide.h"

#include <algorithm>
#include <boost/intrusive/list.hpp>

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace asio = boost::asio;
namespace headers = protocol::headers;

constexpr unsigned kDefaultRetries = 2;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::size_t kMaxTenantBytes = 256;

/// The longest time that a claim's store call may take. A keyed call that hangs
/// on the store is refused while nothing was delivered.
constexpr std::chrono::seconds kStoreCallTimeout{ 2 };

/// Larger bodies take noticeable time on a link of 5 Mbit/s themselves.
constexpr std::size_t kSmallBytes = std::size_t{ 8 } * 1024;

/// Reads an optional number.
/// @return false if it is malformed or stands more than once.
template<typename Number>
bool
ReadOptional(const Request& aRequest, const char* aName, Number& aNumber)
{
  const auto count = aRequest.count(aName);
  if (count == 0) {
    return true;
  }
  const auto value = ReadNumber<Number>(aRequest, aName);
  aNumber = value.value_or(aNumber);
  return count == 1 && value.has_value();
}

/// Reads an optional name of visible characters.
/// @return false if it is malformed or stands more than once.
bool
ReadName(const Request& aRequest,
         const char* aName,
         std::size_t aMaxBytes,
         std::string& aValue)
{
  const auto value = ReadHeader(aRequest, aName);
  aValue.assign(value);
  const bool visible = std::ranges::all_of(
    value, [](char aByte) { return aByte > ' ' && aByte < '\x7f'; });
  return aRequest.count(aName) <= 1 && value.size() <= aMaxBytes && visible;
}

/// @return 0 if no configuration is in force.
std::uint64_t
GenerationOf(const RoutingSnapshotPointer& aSnapshot)
{
  const bool isKnown =
    aSnapshot != nullptr && aSnapshot->configuration != nullptr;
  return isKnown ? aSnapshot->configuration->GetGeneration() : 0;
}

/// Tells the caller which configuration routed its request.
void
SetGeneration(Response& aResponse, const RoutingSnapshotPointer& aSnapshot)
{
  SetHeader(
    aResponse, headers::kGeneration, std::to_string(GenerationOf(aSnapshot)));
}

/// Counts a call until the end of its scope.
class CallCount
{
public:
  explicit CallCount(std::shared_ptr<std::size_t> aCount)
    : count_(std::move(aCount))
  {
    ++*count_;
  }
  ~CallCount() { --*count_; }
  CallCount(const CallCount&) = delete;
  CallCount& operator=(const CallCount&) = delete;

private:
  std::shared_ptr<std::size_t> count_;
};

} // namespace

struct CallerSide::Call
  : boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
  state::Instant start;
  Request request;
  RoutingSnapshotPointer snapshot;
  unsigned depth;
  std::uint32_t tenantLimit;
  CallSession session;
  Response response;
  /// The answer that the session keeps in case that later attempts fail.
  Response earlierResponse;
  std::string id;
  std::string node;
};

struct CallerSide::Calls
{
  boost::intrusive::list<Call, boost::intrusive::constant_time_size<false>>
    list;
};

CallerSide::CallerSide(asio::io_context& aContext,
                       const Settings& aSettings,
                       const Adapters& aAdapters,
                       const Clock& aClock,
                       std::uint64_t aIncarnation,
                       UpstreamSide& aUpstreamSide,
                       VersionExchange& aVersions,
                       QuotaExchange& aQuotas,
                       CallMetrics& aCallMetrics)
  : context_(aContext)
  , settings_(aSettings)
  , adapters_(aAdapters)
  , clock_(aClock)
  , upstreamSide_(aUpstreamSide)
  , quotas_(aQuotas)
  , callMetrics_(aCallMetrics)
  , hop_(aContext, aSettings, aClock, aIncarnation, aUpstreamSide, aVersions)
  , store_(aContext, aAdapters.store)
  , environment_({ aSettings.nodeName,
                   aSettings.dataCentre,
                   aSettings.region,
                   aIncarnation ^ std::hash<std::string>()(aSettings.nodeName),
                   !aAdapters.IsAnnounced() },
                 aIncarnation,
                 aSettings.service)
  , calls_(std::make_shared<Calls>())
{
  if (aAdapters.IsAnnounced()) {
    environment_.policy = CallPolicy::WithLoadReports();
    environment_.rollouts = &aVersions.Rollouts().Gate();
  }
}

void
CallerSide::SetSnapshot(RoutingSnapshotPointer aSnapshot)
{
  snapshot_ = std::move(aSnapshot);
  if (adapters_.IsAnnounced()) {
    ShareRetryBudget();
  }
}

void
CallerSide::OnSettings()
{
  if (adapters_.IsAnnounced() && snapshot_ != nullptr) {
    ShareRetryBudget();
  }
}

void
CallerSide::ShareRetryBudget()
{
  // All nodes together stay within one allowance, so each takes its part.
  // Calls of a run that is itself a repeat count as repeats too, and no node
  // can tell those, so they need room of their own.
  constexpr double kRatioShare = 0.5;
  constexpr double kBurstShare = 0.4;
  constexpr double kSteadyShare = 0.4;
  const auto nodes = std::max<std::size_t>(
    snapshot_->endpoints == nullptr ? 1 : snapshot_->endpoints->Size(), 1);
  const double slack =
    static_cast<double>(settings_.retrySlack) / static_cast<double>(nodes);
  const std::chrono::duration<double> window = settings_.retryWindow;
  RetryBudgetOptions options;
  options.tokensPerCall = settings_.retryRatio * kRatioShare;
  options.tokensPerSecond = kSteadyShare * slack / window.count();
  options.initialTokens = std::max(1.0, kBurstShare * slack);
  options.maxTokens = options.initialTokens;
  environment_.budget.SetOptions(options);
}

asio::awaitable<Response>
CallerSide::Serve(Request aRequest,
                  transport::CancellationPointer aCancellation)
{
  const auto now = clock_.Now();
  auto facts = ReadFacts(aRequest, now);
  std::optional<NotRunReason> refused;
  if (!facts) {
    refused = NotRunReason::BadRequest;
  } else if (IsRefusedForDraining(*facts)) {
    refused = NotRunReason::Draining;
  } else {
    refused = TakeAccount(aRequest, *facts);
  }
  if (refused) {
    co_return Refuse(aRequest, NotRun{ *refused }, clock_.Now() - now);
  }
  const CallCount count(inFlight_);
  auto credit = co_await quotas_.Acquire(facts->account, facts->deadline);
  if (!credit) {
    co_return Refuse(aRequest, credit.error(), clock_.Now() - now);
  }
  RemoveHopHeaders(aRequest);
  RemoveNodeHeaders(aRequest);
  // A chunked body goes on with its length.
  aRequest.prepare_payload();
  const auto& names = adapters_.headers;
  std::string id(ReadId(aRequest, names));
  if (!names.callerService.empty()) {
    SetHeader(aRequest, names.callerService, settings_.service);
  }
  const auto depth = facts->depth;
  const auto tenantLimit = TenantLimit(facts->tenant);
  const auto tenant = facts->tenant;
  Call call{ {},
             now,
             std::move(aRequest),
             snapshot_,
             depth,
             tenantLimit,
             CallSession(std::move(*facts), snapshot_, environment_),
             {},
             {},
             std::move(id),
             {} };
  calls_->list.push_back(call);
  auto step = call.session.Start(now);
  while (!std::holds_alternative<Respond>(step)) {
    step = co_await TakeStep(call, step, aCancellation);
  }
  const auto& respond = std::get<Respond>(step);
  credit->Finish(respond.outcome);
  const auto* route = call.session.Route();
  callMetrics_.Record(route == nullptr ? state::RequestClass::Lookup
                                       : route->requestClass,
                      tenant,
                      respond.outcome,
                      clock_.Now() - now);
  LogCallEnd(Describe(call), respond.outcome, clock_.Now() - now);
  co_return Finish(call, respond);
}

void
CallerSide::Drain()
{
  draining_ = true;
  LogEach(Sampled::Call);
}

void
CallerSide::LogBrokenOff() const
{
  const auto now = clock_.Now();
  for (const auto& call : calls_->list) {
    LogCallBrokenOff(Describe(call), now - call.start);
  }
}

CallEnd
CallerSide::Describe(const Call& aCall)
{
  CallEnd end;
  end.id = aCall.id;
  if (const auto* route = aCall.session.Route()) {
    end.route = route->name;
  }
  end.service = aCall.session.Service();
  end.node = aCall.node;
  end.attempts = aCall.session.Attempts();
  end.placements = aCall.session.Placements();
  end.generation = GenerationOf(aCall.snapshot);
  return end;
}

Response
CallerSide::Refuse(const Request& aRequest,
                   const NotRun& aOutcome,
                   state::Duration aTime)
{
  // Nothing has been routed yet, so the class is not known.
  callMetrics_.Record(state::RequestClass::Lookup,
                      ReadHeader(aRequest, headers::kTenant),
                      aOutcome,
                      aTime);
  CallEnd end;
  end.id = ReadId(aRequest, adapters_.headers);
  end.generation = GenerationOf(snapshot_);
  LogCallEnd(end, aOutcome, aTime);
  auto response = MakeResponse(aOutcome);
  FinishAnswer(response, aOutcome);
  SetGeneration(response, snapshot_);
  return response;
}

bool
CallerSide::IsRefusedForDraining(const CallParameters& aFacts) const
{
  const bool isNested = aFacts.depth > 0 && upstreamSide_.InFlight() > 0;
  return draining_ && !isNested;
}

std::optional<CallParameters>
CallerSide::ReadFacts(const Request& aRequest, state::Instant aNow) const
{
  CallParameters facts;
  const auto method = aRequest.method_string();
  facts.method.assign(method.data(), method.size());
  const auto host = aRequest[boost::beast::http::field::host];
  facts.host.assign(host.data(), host.size());
  facts.target.assign(aRequest.target().data(), aRequest.target().size());
  facts.retriesLeft = kDefaultRetries;
  auto remaining = std::numeric_limits<std::uint32_t>::max();
  const bool valid =
    ReadName(aRequest, headers::kTenant, kMaxTenantBytes, facts.tenant) &&
    ReadName(
      aRequest, headers::kIdempotencyKey, kMaxKeyBytes, facts.idempotencyKey) &&
    ReadOptional(aRequest, headers::kDepth, facts.depth) &&
    ReadOptional(aRequest, headers::kRetriesLeft, facts.retriesLeft) &&
    ReadOptional(aRequest, adapters_.headers.deadline.c_str(), remaining);
  if (!valid) {
    return std::nullopt;
  }
  facts.retriesLeft = std::min(facts.retriesLeft, kDefaultRetries);
  if (adapters_.IsAnnounced()) {
    // The platform's contract knows no keys; the header is the upstream's.
    facts.idempotencyKey.clear();
  }
  // A process that ends answers before it does.
  facts.deadline = std::min(
    aNow + state::Duration(std::chrono::milliseconds(remaining)), stopTime_);
  facts.mayBeNested = upstreamSide_.MayHaveMade(facts.deadline);
  facts.bodySize = aRequest.body().size() >= NodeHop::kOfferedBytes
                     ? BodySize::Large
                     : BodySize::Small;
  const bool isNeeded =
    !facts.idempotencyKey.empty() ||
    (snapshot_ != nullptr && !snapshot_->quarantined.empty());
  facts.fingerprint = isNeeded ? FingerprintOf(aRequest) : 0;
  return facts;
}

std::optional<NotRunReason>
CallerSide::TakeAccount(Request& aRequest, CallParameters& aFacts) const
{
  const auto& names = adapters_.headers;
  const std::string key(ReadHeader(aRequest, names.accountKey));
  KeyFacts keyFacts;
  keyFacts.key = key;
  keyFacts.count = aRequest.count(names.accountKey);
  aRequest.erase(names.accountKey);
  const bool isKnown =
    snapshot_ != nullptr && snapshot_->configuration != nullptr;
  if (!isKnown || !snapshot_->configuration->RequiresKeys()) {
    // Without keys, the product's own header is the caller's claim.
    if (names.accountName != headers::kTenant) {
      aRequest.erase(names.accountName);
    }
    return std::nullopt;
  }
  aRequest.erase(names.accountName);
  aFacts.tenant.clear();
  const auto& configuration = *snapshot_->configuration;
  const auto* route =
    configuration.FindRoute(aFacts.method, aFacts.target, aFacts.host);
  if (route == nullptr) {
    return NotRunReason::NoRoute;
  }
  keyFacts.mayBeNested = upstreamSide_.InFlight() > 0;
  const auto account = CheckKey(configuration, *route, keyFacts);
  if (!account) {
    return account.error();
  }
  if (*account != nullptr) {
    aFacts.account = (*account)->name;
    aFacts.tenant = aFacts.account;
    aFacts.priority = (*account)->priority;
    SetHeader(aRequest, names.accountName, aFacts.account);
  }
  return std::nullopt;
}

std::uint32_t
CallerSide::TenantLimit(const std::string& aTenant) const
{
  if (snapshot_ == nullptr || snapshot_->configuration == nullptr) {
    return 0;
  }
  const auto* account = snapshot_->configuration->FindAccount(aTenant);
  return account == nullptr ? 0 : account->maxInFlight;
}

asio::awaitable<CallStep>
CallerSide::TakeStep(Call& aCall,
                     const CallStep& aStep,
                     transport::CancellationPointer aCancellation)
{
  if (const auto* attempt = std::get_if<Attempt>(&aStep)) {
    const NodeHop::Load load{ *aCall.session.Route(),
                              aCall.session.Service(),
                              aCall.tenantLimit,
                              aCall.depth,
                              aCall.session.Priority() };
    const auto endpoint = attempt->endpoint;
    aCall.node = endpoint->node;
    const auto sent = clock_.Now();
    auto exchange =
      co_await hop_.Send(aCall.request, load, *attempt, aCancellation);
    if (transport::IsCancelled(aCancellation)) {
      // Nobody reads the answer. The session is destroyed, which gives up the
      // attempt without a mark against the endpoint.
      co_return Respond{ Unknown{ UnknownReason::ConnectionLost }, 0 };
    }
    const auto report =
      ParseLoadReport(ReadHeader(exchange.response, headers::kLoad));
    const bool isSmall = aCall.request.body().size() <= kSmallBytes &&
                         exchange.response.body().size() <= kSmallBytes;
    RecordAnswerSize(aCall, exchange);
    aCall.response = std::move(exchange.response);
    auto next = aCall.session.Finish(
      exchange.outcome, clock_.Now(), exchange.retriesLeft);
    if (report) {
      const auto now = clock_.Now();
      environment_.router.RecordLoadReport(*endpoint, *report, now);
      if (isSmall) {
        const auto travel = now - sent - report->residence;
        environment_.router.RecordRoundTripTime(*endpoint, travel, now);
      }
      environment_.serviceTimes.Record(aCall.session.Route()->name,
                                       report->ownServiceTime);
    }
    const auto* respond = std::get_if<Respond>(&next);
    const bool isKept = respond == nullptr || respond->isKeptServerError;
    if (std::holds_alternative<Answered>(exchange.outcome) && isKept) {
      aCall.earlierResponse = std::move(aCall.response);
    }
    co_return next;
  }
  if (const auto* backoff = std::get_if<BackoffStep>(&aStep)) {
    asio::steady_timer timer(context_, clock_.ToSteady(backoff->until));
    const transport::Cancellation::Scope scope(aCancellation,
                                               [&] { timer.cancel(); });
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (transport::IsCancelled(aCancellation)) {
      co_return Respond{ Unknown{ UnknownReason::ConnectionLost }, 0 };
    }
    co_return aCall.session.Resume(clock_.Now());
  }
  co_return co_await CallStore(aCall, std::get<ClaimStep>(aStep));
}

void
CallerSide::RecordAnswerSize(const Call& aCall, const Exchange& aExchange)
{
  const bool isSuccess = std::holds_alternative<Answered>(aExchange.outcome) &&
                         to_status_class(aExchange.response.result()) ==
                           boost::beast::http::status_class::successful;
  if (isSuccess) {
    environment_.answerSizes.Record(
      aCall.session.Route()->name,
      static_cast<std::int64_t>(aExchange.response.body().size()));
  }
}

void
CallerSide::FinishAnswer(Response& aResponse, const Outcome& aOutcome)
{
  aResponse.erase(headers::kLoad);
  aResponse.erase(headers::kRetryAfter);
  const auto* notRun = std::get_if<NotRun>(&aOutcome);
  const auto status = aResponse.result();
  const bool mayComeBack =
    status == boost::beast::http::status::service_unavailable ||
    status == boost::beast::http::status::too_many_requests;
  if (notRun == nullptr || !mayComeBack) {
    return;
  }
  constexpr double kRange = std::minstd_rand::max();
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
    ChooseRetryDelay(RetryDelayPolicy{},
                     *notRun,
                     static_cast<double>(environment_.random()) / kRange));
  const auto milliseconds = wait.count();
  SetHeader(aResponse,
            "Retry-After",
            std::to_string(milliseconds / 1000) + "." +
              std::to_string(1000 + milliseconds % 1000).substr(1));
}

asio::awaitable<CallStep>
CallerSide::CallStore(Call& aCall, const ClaimStep& aStep)
{
  auto request = std::visit(
    [](const auto& aRequest) { return StoreCalls::Request(aRequest); },
    aStep.request);
  const auto result = co_await store_.Call(
    std::move(request), Clock::Steady::now() + kStoreCallTimeout);
  co_return aCall.session.FinishClaim(result, clock_.Now());
}

Response
CallerSide::Finish(Call& aCall, const Respond& aRespond)
{
  Response response;
  if (!std::holds_alternative<Answered>(aRespond.outcome)) {
    response = MakeResponse(aRespond.outcome);
  } else if (aRespond.isKeptServerError) {
    response = std::move(aCall.earlierResponse);
  } else {
    response = std::move(aCall.response);
  }
  RemoveHopHeaders(response);
  response.erase(headers::kRequestId);
  FinishAnswer(response, aRespond.outcome);
  SetHeader(
    response, headers::kRetriesLeft, std::to_string(aRespond.retriesLeft));
  SetGeneration(response, aCall.snapshot);
  return response;
}

} // namespace teaselhold::daemon
