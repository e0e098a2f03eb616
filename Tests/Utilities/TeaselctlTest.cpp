#include "Tests/Utilities/FakeNode.h"
#include "Tests/Utilities/ToolRun.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace teaselhold;
using namespace teaselhold::tool;
using nlohmann::json;

namespace {

const std::string kText = "[service a]\nentry = yes\n";
const std::string kOther = "[service a]\nentry = no\n";
/// Nothing listens on the ports below 1024 that need a privilege to open.
const std::string kNobody = "127.0.0.1:1";

ToolResult
Run(const std::string& aArguments)
{
  return RunProgram("teaselctl", aArguments);
}

ToolResult
Run(const FakeNode& aNode, const std::string& aArguments)
{
  return Run("--node " + aNode.Address() + " " + aArguments);
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

/// Prepares a node that has kText in force as version 4.
void
PutInForce(FakeNode& aNode)
{
  aNode.inForce.set_generation(4);
  aNode.inForce.set_text(kText);
}

/// An apply whose connection is lost after the request was sent.
grpc::Status
LoseConnection(const wire::ApplyRequest& /*aRequest*/,
               wire::ApplyResponse& /*aResponse*/)
{
  return { grpc::StatusCode::UNAVAILABLE, "connection reset" };
}

wire::NodeStatus&
AddNode(wire::StatusResponse& aStatus,
        const std::string& aName,
        const std::string& aState,
        std::uint64_t aGeneration)
{
  auto& node = *aStatus.add_nodes();
  node.set_node(aName);
  node.set_state(aState);
  node.set_role("leaf");
  node.set_data_centre("d");
  node.set_active_generation(aGeneration);
  return node;
}

} // namespace

TEST_CASE("teaselctl: a usage error is not taken for a refused change")
{
  const std::string arguments = GENERATE(as<std::string>(),
                                         "",
                                         "aply x",
                                         "apply",
                                         "get x",
                                         "check a b",
                                         "get --nod 1",
                                         "get --node",
                                         "get --node=",
                                         "get --output xml",
                                         "get --timeout 0",
                                         "get --timeout soon",
                                         "apply x --base ten");
  CAPTURE(arguments);
  const auto result = Run(arguments);
  CHECK(result.exitCode == 2);
  CHECK(Contains(result.errors, "teaselctl: "));
  CHECK(result.output.empty());
}

TEST_CASE("teaselctl: misspelled commands and flags get a suggestion")
{
  CHECK(Contains(Run("stats").errors, "did you mean \"status\"?"));
  CHECK(Contains(Run("get --nod 1").errors, "did you mean \"node\"?"));
}

TEST_CASE("teaselctl: each command explains itself with examples")
{
  for (const std::string command :
       { "check", "apply", "get", "diff", "status", "nodes", "metrics" }) {
    CAPTURE(command);
    const auto result = Run(command + " --help");
    CHECK(result.exitCode == 0);
    CHECK(Contains(result.output, "Examples:\n"));
    CHECK(Contains(Run("help " + command).output, "Examples:\n"));
    CHECK(Contains(Run("--help").output, "\n  " + command));
  }
}

TEST_CASE("teaselctl check: every error has its file and line")
{
  const TestFolder folder;
  const auto path = folder.Write(
    "bad.ini", "[service a]\ndepends = b\n[service b]\ndepends = a\nx = 1\n");
  const auto result = Run("check " + path);
  CHECK(result.exitCode == 1);
  CHECK(Contains(result.errors, path + ":4: dependency cycle a -> b -> a"));
  CHECK(Contains(result.errors, path + ":5: unknown key \"x\""));

  const auto parsed = json::parse(Run("check --output json " + path).output);
  CHECK(parsed["valid"] == false);
  CHECK(parsed["errors"].size() == 2);
  CHECK(parsed["errors"][0]["line"] == 4);
}

TEST_CASE("teaselctl check: a valid, a missing and a folder as file")
{
  const TestFolder folder;
  const auto path = folder.Write("good.ini", kText);
  CHECK(Run("check " + path).exitCode == 0);
  CHECK(json::parse(Run("check --output=json " + path).output)["valid"] ==
        true);
  for (const auto& name : { folder.Path("absent"), folder.Path("") }) {
    const auto result = Run("check " + name);
    CHECK(result.exitCode == 1);
    CHECK(Contains(result.errors, "cannot be read"));
  }
}

TEST_CASE("teaselctl: an unreachable node is named with what to do")
{
  const TestFolder folder;
  const auto path = folder.Write("good.ini", kText);
  for (const std::string& command : { std::string("get"),
                                      "apply " + path,
                                      "diff " + path,
                                      std::string("status"),
                                      std::string("nodes"),
                                      std::string("metrics") }) {
    CAPTURE(command);
    const auto result = Run("--node " + kNobody + " --output json " + command);
    CHECK(result.exitCode == 1);
    CHECK(Contains(result.errors, "node " + kNobody + ": cannot connect"));
    CHECK(json::parse(result.output)["exit_code"] == 1);
  }
}

TEST_CASE("teaselctl: the next node is tried when one is down")
{
  FakeNode node;
  PutInForce(node);
  const auto result = Run("get --node " + kNobody + "," + node.Address());
  CHECK(result.exitCode == 0);
  CHECK(result.output == kText);
  CHECK(Contains(result.errors, "trying the next node"));
}

TEST_CASE("teaselctl get: a node without a version is not an empty text")
{
  FakeNode node;
  const auto result = Run(node, "get");
  CHECK(result.exitCode == 1);
  CHECK(Contains(result.errors, "no version is in force"));
}

TEST_CASE("teaselctl diff: shows what an apply would change")
{
  const TestFolder folder;
  const auto path = folder.Write("new.ini", kOther);
  FakeNode node;
  PutInForce(node);
  const auto result = Run(node, "diff " + path);
  CHECK(result.exitCode == 0);
  CHECK(Contains(result.output, "-entry = yes\n+entry = no\n"));
  const auto parsed =
    json::parse(Run(node, "diff --output json " + path).output);
  CHECK(parsed["same"] == false);
  CHECK(parsed["generation"] == 4);
}

TEST_CASE("teaselctl apply: sends the version in force or --base as the base")
{
  const TestFolder folder;
  const auto path = folder.Write("new.ini", kOther);
  FakeNode node;
  PutInForce(node);
  std::uint64_t base = 0;
  node.apply = [&](const auto& aRequest, auto& aResponse) {
    base = aRequest.base_generation();
    aResponse.set_result(wire::ApplyResponse::ACCEPTED);
    aResponse.set_generation(5);
    return grpc::Status::OK;
  };
  const auto result = Run(node, "apply " + path);
  CHECK(result.exitCode == 0);
  CHECK(Contains(result.output, "accepted generation=5"));
  CHECK(base == 4);
  CHECK(Run(node, "apply --base 2 " + path).exitCode == 0);
  CHECK(base == 2);
  const auto parsed =
    json::parse(Run(node, "apply --output json " + path).output);
  CHECK(parsed["result"] == "accepted");
  CHECK(parsed["generation"] == 5);
}

TEST_CASE("teaselctl apply: a conflict shows what won and exits with 3")
{
  const TestFolder folder;
  const auto path = folder.Write("new.ini", kOther);
  FakeNode node;
  PutInForce(node);
  node.apply = [&](const auto& /*aRequest*/, auto& aResponse) {
    aResponse.set_result(wire::ApplyResponse::CONFLICT);
    aResponse.set_generation(5);
    aResponse.set_current_text(kText + "[service winner]\n");
    return grpc::Status::OK;
  };
  const auto result = Run(node, "apply " + path);
  CHECK(result.exitCode == 3);
  CHECK(Contains(result.errors, "--- version 4\n+++ version 5\n"));
  CHECK(Contains(result.errors, "+[service winner]"));
  CHECK(Contains(result.errors, "--base 5"));
  const auto parsed =
    json::parse(Run(node, "apply --output json " + path).output);
  CHECK(parsed["result"] == "conflict");
  CHECK(parsed["exit_code"] == 3);
}

TEST_CASE("teaselctl apply: refusals of the node exit with 1")
{
  const TestFolder folder;
  const auto path = folder.Write("new.ini", kOther);
  FakeNode node;
  PutInForce(node);
  const auto verdict =
    GENERATE(wire::ApplyResponse::REFUSED, wire::ApplyResponse::NOT_APPLIED);
  node.apply = [&](const auto& /*aRequest*/, auto& aResponse) {
    aResponse.set_result(verdict);
    aResponse.set_message("the reason");
    return grpc::Status::OK;
  };
  const auto result = Run(node, "apply " + path);
  CHECK(result.exitCode == 1);
  CHECK(Contains(result.errors, "the reason"));
}

TEST_CASE("teaselctl apply: a bad text never reaches a node")
{
  const TestFolder folder;
  const auto path = folder.Write("bad.ini", "[service a]\nentry = x\n");
  FakeNode node;
  PutInForce(node);
  CHECK(Run(node, "apply " + path).exitCode == 1);
  CHECK(node.applies == 0);
}

TEST_CASE("teaselctl apply: a lost answer is asked for, not applied twice")
{
  const TestFolder folder;
  const auto path = folder.Write("new.ini", kOther);
  FakeNode first;
  FakeNode second;
  PutInForce(first);
  std::string id;
  first.apply = [&](const auto& aRequest, auto& /*aResponse*/) {
    id = aRequest.apply_id();
    return grpc::Status(grpc::StatusCode::UNAVAILABLE, "connection reset");
  };
  first.findApply = [](const auto& /*aRequest*/, auto& /*aResponse*/) {
    return grpc::Status(grpc::StatusCode::UNAVAILABLE, "stopping");
  };
  second.findApply = [&](const auto& aRequest, auto& aResponse) {
    aResponse.set_result(aRequest.apply_id() == id
                           ? wire::FindApplyResponse::FOUND
                           : wire::FindApplyResponse::NOT_FOUND);
    aResponse.set_generation(5);
    return grpc::Status::OK;
  };
  const auto result = Run("--node " + first.Address() + "," + second.Address() +
                          " apply " + path);
  CHECK(result.exitCode == 0);
  CHECK(Contains(result.output, "accepted generation=5"));
  CHECK(first.applies == 1);
  CHECK(second.applies == 0);
  CHECK(second.finds == 1);
}

TEST_CASE(
  "teaselctl apply: a lost apply that another version overtook conflicts")
{
  const TestFolder folder;
  const auto path = folder.Write("new.ini", kOther);
  FakeNode node;
  PutInForce(node);
  node.apply = LoseConnection;
  node.findApply = [](const auto& /*aRequest*/, auto& aResponse) {
    aResponse.set_result(wire::FindApplyResponse::NOT_FOUND);
    aResponse.set_generation(5);
    aResponse.set_current_text("[service winner]\n");
    return grpc::Status::OK;
  };
  const auto result = Run(node, "apply " + path);
  CHECK(result.exitCode == 3);
  CHECK(Contains(result.errors, "+[service winner]"));
}

TEST_CASE("teaselctl apply: a node that knows no version overwrites the text")
{
  const TestFolder folder;
  const auto path = folder.Write("new.ini", kOther);
  FakeNode node;
  std::uint64_t newest = 7;
  node.status = [&](const auto& /*aRequest*/, auto& aResponse) {
    aResponse.set_store_generation(newest);
    return grpc::Status::OK;
  };
  node.apply = [](const auto& /*aRequest*/, auto& aResponse) {
    aResponse.set_result(wire::ApplyResponse::ACCEPTED);
    return grpc::Status::OK;
  };
  CHECK(Run(node, "apply " + path).exitCode == 1);
  CHECK(node.applies == 0);
  newest = 0;
  CHECK(Run(node, "apply " + path).exitCode == 0);
  CHECK(node.applies == 1);
}

TEST_CASE("teaselctl apply: base 0 is not taken for a base that lost")
{
  const TestFolder folder;
  const auto path = folder.Write("new.ini", kOther);
  FakeNode node;
  PutInForce(node);
  node.apply = LoseConnection;
  node.findApply = [](const auto& /*aRequest*/, auto& aResponse) {
    aResponse.set_result(wire::FindApplyResponse::NOT_FOUND);
    aResponse.set_generation(4);
    return grpc::Status::OK;
  };
  const auto result = Run(node, "apply --base 0 --timeout 1 " + path);
  CHECK(result.exitCode == 4);
  CHECK_FALSE(Contains(result.errors, "it is safe"));
}

TEST_CASE(
  "teaselctl apply: an outcome that stays unknown is not called a failure")
{
  const TestFolder folder;
  const auto path = folder.Write("new.ini", kOther);
  FakeNode node;
  PutInForce(node);
  node.apply = LoseConnection;
  // 17 versions later the store may have forgotten the apply.
  const auto [verdict, generation] =
    GENERATE(table<wire::FindApplyResponse::Result, std::uint64_t>(
      { { wire::FindApplyResponse::UNAVAILABLE, 0 },
        { wire::FindApplyResponse::NOT_FOUND, 4 },
        { wire::FindApplyResponse::NOT_FOUND, 21 } }));
  node.findApply = [&, verdict = verdict, generation = generation](
                     const auto& /*aRequest*/, auto& aResponse) {
    aResponse.set_result(verdict);
    aResponse.set_generation(generation);
    return grpc::Status::OK;
  };
  const auto result = Run(node, "apply --timeout 1 --output json " + path);
  CHECK(result.exitCode == 4);
  CHECK(Contains(result.errors, "--base 4"));
  CHECK(json::parse(result.output)["result"] == "unknown");
  CHECK(node.applies == 1);
}

TEST_CASE("teaselctl status: lagging, refusing and down nodes are told apart")
{
  FakeNode node;
  node.status = [](const auto& /*aRequest*/, auto& aResponse) {
    aResponse.set_store_reachable(false);
    aResponse.set_store_generation(7);
    aResponse.set_highest_generation(7);
    AddNode(aResponse, "good", "ready", 7);
    AddNode(aResponse, "late", "ready", 6);
    auto& refusing = AddNode(aResponse, "strict", "draining", 6);
    refusing.set_refused_generation(7);
    refusing.set_refused_reason("line 3");
    AddNode(aResponse, "dead", "down", 2);
    aResponse.add_alarms("two texts with one number");
    return grpc::Status::OK;
  };
  const auto text = Run(node, "status");
  CHECK(text.exitCode == 0);
  CHECK(Contains(text.output, "version 7 in force on 1 of 3 nodes"));
  CHECK(Contains(text.output, "NOT REACHABLE"));
  CHECK(Contains(text.output, "late (d) has version 6"));
  CHECK(Contains(text.output, "strict (d) refused version 7: line 3"));
  CHECK(Contains(text.output, "alarm     two texts with one number"));
  CHECK_FALSE(Contains(text.output, "dead (d)"));

  const auto parsed = json::parse(Run(node, "status --output json").output);
  CHECK(parsed["lagging"].size() == 2);
  CHECK(parsed["refused"][0]["node"] == "strict");
  CHECK(parsed["nodes"]["down"] == 1);
  CHECK(parsed["store_reachable"] == false);
  const auto nodes = json::parse(Run(node, "nodes --output json").output);
  CHECK(nodes["nodes"].size() == 4);
  CHECK(Contains(Run(node, "nodes").output, "dead"));
}

TEST_CASE("teaselctl status --wait: ends when the last node has the version")
{
  FakeNode node;
  int calls = 0;
  node.status = [&](const auto& /*aRequest*/, auto& aResponse) {
    ++calls;
    aResponse.set_highest_generation(calls > 1 ? 7 : 6);
    AddNode(aResponse, "first", "ready", calls > 1 ? 7 : 6);
    AddNode(aResponse, "last", "ready", calls > 2 ? 7 : 6);
    return grpc::Status::OK;
  };
  const auto result = Run(node, "status --wait --at-least 7");
  CHECK(result.exitCode == 0);
  CHECK(calls == 3);
  CHECK(Contains(result.errors,
                 "version 7 in force on 1 of 2 nodes; waiting for last"));
}

TEST_CASE("teaselctl status --wait: a refusal or the timeout exits with 1")
{
  FakeNode node;
  const bool refuses = GENERATE(true, false);
  node.status = [&](const auto& /*aRequest*/, auto& aResponse) {
    aResponse.set_highest_generation(7);
    auto& late = AddNode(aResponse, "late", "ready", 6);
    late.set_refused_generation(refuses ? 7 : 0);
    return grpc::Status::OK;
  };
  const auto result = Run(node, "status --wait --timeout 1");
  CHECK(result.exitCode == 1);
  CHECK(Contains(result.errors,
                 refuses ? "late (d) refused version 7"
                         : "not in force everywhere after 1 s"));
}

TEST_CASE("teaselctl metrics: shows a histogram per class and tenant")
{
  FakeNode node;
  node.metrics.set_node("n");
  node.metrics.set_text("# TYPE x gauge\nteaselhold_alarms 2\n");
  node.metrics.add_bucket_bounds_microseconds(500);
  node.metrics.add_bucket_bounds_microseconds(1000);
  auto& row = *node.metrics.add_calls();
  row.set_request_class("order");
  row.set_tenant("_none");
  row.set_answered(5);
  for (const auto count : { 0, 4, 1 }) {
    row.add_buckets(static_cast<std::uint64_t>(count));
  }
  const auto text = Run(node, "metrics").output;
  CAPTURE(text);
  CHECK(Contains(text, "order, tenant _none: 5 answered"));
  CHECK(Contains(text, "<= 1.0 ms  4  ####"));
  CHECK(Contains(text, ">  1.0 ms  1  ####"));
  CHECK_FALSE(Contains(text, "0.5 ms"));
  CHECK(Contains(text, "teaselhold_alarms 2"));
  const auto parsed = json::parse(Run(node, "metrics --output json").output);
  CHECK(parsed["calls"][0]["buckets"] == json({ 0, 4, 1 }));
  CHECK(parsed["samples"]["teaselhold_alarms"] == 2);
}
