#include "Tests/Transport/Answers/Ask.h"

using namespace teaselhold;
using namespace teaselhold::tests;

// Guards against the promise that a request has not run, given for a peer that
// sent bytes which are no answer in place of the invitation for the body. A
// peer that is in no state to answer is in none to promise either.

namespace {

AskResult
Offer(const std::string& aAnswer)
{
  auto request = MakePost(100000);
  request.set(boost::beast::http::field::expect, "100-continue");
  return AskForBroken(
    { aAnswer, ConnectionEnd::Closed, false }, NodeRules(), request);
}

} // namespace

TEST_CASE("An unreadable answer in place of an invitation promises nothing")
{
  const std::string answer =
    GENERATE("HTTP/1.1 000 Text\r\nContent-Length: 5\r\n\r\nhello",
             "HTTP/1.1 101 Text\r\n\r\n",
             "HTTP/1.1 600 Text\r\nContent-Length: 5\r\n\r\nhello",
             "HTTP/1.1 503 Text\r\nX Bad: a\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 503 Text\r\nContent-Length: 5\r\n\r\nhell",
             "HTTP/1.1 503 Text\r\nContent-Le",
             "HTTP/1.1 503 Text\r\n\r\nhello",
             "SSH-2.0-server\r\n");
  CAPTURE(answer);
  CheckUnreadable(Offer(answer));
}

TEST_CASE("An offered body that is refused or not asked for did not run")
{
  const AnswerServer refusing(
    { { "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
        ConnectionEnd::Kept,
        false } });
  auto request = MakePost(100000);
  request.set(boost::beast::http::field::expect, "100-continue");
  const auto refused = Ask(refusing.Address(), request, NodeRules());
  REQUIRE(refused.has_value());
  CHECK(refused->result_int() == 503);
  const AnswerServer closing({ { "", ConnectionEnd::Closed, false } });
  const auto closed = Ask(closing.Address(), request, NodeRules());
  REQUIRE_FALSE(closed.has_value());
  CHECK(closed.error().code == transport::TransportErrorCode::ConnectFailed);
}
