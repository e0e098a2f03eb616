#include "Services/teaselholdd/ChangesExchange.h"

#include "Coordination/Versions/CheckNews.h"
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
/// For the last check another node is asked soon, and the connection to this
/// one may be silent.
constexpr std::chrono::milliseconds kNewsAnswerTime{ 300 };

transport::HttpClientOptions
MakePoolOptions()
{
  transport::HttpClientOptions options;
  options.maxIdleConnections = 1;
  return options;
}

} // namespace

ChangesExchange::ChangesExchange(asio::io_context& aContext,
                                 const Clock& aClock,
                                 VersionExchange& aVersions,
                                 Sink aSink)
  : context_(aContext)
  , clock_(aClock)
  , versions_(aVersions)
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
  versions_.Tell(question);
  const auto sent = clock_.Now();
  const bool isNews = aQuestion.call == coordination::CheckNews::kCall;
  const auto deadline =
    std::chrono::steady_clock::now() + (isNews ? kNewsAnswerTime : kAnswerTime);
  // A missing version cannot wait for a kept connection that went silent.
  const auto choice = isNews ? transport::ConnectionChoice::Pooled
                             : transport::ConnectionChoice::Fresh;
  auto answer =
    co_await pool_.Send(aQuestion.address, question, deadline, nullptr, choice);
  std::string log;
  if (answer && answer->result() == http::status::ok) {
    versions_.LearnChecked(*answer, sent);
    versions_.Learn(*answer);
    log = std::move(answer->body());
  }
  sink_({ aQuestion.call, std::move(log) });
}

Response
ChangesExchange::Serve(const Request& aQuestion)
{
  const auto arrived = clock_.Now();
  versions_.Learn(aQuestion);
  Response response;
  versions_.Tell(response);
  versions_.TellChecked(response, arrived);
  const auto after = ReadNumber<state::Generation>(aQuestion, headers::kAfter);
  if (after && changes_ != nullptr) {
    response.body() = changes_->After(*after).Serialize();
  }
  return response;
}

} // namespace teaselhold::daemon
