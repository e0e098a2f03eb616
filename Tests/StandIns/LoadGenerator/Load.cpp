#include "Tests/StandIns/LoadGenerator/Load.h"

#include "Protocol/Headers.h"

namespace teaselhold::stand_ins {

namespace {

using namespace transport;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace headers = protocol::headers;

constexpr std::size_t kMaxIdleConnections = 64;

std::string
Text(boost::string_view aText)
{
  return { aText.data(), aText.size() };
}

double
Milliseconds(std::chrono::steady_clock::duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

Load::Load(asio::io_context& aContext, LoadOptions aOptions)
  : context_(aContext)
  , options_(std::move(aOptions))
  , pool_(aContext, kMaxIdleConnections)
  , random_(options_.seed)
{
}

asio::awaitable<void>
Load::Work()
{
  asio::steady_timer timer(context_);
  while (next_ < options_.count) {
    const auto number = next_++;
    timer.expires_at(started_ + std::chrono::microseconds(1000000ULL * number /
                                                          options_.rate));
    co_await timer.async_wait(asio::use_awaitable);
    co_await SendOne(number);
  }
}

HttpRequest
Load::MakeRequest(const RequestKind& aKind, const std::string& aId)
{
  HttpRequest request(http::string_to_verb(aKind.method), aKind.path, 11);
  request.set(http::field::host, "mesh");
  request.set("X-Run-Id", aId);
  const auto tenant = random_() % options_.tenants.size();
  request.set(headers::kTenant, options_.tenants[tenant]);
  if (options_.keyedSends > 0 && aKind.requestClass == "order") {
    request.set(headers::kIdempotencyKey, aId);
  }
  request.body() = aId;
  request.prepare_payload();
  return request;
}

asio::awaitable<void>
Load::SendOne(unsigned aNumber)
{
  const auto& kind = options_.kinds[aNumber % options_.kinds.size()];
  const auto id = options_.label + "-" + std::to_string(aNumber);
  const auto request = MakeRequest(kind, id);
  const auto node = aNumber / options_.kinds.size();
  // Which of a pair goes first alternates, so that neither profits from the
  // other's warm caches.
  if (!options_.straight.empty() && aNumber % 2 == 0) {
    co_await SendStraight(request);
  }
  const auto begin = Clock::now();
  auto verdict = co_await SendToNodes(request, node);
  const auto time = Milliseconds(Clock::now() - begin);
  results_.latencies.push_back(time);
  if (!options_.straight.empty() && aNumber % 2 == 1) {
    co_await SendStraight(request);
  }
  const bool isKeyed = request.count(headers::kIdempotencyKey) > 0;
  for (unsigned sends = 1;
       isKeyed && verdict.outcome == "unknown" && sends < options_.keyedSends;
       ++sends) {
    ++results_.resent;
    verdict = co_await SendToNodes(request, node + sends);
  }
  if (!verdict.reason.empty()) {
    ++results_.reasons[verdict.outcome + " " + verdict.reason];
  }
  if (verdict.outcome == "not-run") {
    results_.notRun.push_back(id);
  }
  if (verdict.outcome != "answered") {
    results_.unanswered.push_back(
      id + " class=" + kind.requestClass + " outcome=" + verdict.outcome +
      " reason=" + verdict.reason + " node=" + verdict.node + " error=\"" +
      verdict.error + "\" milliseconds=" + std::to_string(time));
  }
  ++results_.outcomes[kind.requestClass][verdict.outcome];
}

asio::awaitable<Load::Verdict>
Load::SendToNodes(const HttpRequest& aRequest, std::size_t aFirstNode)
{
  Verdict verdict;
  for (std::size_t tried = 0; tried < options_.nodes.size(); ++tried) {
    const auto place = (aFirstNode + tried) % options_.nodes.size();
    const auto answer = co_await pool_.Send(
      options_.nodes[place], aRequest, Clock::now() + options_.timeout);
    verdict = Judge(aRequest, answer);
    verdict.node = options_.nodes[place];
    verdict.error = answer ? "" : answer.error().message;
    // Nothing was run, and another node may take the request.
    const bool isRefused =
      verdict.outcome == "not-run" &&
      (verdict.reason == "connect-failed" || verdict.reason == "draining" ||
       verdict.reason == "not-ready");
    if (!isRefused) {
      break;
    }
    ++results_.otherNodeTried;
  }
  co_return verdict;
}

asio::awaitable<void>
Load::SendStraight(const HttpRequest& aRequest)
{
  const auto begin = Clock::now();
  const auto answer = co_await pool_.Send(
    options_.straight, aRequest, Clock::now() + options_.timeout);
  if (answer && answer->result() == http::status::ok) {
    results_.straightLatencies.push_back(Milliseconds(Clock::now() - begin));
  }
}

Load::Verdict
Load::Judge(const HttpRequest& aRequest, const Answer& aAnswer)
{
  if (!aAnswer) {
    const bool isRefused =
      aAnswer.error().code == TransportErrorCode::ConnectFailed;
    return isRefused ? Verdict{ "not-run", "connect-failed" }
                     : Verdict{ "unknown", "caller-saw-no-answer" };
  }
  Verdict verdict{ Text((*aAnswer)[headers::kOutcome]),
                   Text((*aAnswer)[headers::kReason]) };
  const bool isForeign =
    verdict.outcome == "answered" && aAnswer->result() == http::status::ok &&
    aAnswer->body().find(" " + aRequest.body() + "\n") == std::string::npos;
  if (isForeign) {
    verdict.outcome = "foreign-answer";
  }
  return verdict;
}

} // namespace teaselhold::stand_ins
