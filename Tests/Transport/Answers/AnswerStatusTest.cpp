#include "Tests/Transport/Answers/Ask.h"

using namespace teaselhold::tests;

// Guards against passing on an answer whose status is none of a final answer.

namespace {

std::string
MakeAnswer(const std::string& aStatus, const Framing& aFraming)
{
  return "HTTP/1.1 " + aStatus + " Text\r\n" + aFraming.fields + "\r\n" +
         aFraming.body;
}

} // namespace

TEST_CASE("A status that is none of an answer is not passed on")
{
  const std::string status = GENERATE("000",
                                      "001",
                                      "042",
                                      "099",
                                      "101",
                                      "600",
                                      "700",
                                      "999",
                                      "20",
                                      "2000",
                                      "+20",
                                      "2x0",
                                      "0x0");
  const auto framing = GENERATE(from_range(kFramings));
  const std::string interim =
    GENERATE("", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Hints\r\n\r\n");
  CAPTURE(status, framing.name, interim);
  CheckUnreadable(
    AskForBroken({ interim + MakeAnswer(status, framing), framing.end }));
}

TEST_CASE("A status that is none of an answer is not taken from a node")
{
  const std::string status = GENERATE("000", "099", "101", "600", "999");
  CAPTURE(status);
  CheckUnreadable(AskForBroken(
    { MakeAnswer(status, kFramings[0]), ConnectionEnd::Kept }, NodeRules()));
}

TEST_CASE("Every status of a final answer is passed on")
{
  const unsigned status =
    GENERATE(200, 206, 299, 302, 400, 421, 499, 500, 503, 599);
  const auto framing = GENERATE(from_range(kFramings));
  CAPTURE(status, framing.name);
  const AnswerServer server(
    { { MakeAnswer(std::to_string(status), framing), framing.end } });
  const auto result = Ask(server.Address(), MakeGet(), PlatformRules());
  REQUIRE(result.has_value());
  CHECK(result->result_int() == status);
  CHECK(result->body() == "hello");
}
