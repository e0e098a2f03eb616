#include "Services/teaselholdd/ReaderExchange.h"

#include "Protocol/Headers.h"
#include "Services/teaselholdd/HttpHeaders.h"

namespace teaselhold::daemon {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace headers = protocol::headers;
using coordination::ReaderRole;

/// How long a question is held back. Each costs about 500 bytes with its
/// answer, and a reader of a large fleet gets those of its share of the nodes.
constexpr std::chrono::seconds kHoldTime{ 10 };
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
  auto deadline = std::chrono::steady_clock::now() + kAnswerTime;
  deadline += aMayWait ? kHoldTime : kHoldTime * 0;
  const auto answer =
    co_await pool_.Send(aAddress, question, deadline, nullptr);
  auto role = ReaderRole::Unavailable;
  if (answer) {
    const auto name = ReadHeader(*answer, headers::kReader);
    role = state::FindEnumValue(coordination::kReaderRoleNames, name)
             .value_or(ReaderRole::Unavailable);
  }
  sink_({ aCall, role });
}

asio::awaitable<Response>
ReaderExchange::Serve(bool aMayWait,
                      transport::CancellationPointer aCancellation)
{
  if (aMayWait && role_ == ReaderRole::Reading) {
    const auto timer = std::make_shared<Timer>(context_, kHoldTime);
    const transport::Cancellation::Scope scope(std::move(aCancellation),
                                               [timer] { timer->cancel(); });
    holds_.insert(timer);
    boost::system::error_code error;
    co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, error));
    holds_.erase(timer);
  }
  Response response;
  SetHeader(response,
            headers::kReader,
            state::FindEnumName(coordination::kReaderRoleNames, role_));
  co_return response;
}

} // namespace teaselhold::daemon
