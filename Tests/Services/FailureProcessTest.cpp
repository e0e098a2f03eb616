#include "Tests/Services/Mesh.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

using namespace teaselhold::tests;

namespace {

constexpr unsigned kLoadCount = 1200;
constexpr unsigned kLoadRate = 400;

/// Runs after which a fault is injected, while most of the load is to come.
constexpr std::size_t kRunsBeforeFault = 200;

} // namespace

TEST_CASE("Killing the node beside an upstream breaks no promise to callers")
{
  Mesh mesh(3);
  mesh.StartLoad(kLoadCount, kLoadRate);
  REQUIRE(mesh.WaitForRuns(kRunsBeforeFault));
  mesh[1].node->Kill();
  auto outcomes = mesh.FinishLoad();
  mesh.CheckPromises();
  // Requests at the killed node are unknown; the others go elsewhere.
  CHECK(outcomes["answered"] > kLoadCount * 9 / 10);
}

TEST_CASE("Killing an upstream breaks no promise and it gets work after return")
{
  Mesh mesh(3);
  mesh.StartLoad(kLoadCount, kLoadRate);
  REQUIRE(mesh.WaitForRuns(kRunsBeforeFault));
  mesh[1].upstream->Kill();
  auto outcomes = mesh.FinishLoad();
  mesh.CheckPromises();
  CHECK(outcomes["answered"] > kLoadCount * 9 / 10);
  mesh.StartUpstream(mesh[1]);
  CHECK(WaitUntil([&] {
    Call(mesh[0].caller, "GET", "/passes/1");
    Call(mesh[1].caller, "GET", "/passes/1");
    return Mesh::Counter(mesh[1], "runs") > 0;
  }));
}

TEST_CASE("A node that is paused and returns runs no order twice")
{
  Mesh mesh(3);
  mesh.StartLoad(kLoadCount, kLoadRate, { "--timeout_milliseconds=2500" });
  REQUIRE(mesh.WaitForRuns(kRunsBeforeFault));
  mesh[1].node->Signal(SIGSTOP);
  REQUIRE(mesh.WaitForRuns(2 * kRunsBeforeFault));
  mesh[1].node->Signal(SIGCONT);
  mesh.FinishLoad();
  CHECK(WaitUntil([&] {
    return Call(mesh[1].caller, "GET", "/passes/1").Outcome() == "answered";
  }));
  mesh.CheckPromises();
}

TEST_CASE("Draining a node under load cuts no request and refuses none")
{
  Mesh mesh(3);
  mesh.StartLoad(2 * kLoadCount, kLoadRate);
  REQUIRE(mesh.WaitForRuns(kRunsBeforeFault));
  mesh[1].node->Signal(SIGTERM);
  CHECK(mesh[1].node->Wait() == 0);
  auto outcomes = mesh.FinishLoad();
  mesh.CheckPromises();
  INFO(mesh.FailureReport());
  CHECK(outcomes["answered"] == 2 * kLoadCount);
}

TEST_CASE("Signals that follow SIGTERM do not end a draining node early")
{
  // Guards against a thread that takes a signal which the main thread waited
  // for until SIGTERM came.
  Mesh mesh(1);
  auto slow = std::async(std::launch::async, [&] {
    return Call(mesh[0].caller, "POST", "/visits/slow");
  });
  REQUIRE(WaitUntil([&] { return Mesh::Counter(mesh[0], "running") == 1; }));
  mesh[0].node->Signal(SIGTERM);
  for (const int signal : { SIGHUP, SIGTERM, SIGINT }) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    mesh[0].node->Signal(signal);
  }
  CHECK(slow.get().Outcome() == "answered");
  CHECK(mesh[0].node->Wait() == 0);
  const auto log = mesh.LogOf(mesh[0]);
  CHECK(log.find("[node] Signal while draining; it changes nothing. signal=" +
                 std::to_string(SIGHUP)) != std::string::npos);
  CHECK(log.find("[node] Drained. in_flight_at_start=2 ") != std::string::npos);
  CHECK(log.find(" broken_off=0 ") != std::string::npos);
}

