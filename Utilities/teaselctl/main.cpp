#include "Protocol/ConfigurationText.h"
#include "admin.grpc.pb.h"

#include <fstream>
#include <gflags/gflags.h>
#include <grpcpp/grpcpp.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <unistd.h>

DEFINE_string(node, "127.0.0.1:7404", "admin address of any node");
DEFINE_string(output, "text", "text or json");
DEFINE_bool(wait, false, "status: wait until every node is up to date");
DEFINE_uint32(timeout, 10, "seconds to wait for the outcome");
DEFINE_uint64(base, 0, "apply: the version the text is based on");

namespace {

using namespace teaselhold;

enum ExitCode
{
  Done = 0,
  Failed = 1,
  Usage = 2,
  Conflict = 3,
  OutcomeUnknown = 4,
};

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    std::cerr << aPath << ": cannot be read\n";
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

bool
Check(const std::string& aPath, const std::string& aText)
{
  const auto compiled = protocol::CompileConfiguration(aText, 1);
  if (!compiled) {
    std::cerr << protocol::FormatErrors(aPath, compiled.error());
  }
  return compiled.has_value();
}

/// Calls one node.
class NodeClient
{
public:
  NodeClient()
  {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    stub_ = wire::Admin::NewStub(grpc::CreateCustomChannel(
      FLAGS_node, grpc::InsecureChannelCredentials(), arguments));
  }

  template<typename Request, typename Response>
  std::optional<Response> Call(
    grpc::Status (wire::Admin::Stub::*aMethod)(grpc::ClientContext*,
                                               const Request&,
                                               Response*),
    const Request& aRequest,
    std::chrono::seconds aTimeout)
  {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + aTimeout);
    Response response;
    const auto status = (stub_.get()->*aMethod)(&context, aRequest, &response);
    if (!status.ok()) {
      std::cerr << "node " << FLAGS_node << ": " << status.error_message()
                << "\n";
      return std::nullopt;
    }
    return response;
  }

private:
  std::unique_ptr<wire::Admin::Stub> stub_;
};

int
RunCheck(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text || !Check(aPath, *text)) {
    return Failed;
  }
  std::cout << aPath << ": valid\n";
  return Done;
}

int
RunApply(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text || !Check(aPath, *text)) {
    return Failed;
  }
  wire::ApplyRequest request;
  request.set_text(*text);
  request.set_base_generation(FLAGS_base);
  request.set_apply_id(
    std::to_string(getpid()) + "-" +
    std::to_string(
      std::chrono::system_clock::now().time_since_epoch().count()));
  request.set_deadline_milliseconds(FLAGS_timeout * 1000);
  const auto response =
    NodeClient().Call(&wire::Admin::Stub::Apply,
                      request,
                      std::chrono::seconds(FLAGS_timeout + 3));
  if (!response) {
    return OutcomeUnknown;
  }
  std::cout << wire::ApplyResponse::Result_Name(response->result())
            << " generation=" << response->generation() << " "
            << response->message() << "\n";
  switch (response->result()) {
    case wire::ApplyResponse::ACCEPTED:
    case wire::ApplyResponse::UNCHANGED:
      return Done;
    case wire::ApplyResponse::CONFLICT:
      return Conflict;
    case wire::ApplyResponse::UNKNOWN:
      return OutcomeUnknown;
    default:
      return Failed;
  }
}

int
RunGet()
{
  const auto response = NodeClient().Call(&wire::Admin::Stub::Get,
                                          wire::GetRequest(),
                                          std::chrono::seconds(FLAGS_timeout));
  if (!response) {
    return Failed;
  }
  std::cerr << "generation " << response->generation() << "\n";
  std::cout << response->text();
  return Done;
}

int
RunStatus()
{
  const auto response = NodeClient().Call(&wire::Admin::Stub::Status,
                                          wire::StatusRequest(),
                                          std::chrono::seconds(FLAGS_timeout));
  if (!response) {
    return Failed;
  }
  std::cout << "highest generation " << response->highest_generation()
            << ", store " << (response->store_reachable() ? "up" : "down")
            << "\n";
  for (const auto& node : response->nodes()) {
    std::cout << node.node() << " " << node.service() << " "
              << node.data_centre() << " " << node.state() << " " << node.role()
              << " generation " << node.active_generation() << "\n";
  }
  return Done;
}

int
RunMetrics()
{
  const auto response = NodeClient().Call(&wire::Admin::Stub::Metrics,
                                          wire::MetricsRequest(),
                                          std::chrono::seconds(FLAGS_timeout));
  if (!response) {
    return Failed;
  }
  std::cout << response->text();
  return Done;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "teaselctl [--node IP:PORT] check FILE | apply FILE | get | status | "
    "metrics");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const std::vector<std::string> words(aArguments + 1, aArguments + aCount);
  if (words.size() == 2 && words[0] == "check") {
    return RunCheck(words[1]);
  }
  if (words.size() == 2 && words[0] == "apply") {
    return RunApply(words[1]);
  }
  if (words.size() == 1 && words[0] == "get") {
    return RunGet();
  }
  if (words.size() == 1 && words[0] == "status") {
    return RunStatus();
  }
  if (words.size() == 1 && words[0] == "metrics") {
    return RunMetrics();
  }
  std::cerr << gflags::ProgramUsage() << "\n";
  return Usage;
}
