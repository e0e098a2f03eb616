#include "Services/teaselholdd/UpstreamLink.h"
#include "Tests/Support/AnswerServer.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace teaselhold;
using namespace teaselhold::daemon;
using namespace teaselhold::tests;

// Guards against a health endpoint that is in trouble and counts as healthy.

namespace {

struct HealthAnswer
{
  const char* name;
  std::string bytes;
  ConnectionEnd end = ConnectionEnd::Kept;
};

std::vector<HealthAnswer>
BrokenAnswers()
{
  return {
    { "status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok" },
    { "blank in a name",
      "HTTP/1.1 200 OK\r\nX Bad: a\r\nContent-Length: 2\r\n\r\nok" },
    { "folded line",
      "HTTP/1.1 200 OK\r\nX-A: a\r\n b\r\nContent-Length: 2\r\n\r\nok" },
    { "folded length",
      "HTTP/1.1 200 OK\r\nX-A: a\r\n Content-Length: 3\r\n\r\nok",
      ConnectionEnd::Closed },
    { "unknown coding",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
      ConnectionEnd::Closed },
    { "unknown coding and a length",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"
      "Content-Length: 2\r\n\r\nok" },
    { "cut body",
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
      ConnectionEnd::Closed },
    { "no length and a reset",
      "HTTP/1.1 200 OK\r\n\r\nok",
      ConnectionEnd::Reset },
  };
}

/// Probes an upstream until its health endpoint was asked some times.
/// @return whether it was ever taken for ready.
bool
WasReady(const HealthAnswer& aAnswer, bool aAcceptsUnframed)
{
  constexpr unsigned kProbes = 4;
  const AnswerServer server({ { aAnswer.bytes, aAnswer.end } });
  Settings settings;
  settings.upstreamAddress = server.Address();
  settings.upstreamHealthPath = "/health";
  settings.upstreamProbeInterval = 20ms;
  Adapters adapters;
  adapters.headers.acceptsUnframed = aAcceptsUnframed;
  boost::asio::io_context context(1);
  const Clock clock;
  bool wasReady = false;
  UpstreamLink link(
    context,
    settings,
    adapters,
    clock,
    nullptr,
    [&](state::EndpointState aState) {
      wasReady = wasReady || aState == state::EndpointState::Ready;
    },
    [](std::uint64_t) {});
  boost::asio::co_spawn(context, link.Probe(), boost::asio::detached);
  for (int i = 0; i < 500 && server.Requests() < kProbes; ++i) {
    context.run_for(20ms);
  }
  CHECK(server.Requests() >= kProbes);
  return wasReady;
}

} // namespace

TEST_CASE("A broken answer of a health endpoint is no sign of health")
{
  const auto answer = GENERATE(from_range(BrokenAnswers()));
  const bool acceptsUnframed = GENERATE(false, true);
  CAPTURE(answer.name, acceptsUnframed);
  CHECK_FALSE(WasReady(answer, acceptsUnframed));
}

TEST_CASE("A whole answer of a health endpoint makes an upstream ready")
{
  CHECK(WasReady({ "whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" },
                 false));
  CHECK(WasReady(
    { "no length", "HTTP/1.1 200 OK\r\n\r\nok", ConnectionEnd::Closed }, true));
}
