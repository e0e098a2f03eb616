#include "Services/teaselholdd/NodeHop.h"

#include "Protocol/Headers.h"
#include "Services/teaselholdd/HttpHeaders.h"
#include "Services/teaselholdd/UpstreamSide.h"

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace asio = boost::asio;
namespace headers = protocol::headers;

constexpr std::size_t kMaxIdlePerPeer = 64;

/// Time after which bytes that the peer's host does not acknowledge end a
/// connection, so that a request on it is not lost until its deadline.
constexpr std::chrono::milliseconds kSilenceLimit{ 2000 };

/// The caller has waited until its deadline already, so the question whether a
/// request arrived is short.
constexpr std::chrono::milliseconds kArrivalTimeout{ 220 };

transport::HttpClientOptions
MakePoolOptions(const Settings& aSettings)
{
  transport::HttpClientOptions options;
  options.maxIdleConnections = kMaxIdlePerPeer;
  // On the platform the kernel's keep-alive probes do, at a lower price.
  if (aSettings.environment == Environment::Standalone) {
    options.probePath = headers::kProbePath;
  }
  options.silenceLimit = kSilenceLimit;
  return options;
}

} // namespace

NodeHop::NodeHop(asio::io_context& aContext,
                 const Settings& aSettings,
                 const Clock& aClock,
                 std::uint64_t aIncarnation,
                 UpstreamSide& aLocal,
                 VersionExchange& aVersions)
  : settings_(aSettings)
  , clock_(aClock)
  , incarnation_(aIncarnation)
  , local_(aLocal)
  , versions_(aVersions)
  , pool_(aContext, MakePoolOptions(aSettings))
  , idPrefix_(aSettings.nodeName + "/" + std::to_string(aIncarnation) + "/")
{
}

asio::awaitable<Exchange>
NodeHop::Send(Request& aRequest,
              const Load& aLoad,
              const Attempt& aAttempt,
              transport::CancellationPointer aCancellation)
{
  if (clock_.Now() >= aAttempt.carriedDeadline) {
    co_return Exchange{ NotRun{ NotRunReason::DeadlineExceeded }, {}, 0 };
  }
  RemoveNodeHeaders(aRequest);
  SetNodeHeaders(aRequest, aLoad, aAttempt);
  const auto& endpoint = *aAttempt.endpoint;
  const bool isLocal =
    endpoint.node == settings_.nodeName && endpoint.incarnation == incarnation_;
  Exchange exchange;
  // GCC 12 destroys the operands of a conditional expression twice if they
  // contain co_await.
  if (isLocal && settings_.environment == Environment::Platform) {
    // The platform's callers are on this host, so that the answer does not use
    // the link.
    aRequest.erase(headers::kAnswerBytes);
  }
  if (isLocal) {
    exchange = co_await local_.ServeLocal(aRequest, std::move(aCancellation));
  } else {
    exchange =
      co_await SendRemote(aRequest, aLoad, aAttempt, std::move(aCancellation));
  }
  versions_.Rollouts().LearnEvidence(endpoint, exchange.response);
  exchange.retriesLeft =
    ReadNumber<unsigned>(exchange.response, headers::kRetriesLeft).value_or(0);
  co_return exchange;
}

asio::awaitable<Exchange>
NodeHop::SendRemote(Request& aRequest,
                    const Load& aLoad,
                    const Attempt& aAttempt,
                    transport::CancellationPointer aCancellation)
{
  const auto id = idPrefix_ + std::to_string(nextRequest_++);
  SetHeader(aRequest, headers::kRequestId, id);
  versions_.Tell(aRequest);
  const auto sent = clock_.Now();
  local_.RecordSent(aRequest.body().size());
  if (aRequest.body().size() >= kOfferedBytes) {
    // A refusal then costs none of the body's bytes.
    aRequest.set(boost::beast::http::field::expect, "100-continue");
  }
  auto answer = co_await pool_.Send(aAttempt.endpoint->dataAddress,
                                    aRequest,
                                    clock_.ToSteady(aAttempt.deadline),
                                    aCancellation);
  if (!answer) {
    auto outcome = ToOutcome(answer.error());
    // A call that may be repeated anyway is not worth the question.
    const bool isDoubtful = std::holds_alternative<Unknown>(outcome) &&
                            !aLoad.route.isIdempotent &&
                            !transport::IsCancelled(aCancellation);
    bool neverArrived = false;
    if (isDoubtful) {
      neverArrived = co_await NeverArrived(*aAttempt.endpoint, id);
    }
    if (neverArrived) {
      outcome = NotRun{ NotRunReason::NeverArrived };
    }
    co_return Exchange{ outcome, {}, 0 };
  }
  if (ReadHeader(*answer, headers::kRequestId) != id) {
    pool_.CloseIdle(aAttempt.endpoint->dataAddress);
    co_return Exchange{ Unknown{ UnknownReason::CrossedAnswer }, {}, 0 };
  }
  versions_.LearnAttested(*answer, sent);
  versions_.LearnChecked(*answer, sent);
  versions_.Learn(*answer);
  const auto outcome = ReadOutcome(*answer);
  co_return Exchange{ outcome, std::move(*answer), 0 };
}

