#include "Tests/Services/Mesh.h"

#include "Transport/SocketAddress.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <set>

using namespace teaselhold::tests;

namespace {

/// A caller's connection that the test controls byte by byte.
class RawCall
{
public:
  RawCall(const std::string& aAddress, const std::string& aBytes)
    : socket_(context_)
  {
    const auto address = *teaselhold::transport::ParseSocketAddress(aAddress);
    socket_.connect(
      { boost::asio::ip::make_address(address.host), address.port });
    Send(aBytes);
  }
  void Send(const std::string& aBytes)
  {
    boost::asio::write(socket_, boost::asio::buffer(aBytes));
  }
  /// @return what comes back until the node closes; "reset" if it resets.
  std::string ReadToEnd()
  {
    std::string answer;
    boost::system::error_code error;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(answer), error);
    return error == boost::asio::error::eof ? answer : "reset";
  }
  void Close() { socket_.close(); }

private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
};

unsigned
SumOf(Mesh& aMesh, const std::string& aCounter)
{
  unsigned sum = 0;
  for (std::size_t i = 0; i < aMesh.Size(); ++i) {
    sum += Mesh::Counter(aMesh[i], aCounter);
  }
  return sum;
}

} // namespace

TEST_CASE("A call that its caller gives up does not go on at the upstream")
{
  Mesh mesh(2);
  for (std::size_t entry = 0; entry < 2; ++entry) {
    const auto before = SumOf(mesh, "cancelled");
    RawCall call(mesh[entry].caller,
                 "GET /passes/hang HTTP/1.1\r\nHost: mesh\r\n"
                 "X-Run-Id: hang-" +
                   std::to_string(entry) + "\r\n\r\n");
    REQUIRE(WaitUntil([&] { return SumOf(mesh, "running") == 1; }));
    call.Close();
    CHECK(WaitUntil([&] { return SumOf(mesh, "cancelled") == before + 1; }));
    CHECK(SumOf(mesh, "running") == 0);
  }
  for (const auto& [id, count] : mesh.Runs()) {
    CHECK(count == 1);
  }
}

TEST_CASE("A partial answer of an upstream is never passed on as whole")
{
  Mesh mesh(2);
  for (std::size_t entry = 0; entry < 2; ++entry) {
    const auto check = Call(mesh[entry].caller, "GET", "/passes/partial");
    CHECK(check.Status() == 502);
    CHECK(check.Outcome() == "unknown");
    CHECK(check.Reason() == "partial-answer");
  }
}

TEST_CASE("An order on a connection that breaks or goes silent is not repeated")
{
  Mesh mesh(2);
  const auto reset = Call(
    mesh[0].caller, "POST", "/visits/reset", { { "X-Run-Id", "reset" } }, "a");
  CHECK(reset.Outcome() == "unknown");
  const auto silent = Call(mesh[0].caller,
                           "POST",
                           "/visits/silent",
                           { { "X-Run-Id", "silent" } },
                           "a");
  CHECK(silent.Outcome() == "unknown");
  CHECK(silent.Reason() == "timeout");
  CHECK(mesh.Runs()["reset"] == 1);
  CHECK(mesh.Runs()["silent"] == 1);
}

TEST_CASE("Requests that an upstream never answers give their slots back")
{
  // Guards against slots, or connections, that stay with an upstream that
  // never responds to what it cannot queue.
  constexpr std::size_t kSilent = 30;
  Mesh mesh(1);
  const auto send = [&](const std::string& aMethod,
                        const std::string& aPath,
                        std::size_t aNumber) {
    return Call(mesh[0].caller,
                aMethod,
                aPath,
                { { "X-Run-Id", aPath + std::to_string(aNumber) } });
  };
  std::vector<std::future<CallResult>> calls;
  for (std::size_t i = 0; i < kSilent; ++i) {
    const bool isOrder = i % 2 == 0;
    calls.push_back(std::async(std::launch::async,
                               send,
                               isOrder ? "POST" : "GET",
                               isOrder ? "/visits/silent" : "/passes/silent",
                               i));
  }
  std::size_t timedOut = 0;
  for (auto& call : calls) {
    const auto result = call.get();
    const bool isTimeout =
      result.Outcome() == "unknown" && result.Reason() == "timeout";
    CAPTURE(result.Outcome(), result.Reason(), result.Body());
    CHECK((isTimeout || result.Outcome() == "not-run"));
    CHECK(result.Status() == (isTimeout ? 504 : 503));
    timedOut += isTimeout ? 1 : 0;
  }
  CHECK(timedOut > 0);
  for (std::size_t i = 0; i < kSilent; ++i) {
    CHECK(send("POST", "/visits/after", i).Outcome() == "answered");
  }
  for (const auto& [id, count] : mesh.Runs()) {
    CHECK(count == 1);
  }
}

