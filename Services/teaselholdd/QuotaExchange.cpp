#include "Services/teaselholdd/QuotaExchange.h"

#include "Protocol/Headers.h"
#include "Services/teaselholdd/HttpHeaders.h"

#include <spdlog/spdlog.h>

namespace teaselhold::daemon {

namespace {

using namespace coordination;
using namespace coordination::quotas;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace headers = protocol::headers;

/// Nodes answer in a few milliseconds unless their processor is busy.
constexpr std::chrono::milliseconds kAnswerTime{ 250 };

/// A request waits for credit for this time, in which two lenders can be asked
/// one after the other.
constexpr std::chrono::milliseconds kMaxWait{ 400 };
/// For a request that waited in vain.
constexpr std::chrono::milliseconds kRetryTime{ 200 };

/// Time after which bytes that the peer's host does not acknowledge end a
/// connection.
constexpr std::chrono::milliseconds kSilenceLimit{ 2000 };

/// The listing changes many times a second in a large fleet, mostly in what
/// does not matter here.
constexpr std::chrono::milliseconds kListingInterval{ 500 };
constexpr std::chrono::seconds kMetricsInterval{ 1 };

transport::HttpClientOptions
MakePoolOptions()
{
  transport::HttpClientOptions options;
  options.maxIdleConnections = 2;
  options.silenceLimit = kSilenceLimit;
  return options;
}

QuotaOptions
OptionsOf(const Settings& aSettings)
{
  QuotaOptions options;
  options.window = aSettings.quotaWindow;
  options.overage = aSettings.quotaOverage;
  options.slack = aSettings.quotaSlack;
  return options;
}

} // namespace

QuotaExchange::QuotaExchange(asio::io_context& aContext,
                             const Settings& aSettings,
                             const Clock& aClock,
                             std::uint64_t aIncarnation)
  : context_(aContext)
  , settings_(aSettings)
  , clock_(aClock)
  , quotas_({ aSettings.nodeName, aIncarnation, aSettings.dataCentre },
            OptionsOf(aSettings),
            aClock.Now())
  , pool_(aContext, MakePoolOptions())
{
}

namespace {

/// Logs the accounts whose limit is another one than before.
void
LogChangedLimits(const RoutingSnapshotPointer& aBefore,
                 const RoutingSnapshotPointer& aAfter)
{
  if (aBefore == nullptr || aBefore->configuration == nullptr ||
      aAfter->configuration == nullptr ||
      aBefore->configuration == aAfter->configuration) {
    return;
  }
  for (const auto& account : aAfter->configuration->Accounts()) {
    const auto* before = aBefore->configuration->FindAccount(account.name);
    if (before != nullptr &&
        (before->requestsPerSecond != account.requestsPerSecond ||
         before->burst != account.burst)) {
      spdlog::info("[quota] Limit changed. account={} rate={} burst={} "
                   "earlier_rate={} earlier_burst={}",
                   account.name,
                   account.requestsPerSecond,
                   account.burst,
                   before->requestsPerSecond,
                   before->burst);
    }
  }
}

} // namespace

void
QuotaExchange::SetSnapshot(const RoutingSnapshotPointer& aSnapshot)
{
  LogChangedLimits(snapshot_, aSnapshot);
  snapshot_ = aSnapshot;
  Commands commands;
  quotas_.SetConfiguration(aSnapshot->configuration, clock_.Now(), commands);
  Do(commands);
  if (quotas_.IsActive() && !isTicking_) {
    isTicking_ = true;
    asio::co_spawn(context_, RunTicks(), asio::detached);
  }
}

void
QuotaExchange::OnSettings()
{
  quotas_.SetOptions(OptionsOf(settings_), clock_.Now());
}

void
QuotaExchange::Leave()
{
  Commands commands;
  quotas_.Leave(clock_.Now(), commands);
  Do(commands);
}

asio::awaitable<tl::expected<QuotaExchange::Credit, NotRun>>
QuotaExchange::Acquire(std::string aAccount, state::Instant aDeadline)
{
  const auto end = std::min(aDeadline, clock_.Now() + kMaxWait);
  for (bool isFirst = true;; isFirst = false) {
    Commands commands;
    const auto result = quotas_.Take(aAccount, isFirst, clock_.Now(), commands);
    Do(commands);
    if (const auto* credit = std::get_if<quotas::Credit>(&result)) {
      co_return Credit(*this, aAccount, *credit);
    }
    if (const auto* none = std::get_if<NoCredit>(&result)) {
      co_return tl::make_unexpected(
        NotRun{ NotRunReason::QuotaExceeded, none->retryAfter });
    }
    const auto timer = std::make_shared<Timer>(context_, clock_.ToSteady(end));
    waiters_[aAccount].insert(timer);
    boost::system::error_code error;
    co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, error));
    waiters_[aAccount].erase(timer);
    quotas_.EndWait(aAccount);
    if (clock_.Now() >= end) {
      quotas_.RecordRefusal(aAccount);
      co_return tl::make_unexpected(
        NotRun{ NotRunReason::QuotaExceeded, kRetryTime });
    }
  }
}

