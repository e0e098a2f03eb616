#include "Tests/Services/Mesh.h"

#include "Tests/Support/FreePort.h"
#include "Transport/SocketAddress.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <sys/stat.h>
#include <thread>

namespace teaselhold::tests {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr const char* kText = R"([mesh]
cycles = refused

[service visits]
entry = yes

[route check]
match = GET /passes
service = visits
class = check
idempotent = yes
timeout = 1s

[route order]
match = POST /visits
service = visits
class = order
idempotent = no
timeout = 2s

[route long]
match = POST /long
service = visits
class = order
idempotent = no
timeout = 20s

[tenant small]
max_in_flight = 1
)";

std::string
Program(const std::string& aName)
{
  return std::string(TEASELHOLD_BINARY_FOLDER) + "/" + aName;
}

} // namespace

std::string
CallResult::Header(const std::string& aName) const
{
  if (!answer) {
    return "";
  }
  const auto value = (*answer)[aName];
  return { value.data(), value.size() };
}

CallResult
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::map<std::string, std::string>& aHeaders,
     const std::string& aBody)
{
  asio::io_context context;
  boost::beast::tcp_stream stream(context);
  const auto address = *transport::ParseSocketAddress(aAddress);
  boost::system::error_code error;
  stream.connect({ asio::ip::make_address(address.host), address.port }, error);
  transport::HttpRequest request(http::string_to_verb(aMethod), aTarget, 11);
  if (!aHeaders.contains("Host")) {
    request.set(http::field::host, aAddress);
  }
  for (const auto& [name, value] : aHeaders) {
    request.insert(name, value);
  }
  request.body() = aBody;
  request.prepare_payload();
  if (!error) {
    http::write(stream, request, error);
  }
  boost::beast::flat_buffer buffer;
  transport::HttpResponse response;
  if (!error) {
    http::read(stream, buffer, response, error);
  }
  return error ? CallResult{} : CallResult{ std::move(response) };
}

Mesh::Mesh(std::size_t aNodes, std::string aNodeSettings)
  : nodeSettings_(std::move(aNodeSettings))
{
  auto folder =
    (std::filesystem::temp_directory_path() / "teaselhold-XXXXXX").string();
  folder_ = mkdtemp(folder.data());
  std::vector<std::string> addresses;
  std::generate_n(std::back_inserter(addresses), 1 + 5 * aNodes, [] {
    return FreeAddress();
  });
  storeAddress_ = addresses[0];
  store_ = std::make_unique<Process>(
    Program("store_stand_in"),
    std::vector<std::string>{ "--address=" + storeAddress_ },
    Path("store.log"));
  for (std::size_t i = 0; i < aNodes; ++i) {
    const auto* own = &addresses[1 + 5 * i];
    nodes_.push_back({ "visits-" + std::to_string(i + 1),
                       own[0],
                       own[1],
                       own[2],
                       own[3],
                       own[4],
                       nullptr,
                       nullptr });
  }
  for (auto& node : nodes_) {
    StartUpstream(node);
    StartNode(node);
  }
  REQUIRE(WaitUntil([&] { return Apply(nodes_[0], 1) == 0; }));
  for (const auto& node : nodes_) {
    REQUIRE(WaitUntil([&] {
      return Call(node.caller, "GET", "/passes/ready").Outcome() == "answered";
    }));
  }
}

Mesh::~Mesh()
{
  load_.reset();
  nodes_.clear();
  store_.reset();
  std::error_code error;
  std::filesystem::remove_all(folder_, error);
}

std::string
Mesh::Path(const std::string& aName) const
{
  return folder_ + "/" + aName;
}

