#include "Services/teaselholdd/ChangesExchange.h"

#include "Protocol/Headers.h"
#include "Services/teaselholdd/HttpHeaders.h"

namespace teaselhold::daemon {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace headers = protocol::headers;

/// Longer than for other questions: the link of a node that has to ask may be
/// full.
constexpr std::chrono::milliseconds kAnswerTime{ 2000 };

transport::HttpClientOptions
MakePoolOptions()
{
  transport::HttpClientOptions options;
  options.maxIdleConnections = 1;
  return options;
}

} // namespace

ChangesExchange::ChangesExchange(asio::io_context& aContext, Sink aSink)
  : context_(aContext)
  , sink_(std::move(aSink))
  , pool_(aContext, MakePoolOptions())
{
}

void
ChangesExchange::Ask(const coordination::AskChanges& aQuestion)
{
  asio::co_spawn(context_, SendQuestion(aQuestion), asio::detached);
}

asio::awaitable<void>
ChangesExchange::SendQuestion(coordination::AskChanges aQuestion)
{
  Request question(http::verb::get, headers::kChangesPath, 11);
  question.set(http::field::host, aQuestion.address);
  SetHeader(question, headers::kAfter, std::to_string(aQuestion.after));
  const auto deadline = std::chrono::steady_clock::now() + kAnswerTime;
  auto answer =
    co_await pool_.Send(aQuestion.address, question, deadline, nullptr);
  std::string log;
  if (answer && answer->result() == http::status::ok) {
    log = std::move(answer->body());
  }
  sink_({ aQuestion.call, std::move(log) });
}

Response
ChangesExchange::Serve(const Request& aQuestion) const
{
  Response response;
  const auto after = ReadNumber<state::Generation>(aQuestion, headers::kAfter);
  if (after && changes_ != nullptr) {
    response.body() = changes_->After(*after).Serialize();
  }
  return response;
}

} // namespace teaselhold::daemon
