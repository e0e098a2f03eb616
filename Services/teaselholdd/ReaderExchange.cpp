#include "Services/teaselholdd/ReaderExchange.h"

#include "Coordination/ReaderMonitor.h"
#include "Protocol/Headers.h"
#include "Services/teaselholdd/HttpHeaders.h"

namespace teaselhold::daemon {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace headers = protocol::headers;
using coordination::ReaderMonitor;
using coordination::ReaderRole;

constexpr std::chrono::milliseconds kAnswerTime{ 500 };

/// Time after which bytes that the peer's host does not acknowledge end a
/// connection.
constexpr std::chrono::milliseconds kSilenceLimit{ 2000 };

transport::HttpClientOptions
MakePoolOptions()
{
  transport::HttpClientOptions options;
  options.maxIdleConnections = 1;
  options.silenceLimit = kSilenceLimit;
  return options;
}

/// @return the longest time if the message names none.
std::chrono::milliseconds
ReadWait(const HttpFields& aMessage)
{
  const auto wait = ReadNumber<std::uint32_t>(aMessage, headers::kReaderWait);
  return std::clamp(wait ? std::chrono::milliseconds(*wait)
                         : ReaderMonitor::kMaxWait,
                    ReaderMonitor::WaitFor(0),
                    ReaderMonitor::kMaxWait);
}

} // namespace

ReaderExchange::ReaderExchange(asio::io_context& aContext, Sink aSink)
  : context_(aContext)
  , sink_(std::move(aSink))
  , pool_(aContext, MakePoolOptions())
{
}

void
ReaderExchange::SetRole(ReaderRole aRole)
{
  if (isStopped_ || aRole == role_) {
    return;
  }
  role_ = aRole;
  EndHolds();
}

void
ReaderExchange::Stop()
{
  SetRole(ReaderRole::Unavailable);
  isStopped_ = true;
}

void
ReaderExchange::EndHolds()
{
  for (const auto& timer : holds_) {
    timer->cancel();
  }
}

void
ReaderExchange::Ask(const coordination::AskReader& aQuestion)
{
  asio::co_spawn(
    context_,
    SendQuestion(aQuestion.call, aQuestion.address, aQuestion.mayWait),
    asio::detached);
}

asio::awaitable<void>
ReaderExchange::SendQuestion(std::uint64_t aCall,
                             std::string aAddress,
                             bool aMayWait)
{
  const auto* path = aMayWait ? headers::kReaderWaitPath : headers::kReaderPath;
  Request question(http::verb::get, path, 11);
  question.set(http::field::host, aAddress);
  const auto start = std::chrono::steady_clock::now();
  const auto cancellation = std::make_shared<transport::Cancellation>();
  auto deadline = start + kAnswerTime;
  if (aMayWait) {
    const auto known = waits_.find(aAddress);
    const auto wait =
      known != waits_.end() ? known->second : ReaderMonitor::kMaxWait;
    SetHeader(question, headers::kReaderWait, std::to_string(wait.count()));
    deadline += wait;
    openQuestion_ = OpenQuestion{ cancellation, start };
  } else {
    // Those who search for a reader may do so because connections are silent.
    pool_.CloseIdle(aAddress);
  }
  const auto answer =
    co_await pool_.Send(aAddress, question, deadline, cancellation);
  if (openQuestion_ && openQuestion_->cancellation == cancellation) {
    openQuestion_.reset();
  }
  auto role = ReaderRole::Unavailable;
  waits_.erase(aAddress);
  if (answer) {
    const auto name = ReadHeader(*answer, headers::kReader);
    role = state::FindEnumValue(coordination::kReaderRoleNames, name)
             .value_or(ReaderRole::Unavailable);
    waits_[aAddress] = ReadWait(*answer);
  }
  sink_({ aCall, role });
}

void
ReaderExchange::CheckReader()
{
  if (openQuestion_ &&
      std::chrono::steady_clock::now() - openQuestion_->since >=
        ReaderMonitor::kMinAgeForCheck) {
    openQuestion_->cancellation->Cancel();
  }
}

asio::awaitable<Response>
ReaderExchange::Serve(Request aQuestion,
                      bool aMayWait,
                      transport::CancellationPointer aCancellation)
{
  if (aMayWait && role_ == ReaderRole::Reading) {
    const auto timer = std::make_shared<Timer>(context_, ReadWait(aQuestion));
    const transport::Cancellation::Scope scope(std::move(aCancellation),
                                               [timer] { timer->cancel(); });
    holds_.insert(timer);
    boost::system::error_code error;
    co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, error));
    holds_.erase(timer);
  }
  if (!aMayWait && role_ == ReaderRole::Following) {
    CheckReader();
  }
  Response response;
  SetHeader(response,
            headers::kReader,
            state::FindEnumName(coordination::kReaderRoleNames, role_));
  if (role_ == ReaderRole::Reading) {
    const auto wait = ReaderMonitor::WaitFor(holds_.size());
    SetHeader(response, headers::kReaderWait, std::to_string(wait.count()));
  }
  co_return response;
}

} // namespace teaselhold::daemon