TEST_CASE("A keyed order that is sent again through another node runs once")
{
  Mesh mesh(3);
  const auto send = [&](std::size_t aNode, const std::string& aPath) {
    return Call(mesh[aNode].caller,
                "POST",
                aPath,
                { { "Idempotency-Key", "key-" + aPath.substr(8) },
                  { "X-Run-Id", aPath } },
                "one closure");
  };
  const auto first = send(0, "/visits/redeem");
  const auto second = send(1, "/visits/redeem");
  CHECK(first.Outcome() == "answered");
  CHECK(second.Outcome() == "answered");
  CHECK(first.Body() == second.Body());

  // The later sends join the run in progress.
  std::vector<std::future<CallResult>> sends;
  for (std::size_t node = 0; node < 3; ++node) {
    sends.push_back(std::async(std::launch::async, send, node, "/visits/slow"));
    REQUIRE(WaitUntil([&] { return mesh.Runs()["/visits/slow"] == 1; }));
  }
  std::set<std::string> bodies;
  for (auto& result : sends) {
    const auto answer = result.get();
    CHECK(answer.Outcome() == "answered");
    bodies.insert(answer.Body());
  }
  CHECK(bodies.size() == 1);
  const auto mismatch = Call(mesh[2].caller,
                             "POST",
                             "/visits/redeem",
                             { { "Idempotency-Key", "key-redeem" } },
                             "another closure");
  CHECK(mismatch.Reason() == "key-mismatch");
  for (const auto& [id, count] : mesh.Runs()) {
    CHECK(count == 1);
  }
}

TEST_CASE("Keyed orders that are sent at the same time run once at most")
{
  constexpr std::size_t kRounds = 6;
  Mesh mesh(3);
  for (std::size_t round = 0; round < kRounds; ++round) {
    const auto id = "round-" + std::to_string(round);
    const auto send = [&](std::size_t aNode) {
      return Call(mesh[aNode].caller,
                  "POST",
                  "/visits/redeem",
                  { { "Idempotency-Key", id }, { "X-Run-Id", id } },
                  "one closure");
    };
    std::vector<std::future<CallResult>> sends;
    for (std::size_t node = 0; node < 3; ++node) {
      sends.push_back(std::async(std::launch::async, send, node));
    }
    std::set<std::string> answers;
    for (auto& result : sends) {
      const auto answer = result.get();
      // A refusal covers only the sends that ended before this one began.
      CHECK(answer.Outcome() != "unknown");
      if (answer.Outcome() == "answered") {
        answers.insert(answer.Body());
      }
    }
    CHECK(answers.size() == mesh.Runs()[id]);
    CHECK(mesh.Runs()[id] <= 1);
    // A send after all of them gets the answer, or runs the order if none did.
    // The store's rate of claims can refuse it for a while.
    CHECK(WaitUntil([&] { return send(0).Outcome() == "answered"; }));
    CHECK(mesh.Runs()[id] == 1);
  }
}

TEST_CASE("A caller cannot set the headers that only nodes write")
{
  Mesh mesh(1);
  const auto forged = Call(mesh[0].caller,
                           "GET",
                           "/passes/1",
                           { { "Teaselhold-Service", "other" },
                             { "Teaselhold-Executor", "1" },
                             { "Teaselhold-Claim", "1;start" },
                             { "Teaselhold-Outcome", "not-run" } });
  CHECK(forged.Outcome() == "answered");
  CHECK(forged.Header("Teaselhold-Request-Id").empty());
  for (const auto* value : { "-5", "soon", "99999999999999999999" }) {
    const auto bad = Call(mesh[0].caller,
                          "GET",
                          "/passes/1",
                          { { "Teaselhold-Deadline-Ms", value } });
    CHECK(bad.Status() == 400);
    CHECK(bad.Outcome() == "not-run");
  }
  const auto late = Call(
    mesh[0].caller, "GET", "/passes/1", { { "Teaselhold-Deadline-Ms", "0" } });
  CHECK(late.Reason() == "deadline-exceeded");
}

TEST_CASE("A tenant over its limit cannot take the slots of the others")
{
  Mesh mesh(1);
  const auto send = [&](const std::string& aPath, const std::string& aTenant) {
    return Call(
      mesh[0].caller, "GET", aPath, { { "Teaselhold-Tenant", aTenant } });
  };
  auto slow = std::async(std::launch::async, send, "/passes/slow", "small");
  REQUIRE(WaitUntil([&] { return SumOf(mesh, "running") == 1; }));
  const auto second = send("/passes/1", "small");
  CHECK(second.Status() == 429);
  CHECK(second.Reason() == "tenant-limit");
  CHECK(send("/passes/1", "other").Outcome() == "answered");
  CHECK(slow.get().Outcome() == "answered");
}

TEST_CASE("Draining resets neither a half-sent request nor one that runs")
{
  Mesh mesh(1);
  RawCall halfSent(mesh[0].caller,
                   "POST /visits/half HTTP/1.1\r\nHost: mesh\r\n"
                   "Content-Length: 6\r\n\r\nabc");
  auto slow = std::async(std::launch::async, [&] {
    return Call(mesh[0].caller, "POST", "/visits/slow");
  });
  REQUIRE(WaitUntil([&] { return SumOf(mesh, "running") == 1; }));
  mesh[0].node->Signal(SIGTERM);
  CHECK(slow.get().Outcome() == "answered");
  // The node refuses new calls once its announcement has spread.
  REQUIRE(WaitUntil([&] {
    return Call(mesh[0].caller, "GET", "/passes/1").Reason() != "no-upstream";
  }));
  halfSent.Send("def");
  const auto answer = halfSent.ReadToEnd();
  CHECK(answer.find("Teaselhold-Outcome: not-run") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(mesh[0].node->Wait() == 0);
}