TEST_CASE("A request that the end of the drain broke off has a line")
{
  Mesh mesh(1, "drain_timeout = 500ms\n");
  auto hung = std::async(std::launch::async, [&] {
    return Call(mesh[0].caller, "POST", "/long/hang");
  });
  REQUIRE(WaitUntil([&] { return Mesh::Counter(mesh[0], "running") == 1; }));
  mesh[0].node->Signal(SIGTERM);
  CHECK(mesh[0].node->Wait() == 0);
  CHECK(hung.get().Outcome() != "answered");
  const auto log = mesh.LogOf(mesh[0]);
  CHECK(log.find("[call] Broken off by the end of the drain. id= "
                 "route=long service=visits node=visits-1") !=
        std::string::npos);
  CHECK(log.find("[delivery] Broken off by the end of the drain. id= "
                 "from=visits-1 service=visits class=order") !=
        std::string::npos);
  CHECK(log.find("[node] Drained. in_flight_at_start=2 "
                 "in_flight_when_refusing=2 broken_off=2") !=
        std::string::npos);
}

TEST_CASE("A signal while a node starts does not end it")
{
  // Guards against SIGHUP that comes before the signals are blocked.
  using std::chrono::milliseconds;
  Mesh mesh(1);
  const std::vector<std::optional<milliseconds>> delays{
    std::nullopt, milliseconds(0), milliseconds(2), milliseconds(20)
  };
  for (const auto& delay : delays) {
    INFO((delay ? std::to_string(delay->count()) : "none"));
    mesh.RestartNodeWithSignal(mesh[0], SIGHUP, delay);
    CHECK(WaitUntil([&] {
      return !mesh[0].node->IsRunning() ||
             Call(mesh[0].caller, "GET", "/passes/1").Outcome() == "answered";
    }));
    CHECK(mesh[0].node->IsRunning());
    mesh[0].node->Signal(SIGTERM);
    CHECK(mesh[0].node->Wait() == 0);
  }
}

TEST_CASE("Changed settings are taken without a signal and broken ones refused")
{
  Mesh mesh(1);
  mesh.WriteSettings(mesh[0], "[log]\nlevel = debug\n[retry]\nslack = 9\n");
  CHECK(WaitUntil([&] {
    return mesh.LogOf(mesh[0]).find("Settings read again. taken=log.level,"
                                    "retry.slack needs_restart=none") !=
           std::string::npos;
  }));
  mesh.WriteSettings(mesh[0], "nonsense\n");
  CHECK(WaitUntil([&] {
    return mesh.LogOf(mesh[0]).find("Settings refused") != std::string::npos;
  }));
  CHECK(Call(mesh[0].caller, "GET", "/passes/1").Outcome() == "answered");
  mesh[0].node->Signal(SIGTERM);
  CHECK(mesh[0].node->Wait() == 0);
}

TEST_CASE("An upstream that drains itself gets no new work in the end")
{
  Mesh mesh(2);
  REQUIRE(Call(mesh[0].upstreamAddress, "POST", "/stand-in/drain").Status() ==
          200);
  CHECK(WaitUntil([&] {
    const auto shed = Mesh::Counter(mesh[0], "shed");
    const auto runs = Mesh::Counter(mesh[0], "runs");
    for (int i = 0; i < 10; ++i) {
      Call(mesh[0].caller, "GET", "/passes/1");
    }
    return Mesh::Counter(mesh[0], "shed") == shed &&
           Mesh::Counter(mesh[0], "runs") == runs;
  }));
}

TEST_CASE("A request that crashes upstreams stops after a few of them")
{
  Mesh mesh(5);
  // The caller sends it again and again, through every node.
  std::size_t next = 0;
  CHECK(WaitUntil([&] {
    const auto result =
      Call(mesh[next++ % mesh.Size()].caller, "GET", "/passes/crash");
    return result.Reason() == "quarantined";
  }));
  const auto quarantinedEverywhere = [&] {
    bool everywhere = true;
    for (std::size_t i = 0; i < mesh.Size(); ++i) {
      const auto result = Call(mesh[i].caller, "GET", "/passes/crash");
      everywhere = everywhere && result.Reason() == "quarantined";
    }
    return everywhere;
  };
  CHECK(WaitUntil(quarantinedEverywhere));
  std::size_t survivors = 0;
  for (std::size_t i = 0; i < mesh.Size(); ++i) {
    survivors += mesh[i].upstream->IsRunning() ? 1 : 0;
  }
  CHECK(survivors >= 2);
  CHECK(Call(mesh[0].caller, "GET", "/passes/1").Outcome() == "answered");
}
