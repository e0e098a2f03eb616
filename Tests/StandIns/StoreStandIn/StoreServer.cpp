#include "Tests/StandIns/StoreStandIn/StoreServer.h"

#include <absl/strings/escaping.h>
#include <charconv>
#include <nlohmann/json.hpp>

namespace teaselhold::stand_in {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Json = nlohmann::json;
using Clock = StoreState::Clock;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr std::size_t kPageItems = 500;
constexpr std::chrono::milliseconds kMaxWait{ 30000 };
constexpr std::chrono::milliseconds kExpiryInterval{ 50 };

HttpResponse
Answer(http::status aStatus, const Json& aBody)
{
  HttpResponse response;
  response.result(aStatus);
  response.set(http::field::content_type, "application/json");
  response.body() = aBody.dump();
  return response;
}

HttpResponse
Refuse(http::status aStatus, const std::string& aReason)
{
  return Answer(aStatus, { { "error", aReason } });
}

/// A lost answer: the connection ends without one.
HttpResponse
BreakOff()
{
  HttpResponse response;
  response.result(http::status::internal_server_error);
  response.keep_alive(false);
  return response;
}

std::string
Unescape(const std::string& aText)
{
  constexpr int kHexBase = 16;
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      int value = 0;
      std::from_chars(&aText[i + 1], &aText[i + 3], value, kHexBase);
      text += static_cast<char>(value);
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

std::string
Parameter(const std::string& aTarget, const std::string& aName)
{
  auto start = aTarget.find('?');
  while (start != std::string::npos) {
    const auto end = aTarget.find('&', start + 1);
    const auto pair = aTarget.substr(start + 1, end - start - 1);
    if (pair.starts_with(aName + "=")) {
      return Unescape(pair.substr(aName.size() + 1));
    }
    start = end;
  }
  return "";
}

std::uint64_t
NumberParameter(const std::string& aTarget, const std::string& aName)
{
  const auto text = Parameter(aTarget, aName);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

Json
ToJson(const StoredItem& aItem)
{
  return { { "key", aItem.key },
           { "value", absl::Base64Escape(aItem.value) },
           { "revision", aItem.revision },
           { "createdRev", aItem.createdRevision },
           { "leaseId", aItem.lease } };
}

std::optional<StoreTransaction>
ReadTransaction(const std::string& aBody)
{
  const auto body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return std::nullopt;
  }
  StoreTransaction transaction;
  for (const auto& row : body.value("expected", Json::array())) {
    transaction.expected.push_back(
      { row.value("key", ""), row.value("revision", std::uint64_t{ 0 }) });
  }
  for (const auto& row : body.value("puts", Json::array())) {
    StorePut put{ row.value("key", ""),
                  "",
                  row.value("leaseId", std::uint64_t{ 0 }) };
    if (!absl::Base64Unescape(row.value("value", ""), &put.value)) {
      return std::nullopt;
    }
    transaction.puts.push_back(std::move(put));
  }
  for (const auto& key : body.value("deletes", Json::array())) {
    transaction.deletes.push_back(key.get<std::string>());
  }
  return transaction;
}

std::chrono::milliseconds
ReadMilliseconds(const std::string& aText)
{
  std::int64_t value = 0;
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  const bool isSeconds = std::string_view(parsed.ptr) == "s";
  return std::chrono::milliseconds(isSeconds ? value * 1000 : value);
}

std::uint64_t
LeaseOf(const std::string& aTarget)
{
  const auto start = aTarget.rfind('/') + 1;
  std::uint64_t lease = 0;
  std::from_chars(&aTarget[start], aTarget.data() + aTarget.size(), lease);
  return lease;
}

bool
IsWrite(const std::string& aTarget)
{
  return aTarget.starts_with("/-/kv-txn") || aTarget.starts_with("/-/kv-lease");
}

} // namespace

StoreServer::StoreServer(asio::io_context& aContext, StoreState& aState)
  : context_(aContext)
  , state_(aState)
  , changed_(aContext, Clock::time_point::max())
{
}

void
StoreServer::WakeWatches()
{
  changed_.cancel();
}

asio::awaitable<void>
StoreServer::ExpireLeases()
{
  asio::steady_timer timer(context_);
  while (true) {
    timer.expires_after(kExpiryInterval);
    co_await timer.async_wait(asio::use_awaitable);
    const auto before = state_.Revision();
    // Leases pause while the store is down.
    if (!faults_.down) {
      state_.ExpireLeases(Clock::now());
    }
    if (state_.Revision() != before) {
      WakeWatches();
    }
  }
}

asio::awaitable<HttpResponse>
StoreServer::Serve(HttpRequest aRequest)
{
  const std::string target(aRequest.target().data(), aRequest.target().size());
  if (target.starts_with("/stand-in/")) {
    co_return Control(target, aRequest.body());
  }
  if (faults_.delay.count() > 0) {
    asio::steady_timer timer(context_, faults_.delay);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (faults_.down) {
    co_return faults_.reset
      ? BreakOff()
      : Refuse(http::status::service_unavailable, "the store is down");
  }
  const bool isWrite = IsWrite(target);
  const bool isRenewal = target.starts_with("/-/kv-keep/");
  auto& counters = state_.Counters();
  ++(isWrite ? counters.writes
             : (isRenewal ? counters.renewals : counters.reads));
  const bool isAdmitted =
    isRenewal || (isWrite ? state_.AdmitWrite(Clock::now())
                          : state_.AdmitRead(Clock::now()));
  if (!isAdmitted) {
    co_return Refuse(http::status::too_many_requests, "over the rate");
  }
  Response response;
  const auto before = state_.Revision();
  if (target.starts_with("/-/kv-watch")) {
    ++counters.watches;
    response = co_await Watch(target);
  } else if (target.starts_with("/-/kv-key")) {
    response = ReadKey(target);
  } else if (target.starts_with("/-/kv-range")) {
    response = ReadRange(target);
  } else if (target.starts_with("/-/kv-txn")) {
    response = Transact(aRequest.body());
  } else if (isRenewal) {
    response = RenewLease(target);
  } else if (target.starts_with("/-/kv-lease-end/")) {
    response = EndLease(target);
  } else if (target.starts_with("/-/kv-lease")) {
    response = GrantLease(aRequest.body());
  } else {
    response = Refuse(http::status::not_found, "no such call");
  }
  if (state_.Revision() != before) {
    WakeWatches();
  }
  co_return response;
}

HttpResponse
StoreServer::ReadKey(const std::string& aTarget)
{
  const auto* item = state_.Find(Parameter(aTarget, "key"));
  if (item == nullptr) {
    return Answer(http::status::not_found, { { "atRev", state_.Revision() } });
  }
  auto body = ToJson(*item);
  body["atRev"] = state_.Revision();
  state_.Counters().bytes += item->value.size();
  return Answer(http::status::ok, body);
}

HttpResponse
StoreServer::ReadRange(const std::string& aTarget)
{
  auto items = state_.Range(
    Parameter(aTarget, "prefix"), Parameter(aTarget, "after"), kPageItems + 1);
  const bool hasMore = items.size() > kPageItems;
  items.resize(std::min(items.size(), kPageItems));
  Json body{ { "items", Json::array() },
             { "hasMore", hasMore },
             { "atRev", state_.Revision() } };
  for (const auto* item : items) {
    body["items"].push_back(ToJson(*item));
    state_.Counters().bytes += item->value.size();
  }
  return Answer(http::status::ok, body);
}

asio::awaitable<HttpResponse>
StoreServer::Watch(std::string aTarget)
{
  const auto prefix = Parameter(aTarget, "prefix");
  const auto after = NumberParameter(aTarget, "after");
  const auto wait = std::min<std::chrono::milliseconds>(
    std::chrono::milliseconds(NumberParameter(aTarget, "waitMs")), kMaxWait);
  const auto deadline = Clock::now() + wait;
  const auto outage = outages_;
  auto& counters = state_.Counters();
  ++counters.waitingWatches;
  std::optional<std::vector<StoreEvent>> events;
  while (true) {
    events = state_.EventsAfter(prefix, after);
    const bool isOver = !events || !events->empty() ||
                        Clock::now() >= deadline || outage != outages_;
    if (isOver) {
      break;
    }
    asio::steady_timer timer(context_, deadline);
    // The first of the two ends the wait.
    changed_.async_wait([&timer](const boost::system::error_code& aError) {
      if (aError == asio::error::operation_aborted) {
        timer.cancel();
      }
    });
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      // Releases the handler that refers to the timer.
      changed_.cancel();
      co_await asio::post(context_, asio::use_awaitable);
    }
  }
  --counters.waitingWatches;
  if (outage != outages_) {
    co_return BreakOff();
  }
  if (!events) {
    co_return Refuse(http::status::gone, "this history is gone");
  }
  Json body{ { "events", Json::array() }, { "atRev", state_.Revision() } };
  for (const auto& event : *events) {
    counters.bytes += event.item ? event.item->value.size() : 0;
    body["events"].push_back(event.item ? ToJson(*event.item)
                                        : Json{ { "key", event.key },
                                                { "revision", event.revision },
                                                { "tombstone", true } });
  }
  co_return Answer(http::status::ok, body);
}

asio::awaitable<void>
StoreServer::ApplyLater(StoreTransaction aTransaction)
{
  asio::steady_timer timer(context_, faults_.lateWrites);
  co_await timer.async_wait(asio::use_awaitable);
  state_.Apply(aTransaction);
  WakeWatches();
}

HttpResponse
StoreServer::Transact(const std::string& aBody)
{
  auto transaction = ReadTransaction(aBody);
  if (!transaction) {
    return Refuse(http::status::bad_request, "the body cannot be read");
  }
  const bool isLost = faults_.loseWriteAnswers > 0;
  faults_.loseWriteAnswers -= isLost ? 1 : 0;
  if (isLost && faults_.lateWrites.count() > 0) {
    asio::co_spawn(
      context_, ApplyLater(std::move(*transaction)), asio::detached);
    return BreakOff();
  }
  const auto verdict = state_.Apply(*transaction);
  if (isLost) {
    return BreakOff();
  }
  if (verdict == TransactionVerdict::NoSuchLease) {
    return Refuse(http::status::not_found, "no such lease");
  }
  if (verdict == TransactionVerdict::TooLarge) {
    return Refuse(http::status::payload_too_large, "the value is too large");
  }
  if (verdict == TransactionVerdict::Done) {
    return Answer(http::status::ok, { { "revision", state_.Revision() } });
  }
  Json items = Json::array();
  for (const auto& condition : transaction->expected) {
    if (const auto* item = state_.Find(condition.key)) {
      items.push_back(ToJson(*item));
    }
  }
  return Answer(http::status::precondition_failed, { { "items", items } });
}

HttpResponse
StoreServer::GrantLease(const std::string& aBody)
{
  const auto body = Json::parse(aBody, nullptr, false);
  const auto text = body.is_object() ? body.value("ttl_time", "") : "";
  const auto time = ReadMilliseconds(text);
  if (time.count() <= 0) {
    return Refuse(http::status::bad_request, "ttl_time is missing");
  }
  return Answer(
    http::status::ok,
    { { "leaseId", state_.Grant(time, Clock::now()) }, { "ttl_time", text } });
}

HttpResponse
StoreServer::RenewLease(const std::string& aTarget)
{
  const auto time = state_.Renew(LeaseOf(aTarget), Clock::now());
  if (!time) {
    return Refuse(http::status::not_found, "the lease has ended");
  }
  return Answer(http::status::ok,
                { { "ttl_time", std::to_string(time->count()) + "ms" } });
}

HttpResponse
StoreServer::EndLease(const std::string& aTarget)
{
  return state_.EndLease(LeaseOf(aTarget))
           ? Answer(http::status::ok, Json::object())
           : Refuse(http::status::not_found, "the lease has ended");
}

HttpResponse
StoreServer::Control(const std::string& aPath, const std::string& aBody)
{
  if (aPath == "/stand-in/counters") {
    const auto& counters = state_.Counters();
    return Answer(http::status::ok,
                  { { "reads", counters.reads },
                    { "writes", counters.writes },
                    { "renewals", counters.renewals },
                    { "watches", counters.watches },
                    { "waiting_watches", counters.waitingWatches },
                    { "refused_over_rate", counters.refusedOverRate },
                    { "bytes", counters.bytes } });
  }
  const auto body = Json::parse(aBody, nullptr, false);
  if (aPath != "/stand-in/faults" || !body.is_object()) {
    return Refuse(http::status::not_found, "unknown control call");
  }
  const bool wasDown = faults_.down;
  faults_.down = body.value("down", false);
  faults_.reset = body.value("reset", false);
  faults_.delay =
    std::chrono::milliseconds(body.value("delay_milliseconds", 0));
  faults_.loseWriteAnswers = body.value("lose_write_answers", 0U);
  faults_.lateWrites =
    std::chrono::milliseconds(body.value("late_writes_milliseconds", 0));
  if (body.value("lapse_leases", false)) {
    state_.LapseLeases();
  }
  if (body.value("compact", false)) {
    state_.Compact();
  }
  if (body.contains("revoke")) {
    state_.Revoke(body.value("revoke", ""));
  }
  const auto restored = body.value("restore_previous_value_of", "");
  if (!restored.empty()) {
    state_.RestorePreviousValue(restored);
  }
  outages_ += faults_.down && !wasDown ? 1 : 0;
  WakeWatches();
  return Answer(http::status::ok, Json::object());
}

} // namespace teaselhold::stand_in
