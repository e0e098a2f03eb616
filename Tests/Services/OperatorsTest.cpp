#include "Tests/Support/FreePort.h"
#include "Tests/Utilities/ToolRun.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <thread>
#include <vector>

using namespace teaselhold;
using namespace teaselhold::tool;
using nlohmann::json;
using tests::FreeAddress;

namespace {

/// A program of the build folder that runs until the end of the test.
class ChildProcess
{
public:
  ChildProcess(const std::string& aProgram,
               std::vector<std::string> aArguments,
               const std::string& aLog)
  {
    aArguments.insert(aArguments.begin(),
                      std::string(TEASELHOLD_BINARY_FOLDER) + "/" + aProgram);
    std::vector<char*> arguments;
    arguments.reserve(aArguments.size() + 1);
    for (auto& argument : aArguments) {
      arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    process_ = fork();
    if (process_ == 0) {
      // Otherwise a crash of the test would leave the process behind.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      std::freopen(aLog.c_str(), "w", stderr);
      // Logs go to standard output, errors before they are set up do not.
      dup2(STDERR_FILENO, STDOUT_FILENO);
      execv(arguments[0], arguments.data());
      _exit(127);
    }
  }
  ~ChildProcess() { Stop(SIGKILL); }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// @return the exit code, or -1 if the process was killed.
  int Stop(int aSignal)
  {
    if (process_ <= 0) {
      return -1;
    }
    kill(process_, aSignal);
    int status = 0;
    waitpid(process_, &status, 0);
    process_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

private:
  pid_t process_ = 0;
};

/// One store, one upstream and one node on loopback.
class SmallFleet
{
public:
  SmallFleet()
  {
    folder_.Write(
      "node.ini",
      "[node]\nname = a-1\nservice = a\ndata_centre = d\n"
      "region = r\ncaller_address = " +
        caller_ + "\ndata_address = " + FreeAddress() +
        "\ncontrol_address = " + FreeAddress() + "\nadmin_address = " + admin_ +
        "\nmetrics_address = " + metrics_ + "\nseeds = " + FreeAddress() +
        "\ndistribution = direct\n[store]\naddress = " + store_ +
        "\n[upstream]\naddress = " + FreeAddress() + "\n");
    storeProcess_.emplace("store_stand_in",
                          std::vector{ "--address=" + store_ },
                          folder_.Path("store.log"));
    WaitFor([this] {
      return RunProgram("store_stand_in_control",
                        "--counters --address=" + store_)
               .exitCode == 0;
    });
    node_.emplace("teaselholdd",
                  std::vector{ "--config=" + folder_.Path("node.ini") },
                  folder_.Path("node.log"));
    WaitFor([this] { return Tool("status").exitCode == 0; });
  }

  ToolResult Tool(const std::string& aArguments) const
  {
    return RunProgram("teaselctl", "--node " + admin_ + " " + aArguments);
  }

  /// Sets a fault of the store.
  void Fault(const std::string& aFault) const
  {
    REQUIRE(
      RunProgram("store_stand_in_control", "--address=" + store_ + " " + aFault)
        .exitCode == 0);
  }

  std::string Write(const std::string& aText) const
  {
    return folder_.Write("mesh.ini", aText);
  }

  /// Waits until the condition holds; the suite's limit ends a failed wait.
  template<typename Condition>
  static void WaitFor(Condition aCondition)
  {
    while (!aCondition()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }

  std::string Log() const { return folder_.Read("node.log"); }

  TestFolder folder_;
  std::string store_ = FreeAddress();
  std::string admin_ = FreeAddress();
  std::string caller_ = FreeAddress();
  std::string metrics_ = FreeAddress();
  std::optional<ChildProcess> storeProcess_;
  std::optional<ChildProcess> node_;
};

std::pair<unsigned, std::string>
HttpGet(const std::string& aAddress, const std::string& aTarget)
{
  namespace asio = boost::asio;
  namespace http = boost::beast::http;
  const auto port = std::stoi(aAddress.substr(aAddress.find(':') + 1));
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect(
    { asio::ip::address_v4::loopback(), static_cast<unsigned short>(port) });
  http::write(socket,
              http::request<http::empty_body>(http::verb::get, aTarget, 11));
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  http::read(socket, buffer, response);
  return { response.result_int(), response.body() };
}

const std::string kText = "[service a]\nentry = yes\n[tenant north]\n"
                          "max_in_flight = 2\n";

} // namespace

TEST_CASE("a lost answer of the store is not an unknown outcome for operators")
{
  const SmallFleet fleet;
  const auto path = fleet.Write(kText);
  fleet.Fault("--lose_write_answers=1");
  const auto result = fleet.Tool("apply --output json " + path);
  CAPTURE(result.errors, fleet.Log());
  CHECK(result.exitCode == 0);
  CHECK(json::parse(result.output)["generation"] == 1);
  SmallFleet::WaitFor([&] { return fleet.Tool("get").output == kText; });
}

TEST_CASE("an apply during a store outage does not pretend to succeed")
{
  const SmallFleet fleet;
  const auto path = fleet.Write(kText);
  fleet.Fault("--down");
  const auto result = fleet.Tool("apply --timeout 1 " + path);
  CAPTURE(result.output, result.errors);
  const bool failedOrUnknown = result.exitCode == 1 || result.exitCode == 4;
  CHECK(failedOrUnknown);
  CHECK_FALSE(result.errors.empty());
}

TEST_CASE("the metrics endpoint and teaselctl metrics disagree")
{
  SmallFleet fleet;
  const auto path = fleet.Write(kText);
  REQUIRE(fleet.Tool("apply " + path).exitCode == 0);
  SmallFleet::WaitFor([&] { return fleet.Tool("get").exitCode == 0; });
  CHECK(HttpGet(fleet.caller_, "/nowhere").first == 404);
  const auto [status, text] = HttpGet(fleet.metrics_, "/metrics");
  CHECK(text.find("teaselhold_not_run_total{class=\"lookup\",reason=\"no-route"
                  "\"} 1\n") != std::string::npos);
  CHECK(status == 200);
  CHECK(text.find("teaselhold_generation{which=\"active\"} 1\n") !=
        std::string::npos);
  const auto tool = json::parse(fleet.Tool("metrics --output json").output);
  CHECK(tool["samples"]["teaselhold_generation{which=\"active\"}"] == 1);
  CHECK(tool["node"] == "a-1");
  CHECK(HttpGet(fleet.metrics_, "/").first == 404);
  // A node that is told to stop must end by itself and with 0.
  CHECK(fleet.node_->Stop(SIGTERM) == 0);
  CHECK(fleet.Log().find("[node] Stopped.") != std::string::npos);
}

TEST_CASE("teaselholdd: bad settings end the start with their lines")
{
  const TestFolder folder;
  const auto path = folder.Write("node.ini", "[node]\nnam = x\n");
  const auto result = RunProgram("teaselholdd", "--config=" + path);
  CHECK(result.exitCode == 1);
  CHECK(result.errors.find(path + ":2: unknown key \"nam\"") !=
        std::string::npos);
  CHECK(RunProgram("teaselholdd", "").exitCode == 2);
  CHECK(
    RunProgram("teaselholdd", "--config=" + folder.Path("absent")).exitCode ==
    1);
  CHECK(RunProgram("teaselholdd",
                   std::string("--check-config --config=") +
                     TEASELHOLD_BASE_FOLDER "/dakar.node.ini")
          .exitCode == 0);
}
