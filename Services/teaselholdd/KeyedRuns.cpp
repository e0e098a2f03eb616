#include "Services/teaselholdd/KeyedRuns.h"

#include <sstream>

namespace teaselhold::daemon {

namespace {

using namespace coordination;
namespace asio = boost::asio;
namespace http = boost::beast::http;

Exchange
MakeExchange(const Outcome& aOutcome)
{
  return { aOutcome, MakeResponse(aOutcome), 0 };
}

/// Writes an answer as HTTP/1.1 text.
state::StoredAnswer
Store(const Response& aResponse)
{
  auto response = aResponse;
  response.content_length(response.body().size());
  std::ostringstream text;
  text << response;
  return { response.result_int(), text.str() };
}

Exchange
Restore(const state::StoredAnswer& aAnswer)
{
  http::response_parser<http::string_body> parser;
  parser.body_limit(transport::kMaxBodyBytes);
  parser.eager(true);
  boost::system::error_code error;
  parser.put(asio::buffer(aAnswer.content), error);
  if (error || !parser.is_done()) {
    return MakeExchange(Unknown{ UnknownReason::Forgotten });
  }
  return { Answered{ aAnswer.status }, parser.release(), 0 };
}

} // namespace

KeyedRuns::KeyedRuns(asio::io_context& aContext, const Clock& aClock)
  : context_(aContext)
  , clock_(aClock)
{
}

asio::awaitable<Exchange>
KeyedRuns::Serve(state::KeyedDelivery aDelivery,
                 state::Instant aDeadline,
                 RunFunction aRun)
{
  aDelivery.id = nextDelivery_++;
  const auto verdict = ledger_.Arrive(aDelivery, clock_.Now());
  if (std::holds_alternative<state::StartRun>(verdict)) {
    co_return co_await Start(std::move(aDelivery.name), std::move(aRun));
  }
  if (std::holds_alternative<state::JoinRun>(verdict)) {
    co_return co_await Join(aDelivery.id, aDeadline);
  }
  if (const auto* replay = std::get_if<state::ReplayAnswer>(&verdict)) {
    co_return Restore(*replay->answer);
  }
  if (const auto* lost = std::get_if<state::LostRun>(&verdict)) {
    co_return MakeExchange(Unknown{ lost->duringRun
                                      ? UnknownReason::UpstreamCrashed
                                      : UnknownReason::Forgotten });
  }
  const bool isMismatch = std::holds_alternative<state::MismatchedKey>(verdict);
  co_return MakeExchange(NotRun{ isMismatch ? NotRunReason::KeyMismatch
                                            : NotRunReason::KeyRefused });
}

asio::awaitable<Exchange>
KeyedRuns::Start(std::string aName, RunFunction aRun)
{
  auto exchange = MakeExchange(Unknown{ UnknownReason::ConnectionLost });
  std::exception_ptr failure;
  try {
    exchange = co_await aRun();
  } catch (...) {
    failure = std::current_exception();
  }
  Conclude(aName, exchange);
  if (failure) {
    std::rethrow_exception(failure);
  }
  co_return exchange;
}

void
KeyedRuns::Conclude(const std::string& aName, const Exchange& aExchange)
{
  const auto now = clock_.Now();
  if (std::holds_alternative<Answered>(aExchange.outcome)) {
    Release(ledger_.Answer(aName, Store(aExchange.response), now), aExchange);
  } else if (std::holds_alternative<NotRun>(aExchange.outcome)) {
    Release(ledger_.Refuse(aName, now),
            MakeExchange(NotRun{ NotRunReason::KeyRefused }));
  } else {
    Release(ledger_.Lose(aName, now), aExchange);
  }
}

asio::awaitable<Exchange>
KeyedRuns::Join(std::uint64_t aId, state::Instant aDeadline)
{
  const auto waiter = std::make_shared<Waiter>(Waiter{
    asio::steady_timer(context_, clock_.ToSteady(aDeadline)), std::nullopt });
  joined_.emplace(aId, waiter);
  boost::system::error_code error;
  co_await waiter->timer.async_wait(
    asio::redirect_error(asio::use_awaitable, error));
  joined_.erase(aId);
  if (!waiter->result) {
    co_return MakeExchange(Unknown{ UnknownReason::Timeout });
  }
  co_return std::move(*waiter->result);
}

void
KeyedRuns::Release(const std::vector<std::uint64_t>& aJoined,
                   const Exchange& aExchange)
{
  for (const auto id : aJoined) {
    const auto found = joined_.find(id);
    if (found != joined_.end()) {
      found->second->result = aExchange;
      found->second->timer.cancel();
    }
  }
}

} // namespace teaselhold::daemon
