#include "Tests/Services/PlatformMesh.h"

#include "Tests/Support/FreePort.h"
#include "Transport/SocketAddress.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace teaselhold::tests {

namespace {

std::string
MakeRoute(const std::string& aName,
          const std::string& aPrefix,
          const std::string& aKind)
{
  return R"({"name":")" + aName + R"(","prefix":")" + aPrefix +
         R"(","kind":")" + aKind +
         R"(","timeout":"5s","targetLatency":"5s","priority":1,)"
         R"("maxAttempts":1,"service":"backends"})";
}

std::string
MakeConfiguration(const std::string& aVersion, const std::string& aMoreRoutes)
{
  return R"({"version":")" + aVersion +
         R"(","services":[{"name":"backends"},{"name":"callers"}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
         R"("headerTimeout":"3s","idleTimeout":"15000ms"},)"
         R"("virtualHosts":[{"host":"mesh.example","paths":[)" +
         MakeRoute("r-1", "/safe/", "safe") + "," +
         MakeRoute("r-2", "/ready/", "safe") + "," +
         MakeRoute("r-3", "/upload/", "upload") + aMoreRoutes + "]}]}";
}

constexpr std::chrono::milliseconds kHeartbeat{ 200 };

std::string
Program(const std::string& aName)
{
  return std::string(TEASELHOLD_BINARY_FOLDER) + "/" + aName;
}

/// Answers what the test itself needs, and leaves the rest to the script.
AnswerServer::Script
WithReadiness(AnswerServer::Script aScript)
{
  return [script = std::move(aScript)](const std::string& aHead) {
    if (!aHead.starts_with("GET /ready/") &&
        !aHead.starts_with("GET /health")) {
      return script(aHead);
    }
    return ScriptedAnswer{ "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                           "X-Request-Id: " +
                             FieldOf(aHead, "X-Request-Id") + "\r\n\r\nready",
                           ConnectionEnd::Kept };
  };
}

} // namespace

const std::string PlatformMesh::kNewerConfiguration =
  MakeConfiguration("r5", "," + MakeRoute("r-4", "/added/", "safe"));

PlatformMesh::PlatformMesh(AnswerServer::Script aScript)
  : storeAddress_(FreeAddress())
  , upstream_(WithReadiness(std::move(aScript)))
{
  auto folder =
    (std::filesystem::temp_directory_path() / "teaselhold-XXXXXX").string();
  folder_ = mkdtemp(folder.data());
  store_ = std::make_unique<Process>(
    Program("store_stand_in"),
    std::vector<std::string>{ "--address=" + storeAddress_ },
    folder_ + "/store.log");
  WriteConfiguration(MakeConfiguration("r1", ""));
  farStore_ = std::make_unique<TcpRelay>(storeAddress_);
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    StartNode(i);
  }
  announcer_ =
    std::jthread([this](const std::stop_token& aEnd) { Announce(aEnd); });
  for (const bool isFar : { false, true }) {
    const bool carries = WaitUntil([&] { return Carries(isFar); });
    INFO(Logs());
    REQUIRE(carries);
  }
}

PlatformMesh::~PlatformMesh()
{
  announcer_ = {};
  nodes_ = {};
  farStore_.reset();
  store_.reset();
  std::error_code error;
  std::filesystem::remove_all(folder_, error);
}

void
PlatformMesh::WriteConfiguration(const std::string& aConfiguration)
{
  const nlohmann::json transaction{
    { "expected", nlohmann::json::array() },
    { "puts",
      { { { "key", "op/config" },
          { "value", absl::Base64Escape(aConfiguration) } } } },
    { "deletes", nlohmann::json::array() }
  };
  REQUIRE(WaitUntil([&] {
    return Call(storeAddress_, "POST", "/-/kv-txn", {}, transaction.dump())
             .Status() == 200;
  }));
}

void
PlatformMesh::StartNode(std::size_t aIndex)
{
  callers_[aIndex] = FreeAddress();
  dataAddresses_[aIndex] = FreeAddress();
  announcements_[aIndex] = FreeAddress();
  const auto name = "node-" + std::to_string(aIndex);
  const auto path = folder_ + "/" + name;
  std::ofstream(path + ".ini")
    << "[node]\nname = " << name
    << "\nservice = " << (aIndex == 0 ? "backends" : "callers")
    << "\ndata_centre = one\nregion = one\nenvironment = platform\n"
       "distribution = direct\ncaller_address = "
    << callers_[aIndex] << "\ndata_address = " << dataAddresses_[aIndex]
    << "\nannouncement_address = " << announcements_[aIndex]
    << "\n[store]\naddress = "
    << (aIndex == 0 ? storeAddress_ : farStore_->Address())
    << "\n[upstream]\naddress = "
    << (aIndex == 0 ? upstream_.Address() : FreeAddress())
    << "\npaced = no\n[rollouts]\nenabled = no\n";
  nodes_[aIndex] =
    std::make_unique<Process>(Program("teaselholdd"),
                              std::vector{ "--config=" + path + ".ini" },
                              path + ".log");
}

void
PlatformMesh::Announce(const std::stop_token& aEnd)
{
  for (unsigned sequence = 1; !aEnd.stop_requested(); ++sequence) {
    const nlohmann::json heartbeat{
      { "address", upstream_.Address() },
      { "born", 1000 },
      { "info",
        { { "service", "backends" }, { "zone", "one" }, { "slots", 8 } } },
      { "status",
        { { "state", "ready" }, { "seq", sequence }, { "coldLeft", "0ms" } } }
    };
    Call(announcements_[0],
         "POST",
         "/-/rpc?call=instances.heartbeat&of=i-1",
         {},
         heartbeat.dump());
    std::this_thread::sleep_for(kHeartbeat);
  }
}

CallResult
PlatformMesh::Send(bool aIsFar,
                   const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aBody)
{
  return Call(callers_[aIsFar ? 1 : 0],
              aMethod,
              aPath,
              { { "Host", "mesh.example" },
                { "X-Request-Id", "r-" + std::to_string(++nextRequest_) },
                { "X-Deadline-Ms", "5000" } },
              aBody);
}

std::unique_ptr<AnswerServer>
PlatformMesh::TakeNearNode(AnswerServer::Script aScript)
{
  nodes_[0]->Kill();
  const auto address = *transport::ParseSocketAddress(dataAddresses_[0]);
  return std::make_unique<AnswerServer>(std::move(aScript), address.port);
}

bool
PlatformMesh::Carries(bool aIsFar)
{
  return Send(aIsFar, "GET", "/ready/").Body() == "ready";
}

std::string
PlatformMesh::Logs() const
{
  std::stringstream text;
  constexpr std::size_t kMostOfEach = 4000;
  for (const auto* name : { "node-0", "node-1" }) {
    std::stringstream log;
    log << std::ifstream(folder_ + "/" + name + ".log").rdbuf();
    const auto bytes = log.str();
    text << bytes.substr(bytes.size() - std::min(bytes.size(), kMostOfEach));
  }
  return text.str();
}

} // namespace teaselhold::tests