std::string
Mesh::Read(const std::string& aName) const
{
  std::ifstream file(Path(aName));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string
Mesh::SettingsOf(const Node& aNode) const
{
  std::string seeds;
  for (const auto& node : nodes_) {
    seeds += (seeds.empty() ? "" : ", ") + node.control;
  }
  return "[node]\nname = " + aNode.name +
         "\nservice = visits\ndata_centre = one\nregion = one\n" +
         "caller_address = " + aNode.caller + "\ndata_address = " + aNode.data +
         "\ncontrol_address = " + aNode.control +
         "\nadmin_address = " + aNode.admin + "\nseeds = " + seeds + "\n" +
         nodeSettings_ + "[store]\naddress = " + storeAddress_ +
         "\n[upstream]\naddress = " + aNode.upstreamAddress +
         "\nprobe_interval = 100ms\n";
}

void
Mesh::StartNode(Node& aNode)
{
  WriteSettings(aNode, "");
  LaunchNode(aNode);
}

void
Mesh::WriteSettings(const Node& aNode, const std::string& aMore) const
{
  std::ofstream(Path(aNode.name + ".ini")) << SettingsOf(aNode) << aMore;
}

void
Mesh::LaunchNode(Node& aNode)
{
  aNode.node = std::make_unique<Process>(
    Program("teaselholdd"),
    std::vector<std::string>{ "--config=" + Path(aNode.name + ".ini") },
    Path(aNode.name + ".log"));
}

void
Mesh::StartUpstream(Node& aNode)
{
  aNode.upstream = std::make_unique<Process>(
    Program("upstream_stand_in"),
    std::vector<std::string>{ "--address=" + aNode.upstreamAddress,
                              "--name=" + aNode.name,
                              "--run_log=" + Path(aNode.name + ".runs") },
    Path(aNode.name + ".upstream.log"));
}

void
Mesh::RestartNode(Node& aNode)
{
  aNode.node.reset();
  StartNode(aNode);
}

void
Mesh::RestartNodeWithSignal(Node& aNode,
                            int aSignal,
                            std::optional<std::chrono::milliseconds> aDelay)
{
  aNode.node.reset();
  const auto path = Path(aNode.name + ".ini");
  std::filesystem::remove(path);
  REQUIRE(mkfifo(path.c_str(), S_IRUSR | S_IWUSR) == 0);
  LaunchNode(aNode);
  // Opens when the node does, so the node waits for its settings now.
  std::ofstream pipe(path);
  std::filesystem::remove(path);
  // Read by the node when it takes the signal.
  std::ofstream(path) << SettingsOf(aNode);
  pipe << SettingsOf(aNode) << std::flush;
  if (!aDelay) {
    aNode.node->Signal(aSignal);
  }
  pipe.close();
  if (aDelay) {
    std::this_thread::sleep_for(*aDelay);
    aNode.node->Signal(aSignal);
  }
}

int
Mesh::Apply(const Node& aNode, unsigned aVersion)
{
  // Each version has another tenant limit, so that the text changes.
  std::ofstream(Path("text.ini"))
    << kText << "\n[tenant version]\nmax_in_flight = " << aVersion << "\n";
  Process apply(Program("teaselctl"),
                { "--node=" + aNode.admin, "apply", Path("text.ini") },
                Path("apply.log"));
  return apply.Wait().value_or(-1);
}

void
Mesh::SetStoreFaults(const std::vector<std::string>& aFlags)
{
  auto arguments = aFlags;
  arguments.push_back("--address=" + storeAddress_);
  Process control(
    Program("store_stand_in_control"), arguments, Path("control.log"));
  REQUIRE(control.Wait() == 0);
}

std::vector<unsigned>
Mesh::VersionsOf(const Node& aNode) const
{
  static constexpr std::string_view kMark = "Version in force. generation=";
  std::vector<unsigned> versions;
  const auto log = Read(aNode.name + ".log");
  auto found = log.find(kMark);
  while (found != std::string::npos) {
    versions.push_back(std::stoul(log.substr(found + kMark.size())));
    found = log.find(kMark, found + 1);
  }
  return versions;
}

bool
Mesh::IsReader(const Node& aNode) const
{
  const auto log = Read(aNode.name + ".log");
  const auto taken = log.rfind("Slot taken.");
  const auto lost = log.rfind("Slot lost.");
  return taken != std::string::npos &&
         (lost == std::string::npos || lost < taken);
}

bool
Mesh::WaitForVersion(unsigned aVersion)
{
  return WaitUntil([&] {
    return std::ranges::all_of(nodes_, [&](Node& aNode) {
      const auto result = Call(aNode.caller, "GET", "/passes/version");
      return !aNode.node->IsRunning() ||
             result.Header("Teaselhold-Generation") == std::to_string(aVersion);
    });
  });
}

void
Mesh::StartLoad(unsigned aCount,
                unsigned aRate,
                const std::vector<std::string>& aFlags)
{
  loadCount_ = aCount;
  std::string callers;
  for (const auto& node : nodes_) {
    callers += (callers.empty() ? "" : ",") + node.caller;
  }
  std::vector<std::string> arguments{
    "--nodes=" + callers,
    "--requests=check GET /passes/7,order POST /visits/redeem",
    "--count=" + std::to_string(aCount),
    "--rate=" + std::to_string(aRate),
    "--connections=16"
  };
  arguments.insert(arguments.end(), aFlags.begin(), aFlags.end());
  load_ = std::make_unique<Process>(
    Program("load_generator"), arguments, Path("load.log"));
}

std::map<std::string, unsigned>
Mesh::Runs() const
{
  std::map<std::string, unsigned> runs;
  for (const auto& node : nodes_) {
    std::stringstream log(Read(node.name + ".runs"));
    for (std::string id; log >> id;) {
      ++runs[id];
    }
  }
  return runs;
}

bool
Mesh::WaitForRuns(std::size_t aCount) const
{
  return WaitUntil([&] { return Runs().size() >= aCount; });
}

std::map<std::string, unsigned>
Mesh::FinishLoad()
{
  REQUIRE(load_->Wait() == 0);
  std::map<std::string, unsigned> outcomes;
  std::stringstream log(Read("load.log"));
  unsigned total = 0;
  for (std::string line; std::getline(log, line);) {
    std::stringstream words(line);
    std::string word;
    std::string requestClass;
    std::string outcome;
    unsigned count = 0;
    if (words >> word && word == "outcome" &&
        words >> requestClass >> outcome >> count) {
      outcomes[outcome] += count;
      total += count;
    }
  }
  INFO(log.str());
  CHECK(total == loadCount_);
  return outcomes;
}

std::string
Mesh::FailureReport() const
{
  auto report = Read("load.log");
  for (const auto& node : nodes_) {
    report += node.name + " callers=" + node.caller + "\n";
    std::stringstream log(Read(node.name + ".log"));
    for (std::string line; std::getline(log, line);) {
      const bool isOfDrain = line.find("[node]") != std::string::npos;
      if (isOfDrain || line.find(" warning ") != std::string::npos) {
        report += line + "\n";
      }
    }
  }
  return report;
}

void
Mesh::CheckPromises() const
{
  const auto runs = Runs();
  const auto log = Read("load.log");
  CHECK(log.find("foreign-answer") == std::string::npos);
  std::stringstream words(log);
  for (std::string word; words >> word;) {
    std::string id;
    if (word == "not-run" && words >> id) {
      INFO(id);
      CHECK(runs.count(id) == 0);
    }
  }
  for (const auto& [id, count] : runs) {
    // Every second request is an order.
    if (id.starts_with("load-") && std::stoul(id.substr(5)) % 2 == 1) {
      INFO(id);
      CHECK(count == 1);
    }
  }
}

unsigned
Mesh::Counter(const Node& aNode, const std::string& aName)
{
  const auto result = Call(aNode.upstreamAddress, "GET", "/stand-in/counters");
  const auto counters = nlohmann::json::parse(result.Body(), nullptr, false);
  return counters.is_object() ? counters.value(aName, 0U) : 0U;
}

} // namespace teaselhold::tests
