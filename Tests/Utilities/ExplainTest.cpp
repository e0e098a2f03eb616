#include "Tests/Utilities/ToolRun.h"
#include "Utilities/teaselctl/Explanation.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace teaselhold::tool;

namespace {

/// The node that the caller reached.
const std::string kCallLog =
  "2026-01-14T12:00:00.000+00:00 info [node] Started. name=a-6 service=x\n"
  "2026-01-14T12:00:01.000+00:00 info [config] Version in force. "
  "generation=5 revision=9 routes=3\n"
  "2026-01-14T12:01:00.010+00:00 warning [call] Ended. id=45 route=r-a "
  "service=s node=b-2 outcome=not-run reason=draining status=0 attempts=0 "
  "placements=2 generation=5 milliseconds=6\n"
  "2026-01-14T12:01:00.020+00:00 info [call] Ended. id=459 route=r-a "
  "service=s node=b-2 outcome=answered reason=none status=200 attempts=1 "
  "placements=1 generation=5 milliseconds=6\n"
  "2026-01-14T12:01:01.000+00:00 info [membership] Node left. node=b-2\n"
  "2026-01-14T12:01:01.000+00:00 info [membership] Node left. node=c-9\n";

/// The node beside the upstream; its clock shows another zone.
const std::string kUpstreamLog =
  "2026-01-14T14:00:58.000+02:00 info [upstream] State changed. "
  "state=draining id=i-4 born=17 slots=12\n"
  "2026-01-14T14:01:00.008+02:00 warning [delivery] Ended. id=45 from=a-6 "
  "service=s class=check upstream=i-4 born=17 outcome=not-run "
  "reason=draining status=0 state=draining state_milliseconds=2008 running=1 "
  "waiting=0 slots=12 predicted_wait=8 max_wait=none left=900 "
  "milliseconds=0\n"
  "2026-01-14T14:01:09.000+02:00 info [node] Stopped.\n";

ToolResult
Explain(const std::string& aArguments)
{
  return RunProgram("teaselctl", "explain " + aArguments);
}

/// The logs of both nodes as files.
struct Logs
{
  std::string Arguments() const { return "--log " + call + "," + upstream; }

  TestFolder folder;
  std::string call = folder.Write("a.log", kCallLog);
  std::string upstream = folder.Write("b-2.log", kUpstreamLog);
};

} // namespace

TEST_CASE("explain joins the lines of both hops in the order of time")
{
  const Logs logs;
  const auto result = Explain("45 --output json " + logs.Arguments());
  REQUIRE(result.exitCode == 0);
  const auto found = nlohmann::json::parse(result.output);
  REQUIRE(found["steps"].size() == 2);
  CHECK(found["steps"][0]["node"] == "b-2");
  CHECK(found["steps"][0]["part"] == "delivery");
  CHECK(found["steps"][0]["fields"]["running"] == "1");
  CHECK(found["steps"][1]["node"] == "a-6");
  CHECK(found["steps"][1]["fields"]["reason"] == "draining");
  CHECK(found["nodes"] == nlohmann::json({ "a-6", "b-2" }));
}

TEST_CASE("explain shows changes around the request and what was so before")
{
  const Logs logs;
  const auto result = Explain("45 --output json " + logs.Arguments());
  REQUIRE(result.exitCode == 0);
  const auto found = nlohmann::json::parse(result.output);
  std::string sentences;
  for (const auto& change : found["changes"]) {
    sentences += change["sentence"].get<std::string>() + " ";
  }
  // Neither the end of the node 9 s later nor a member that it did not use.
  CHECK(sentences == "Started. Version in force. State changed. Node left. ");
}

TEST_CASE("explain prints decision and inputs of each step as text")
{
  const Logs logs;
  const auto result = Explain("45 " + logs.Arguments());
  REQUIRE(result.exitCode == 0);
  CHECK(result.output.find("not-run (draining)") != std::string::npos);
  CHECK(result.output.find("state_milliseconds=2008 running=1 waiting=0") !=
        std::string::npos);
  CHECK(result.output.find("459") == std::string::npos);
  CHECK(result.errors.empty());
}

TEST_CASE("explain reads standard input with the node before each time")
{
  const TestFolder folder;
  const auto path = folder.Write("all",
                                 "  8.1 b-2 2026-01-14T12:00:00.000+00:00 info "
                                 "[delivery] Ended. id=7.1 outcome=answered "
                                 "reason=none status=200 milliseconds=3\n");
  const auto result = Explain("7 --output json <" + path);
  REQUIRE(result.exitCode == 0);
  const auto step = nlohmann::json::parse(result.output)["steps"].at(0);
  CHECK(step["node"] == "b-2");
  CHECK(step["fields"]["id"] == "7.1");
}

TEST_CASE("explain says that a request is not in the logs")
{
  const Logs logs;
  const auto result = Explain("46 " + logs.Arguments());
  CHECK(result.exitCode == 1);
  CHECK(result.errors.find("no line of request 46") != std::string::npos);
  CHECK(Explain("45 --log " + logs.folder.Path("none")).exitCode == 1);
}

TEST_CASE("explain without an identity is a wrong use")
{
  CHECK(Explain("--log x").exitCode == 2);
  CHECK(Explain("'' --log x").exitCode == 2);
}

TEST_CASE("explain survives every cut and broken line")
{
  const TestFolder folder;
  const auto whole = kCallLog + kUpstreamLog;
  for (std::size_t start = 0; start < whole.size(); ++start) {
    Explainer explainer("45");
    std::istringstream cut(whole.substr(start, 180) + "\n[x\n\"=\n=\n" +
                           "2026-01-14T12:00:00.000+00:00 info [call] a=\"b\n");
    explainer.Read(cut, "n");
    CHECK(explainer.Finish().unreadable >= 3);
  }
}

TEST_CASE("a line of a log keeps quoted values whole")
{
  const auto line =
    ParseLogLine("2026-01-14T12:00:00.250-01:00 warning [store] Call failed. "
                 "error=\"lost it\" reason=\"x\" n=1\r");
  REQUIRE(line);
  CHECK(line->level == "warning");
  CHECK(line->part == "store");
  CHECK(line->sentence == "Call failed.");
  CHECK(line->Field("error") == "lost it");
  CHECK(line->Field("n") == "1");
  CHECK(line->milliseconds == 1768395600250);
  CHECK_FALSE(ParseLogLine("2026-01-14T12:00:00.250+00:00 warning"));
  CHECK_FALSE(ParseLogLine("2026-01-14 12:00:00 info [node] Started."));
}
