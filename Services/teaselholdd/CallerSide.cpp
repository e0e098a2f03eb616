#include "Services/teaselholdd/CallerSide.h"

#include "Protocol/Headers.h"
#include "Services/teaselholdd/HttpHeaders.h"
#include "Services/teaselholdd/RequestFingerprint.h"
#include "Services/teaselholdd/UpstreamSide.h"

#include <algorithm>

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

/// Tells the caller which configuration routed its request.
void
SetGeneration(Response& aResponse, const RoutingSnapshotPointer& aSnapshot)
{
  const bool isKnown =
    aSnapshot != nullptr && aSnapshot->configuration != nullptr;
  const auto generation =
    isKnown ? aSnapshot->configuration->GetGeneration() : 0;
  SetHeader(aResponse, headers::kGeneration, std::to_string(generation));
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
{
  Request request;
  RoutingSnapshotPointer snapshot;
  unsigned depth;
  std::uint32_t tenantLimit;
  CallSession session;
  Response response;
};

CallerSide::CallerSide(asio::io_context& aContext,
                       const Settings& aSettings,
                       const Clock& aClock,
                       std::uint64_t aIncarnation,
                       UpstreamSide& aUpstreamSide,
                       CallMetrics& aCallMetrics)
  : context_(aContext)
  , clock_(aClock)
  , upstreamSide_(aUpstreamSide)
  , callMetrics_(aCallMetrics)
  , hop_(aContext, aSettings, aClock, aIncarnation, aUpstreamSide)
  , store_(aContext, aSettings.storeAddress)
  , environment_({ aSettings.nodeName,
                   aSettings.dataCentre,
                   aSettings.region,
                   aIncarnation },
                 aIncarnation,
                 aSettings.service)
{
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
  }
  if (refused) {
    // Nothing has been routed yet, so the class is not known.
    callMetrics_.Record(state::RequestClass::Lookup,
                        ReadHeader(aRequest, headers::kTenant),
                        NotRun{ *refused },
                        clock_.Now() - now);
    auto response = MakeResponse(NotRun{ *refused });
    SetGeneration(response, snapshot_);
    co_return response;
  }
  const CallCount count(inFlight_);
  RemoveHopHeaders(aRequest);
  RemoveNodeHeaders(aRequest);
  const auto depth = facts->depth;
  const auto tenantLimit = TenantLimit(facts->tenant);
  const auto tenant = facts->tenant;
  Call call{ std::move(aRequest),
             snapshot_,
             depth,
             tenantLimit,
             CallSession(std::move(*facts), snapshot_, environment_),
             {} };
  auto step = call.session.Start(now);
  while (!std::holds_alternative<Respond>(step)) {
    step = co_await TakeStep(call, step, aCancellation);
  }
  const auto& respond = std::get<Respond>(step);
  const auto* route = call.session.Route();
  callMetrics_.Record(route == nullptr ? state::RequestClass::Lookup
                                       : route->requestClass,
                      tenant,
                      respond.outcome,
                      clock_.Now() - now);
  co_return Finish(call, respond);
}

bool
CallerSide::IsRefusedForDraining(const CallFacts& aFacts) const
{
  const bool isNested = aFacts.depth > 0 && upstreamSide_.InFlight() > 0;
  return draining_ && !isNested;
}

std::optional<CallFacts>
CallerSide::ReadFacts(const Request& aRequest, state::Instant aNow) const
{
  CallFacts facts;
  const auto method = aRequest.method_string();
  facts.method.assign(method.data(), method.size());
  facts.target.assign(aRequest.target().data(), aRequest.target().size());
  facts.retriesLeft = kDefaultRetries;
  auto remaining = std::numeric_limits<std::uint32_t>::max();
  const bool valid =
    ReadName(aRequest, headers::kTenant, kMaxTenantBytes, facts.tenant) &&
    ReadName(
      aRequest, headers::kIdempotencyKey, kMaxKeyBytes, facts.idempotencyKey) &&
    ReadOptional(aRequest, headers::kDepth, facts.depth) &&
    ReadOptional(aRequest, headers::kRetriesLeft, facts.retriesLeft) &&
    ReadOptional(aRequest, headers::kDeadline, remaining);
  if (!valid) {
    return std::nullopt;
  }
  facts.retriesLeft = std::min(facts.retriesLeft, kDefaultRetries);
  facts.deadline = aNow + std::chrono::milliseconds(remaining);
  const bool isNeeded =
    !facts.idempotencyKey.empty() ||
    (snapshot_ != nullptr && !snapshot_->quarantined.empty());
  facts.fingerprint = isNeeded ? FingerprintOf(aRequest) : 0;
  return facts;
}

std::uint32_t
CallerSide::TenantLimit(const std::string& aTenant) const
{
  if (snapshot_ == nullptr || snapshot_->configuration == nullptr) {
    return 0;
  }
  const auto* tenant = snapshot_->configuration->FindTenant(aTenant);
  return tenant == nullptr ? 0 : tenant->maxInFlight;
}

asio::awaitable<CallStep>
CallerSide::TakeStep(Call& aCall,
                     const CallStep& aStep,
                     transport::CancellationPointer aCancellation)
{
  if (const auto* attempt = std::get_if<Attempt>(&aStep)) {
    const NodeHop::Load load{ *aCall.session.Route(),
                              aCall.tenantLimit,
                              aCall.depth };
    auto exchange =
      co_await hop_.Send(aCall.request, load, *attempt, aCancellation);
    if (transport::IsCancelled(aCancellation)) {
      // Nobody reads the answer. The session is destroyed, which gives up the
      // attempt without a mark against the endpoint.
      co_return Respond{ Unknown{ UnknownReason::ConnectionLost }, 0 };
    }
    aCall.response = std::move(exchange.response);
    co_return aCall.session.Finish(
      exchange.outcome, clock_.Now(), exchange.retriesLeft);
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
  auto response = std::holds_alternative<Answered>(aRespond.outcome)
                    ? std::move(aCall.response)
                    : MakeResponse(aRespond.outcome);
  RemoveHopHeaders(response);
  response.erase(headers::kRequestId);
  SetHeader(
    response, headers::kRetriesLeft, std::to_string(aRespond.retriesLeft));
  SetGeneration(response, aCall.snapshot);
  return response;
}

} // namespace teaselhold::daemon