void
QuotaExchange::Credit::Finish(const Outcome& aOutcome)
{
  if (std::holds_alternative<NotRun>(aOutcome)) {
    exchange_.quotas_.GiveBack(account_, credit_, exchange_.clock_.Now());
  }
}

void
QuotaExchange::Do(const Commands& aCommands)
{
  for (const auto& command : aCommands) {
    if (const auto* send = std::get_if<SendQuestions>(&command)) {
      asio::co_spawn(context_, Send(*send), asio::detached);
      continue;
    }
    const auto waiters = waiters_.find(std::get<WakeAccount>(command).account);
    if (waiters != waiters_.end()) {
      for (const auto& timer : waiters->second) {
        timer->cancel();
      }
    }
  }
}

asio::awaitable<void>
QuotaExchange::Send(SendQuestions aCommand)
{
  Request request(http::verb::post, headers::kCreditPath, 11);
  request.set(http::field::host, aCommand.address);
  request.body() = Encode(aCommand.message);
  request.prepare_payload();
  ++messages_;
  const auto response =
    co_await pool_.Send(aCommand.address,
                        request,
                        std::chrono::steady_clock::now() + kAnswerTime,
                        nullptr);
  std::optional<AnswerMessage> answer;
  if (response && response->result() == http::status::ok) {
    answer = DecodeAnswers(response->body());
  }
  failedMessages_ += answer ? 0 : 1;
  Commands commands;
  quotas_.OnAnswer(
    aCommand.call, answer ? &*answer : nullptr, clock_.Now(), commands);
  Do(commands);
}

Response
QuotaExchange::Serve(const Request& aRequest)
{
  Response response;
  const auto message = DecodeQuestions(aRequest.body());
  if (!message) {
    response.result(http::status::bad_request);
    return response;
  }
  response.body() = Encode(quotas_.OnQuestions(*message, clock_.Now()));
  return response;
}

asio::awaitable<void>
QuotaExchange::RunTicks()
{
  Timer timer(context_);
  while (quotas_.IsActive()) {
    Tick();
    timer.expires_after(Quotas::kTick);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
  isTicking_ = false;
}

void
QuotaExchange::Tick()
{
  const auto now = clock_.Now();
  if (now >= nextListing_) {
    nextListing_ = now + kListingInterval;
    TakeListing();
  }
  Commands commands;
  quotas_.Tick(now, commands);
  Do(commands);
  if (now >= nextMetrics_) {
    nextMetrics_ = now + kMetricsInterval;
    LogLending();
    LogRefusals();
    CopyMetrics();
  }
}

void
QuotaExchange::TakeListing()
{
  if (snapshot_->endpoints != nullptr && snapshot_->endpoints != listing_) {
    listing_ = snapshot_->endpoints;
    quotas_.SetNodes(*listing_, clock_.Now());
  }
}

void
QuotaExchange::LogLending()
{
  const auto lent = quotas_.PositionsLent(clock_.Now());
  if (lent != loggedLent_) {
    spdlog::info("[quota] Positions that this node lends for. now={} before={}",
                 lent,
                 loggedLent_);
    loggedLent_ = lent;
  }
}

void
QuotaExchange::LogRefusals()
{
  for (const auto& [account, counts] : quotas_.Counts()) {
    auto& logged = loggedRefusals_[account];
    if (counts.refused > logged) {
      spdlog::info("[quota] Requests beyond the limit are refused. account={} "
                   "refused={} refused_in_total={} granted_in_total={}",
                   account,
                   counts.refused - logged,
                   counts.refused,
                   counts.granted);
      logged = counts.refused;
    }
  }
}

void
QuotaExchange::CopyMetrics()
{
  QuotaMetrics copy;
  copy.accounts = quotas_.Counts();
  copy.positionsLent = quotas_.PositionsLent(clock_.Now());
  copy.messages = messages_;
  copy.failedMessages = failedMessages_;
  const std::scoped_lock lock(metricsMutex_);
  metrics_ = std::move(copy);
}

QuotaMetrics
QuotaExchange::Metrics() const
{
  const std::scoped_lock lock(metricsMutex_);
  return metrics_;
}

} // namespace teaselhold::daemon