asio::awaitable<bool>
NodeHop::NeverArrived(const state::EndpointRecord& aEndpoint, std::string aId)
{
  Request question(boost::beast::http::verb::get, headers::kArrivalPath, 11);
  question.set(boost::beast::http::field::host, aEndpoint.dataAddress);
  SetHeader(question, headers::kRequestId, aId);
  SetHeader(
    question, headers::kExecutor, std::to_string(aEndpoint.incarnation));
  const auto answer =
    co_await pool_.Send(aEndpoint.dataAddress,
                        question,
                        Clock::Steady::now() + kArrivalTimeout,
                        nullptr,
                        transport::ConnectionChoice::Fresh);
  co_return answer&& ReadHeader(*answer, headers::kReason) ==
    state::FindEnumName(kNotRunReasonNames, NotRunReason::NeverArrived);
}

void
NodeHop::SetNodeHeaders(Request& aRequest,
                        const Load& aLoad,
                        const Attempt& aAttempt) const
{
  const auto& route = aLoad.route;
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    aAttempt.carriedDeadline - clock_.Now());
  SetHeader(aRequest, headers::kService, aLoad.service);
  versions_.Rollouts().MarkRequest(
    aRequest, aLoad.service, route.name, aAttempt.rolloutOrder);
  SetHeader(aRequest,
            headers::kClass,
            state::FindEnumName(state::kRequestClassNames, route.requestClass));
  SetHeader(aRequest, headers::kIdempotent, route.isIdempotent ? "yes" : "no");
  if (aLoad.priority != state::kDefaultPriority) {
    SetHeader(aRequest, headers::kPriority, std::to_string(aLoad.priority));
  }
  SetHeader(aRequest, headers::kDeadline, std::to_string(remaining.count()));
  SetHeader(
    aRequest, headers::kRetriesLeft, std::to_string(aAttempt.retriesLeft));
  SetHeader(aRequest, headers::kDepth, std::to_string(aLoad.depth + 1));
  if (aAttempt.maxWait) {
    const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(*aAttempt.maxWait);
    SetHeader(aRequest, headers::kMaxWait, std::to_string(wait.count()));
  }
  if (aAttempt.usefulWait) {
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
      *aAttempt.usefulWait);
    SetHeader(aRequest, headers::kUsefulWait, std::to_string(wait.count()));
  }
  if (aAttempt.largeAnswer) {
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
      aAttempt.largeAnswer->maxTime);
    SetHeader(aRequest,
              headers::kAnswerBytes,
              std::to_string(aAttempt.largeAnswer->bytes));
    SetHeader(aRequest, headers::kAnswerTime, std::to_string(time.count()));
  }
  if (aAttempt.isFinalTry) {
    SetHeader(aRequest, headers::kFinalTry, "yes");
  }
  if (aLoad.tenantLimit > 0) {
    SetHeader(
      aRequest, headers::kTenantLimit, std::to_string(aLoad.tenantLimit));
  }
  if (aAttempt.claim) {
    const auto& claim = *aAttempt.claim;
    SetHeader(aRequest, headers::kExecutor, std::to_string(claim.incarnation));
    SetHeader(aRequest,
              headers::kClaim,
              std::to_string(claim.epoch) + (claim.mayStart ? ";start" : ""));
  }
}

} // namespace teaselhold::daemon
