#include "Tests/Coordination/CallFixtures.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::test;

namespace {

const Outcome kFull = NotRun{ NotRunReason::Full };
const Outcome kConnectFailed = NotRun{ NotRunReason::ConnectFailed };
const Outcome kConnectionLost = Unknown{ UnknownReason::ConnectionLost };
const Outcome kUpstreamCrashed = Unknown{ UnknownReason::UpstreamCrashed };
const Outcome kAnswer = Answered{ 200 };

RoutingSnapshotPointer
ThreeUpstreams()
{
  return MakeSnapshot(
    MakeTable({ MakeEndpoint("a"), MakeEndpoint("b"), MakeEndpoint("c") }));
}

/// Runs a call whose attempts have the given outcomes, and returns the last
/// step. Backoffs are skipped.
CallStep
RunCall(CallSession& aSession, const std::vector<Outcome>& aOutcomes)
{
  auto step = aSession.Start(0s);
  for (const auto& outcome : aOutcomes) {
    if (std::holds_alternative<BackoffStep>(step)) {
      step = aSession.Resume(std::get<BackoffStep>(step).until);
    }
    REQUIRE(std::holds_alternative<Attempt>(step));
    step = aSession.Finish(outcome, 1ms);
  }
  return step;
}

} // namespace

TEST_CASE("a call that may not be routed is refused before any delivery")
{
  auto environment = MakeEnvironment();
  const auto snapshot = ThreeUpstreams();
  const auto refusal = [&](const std::string& aMethod,
                           const std::string& aTarget,
                           unsigned aDepth) {
    auto facts = MakeFacts(true);
    facts.method = aMethod;
    facts.target = aTarget;
    facts.depth = aDepth;
    return ReasonOf(CallSession(facts, snapshot, environment).Start(0s));
  };
  CHECK(refusal("GET", "/nowhere", 0) == NotRunReason::NoRoute);
  CHECK(refusal("PUT", "/upload", 0) == NotRunReason::ServiceNotReachable);
  CHECK(refusal("GET", "/lounge", 0) == NotRunReason::NoUpstream);
  CHECK(refusal("GET", "/visits", 25) == NotRunReason::DepthExceeded);
  CHECK(
    ReasonOf(CallSession(MakeFacts(true), nullptr, environment).Start(0s)) ==
    NotRunReason::NotReady);
  CallSession acceptedCall(MakeFacts(true), snapshot, environment);
  CHECK_FALSE(NodeOf(acceptedCall.Start(0s)).empty());
}

TEST_CASE("a route that no service has a share of refuses its requests")
{
  // Guards against a 404 for a route that is there, and against requests at a
  // service that has no weight.
  const auto lookup = state::RequestClass::Lookup;
  state::RouteSpec without{ "without", "GET", "/without", "", lookup };
  state::RouteSpec weightless{ "weightless", "GET", "/weightless", "", lookup };
  weightless.targets = { { "visits", 0 }, { "lounges", 0 } };
  state::ConfigurationBuilder builder;
  builder.AddService({ "visits", {}, true });
  builder.AddService({ "lounges", {}, true });
  builder.AddRoute(without);
  builder.AddRoute(weightless);
  const auto configuration = builder.Build();
  REQUIRE(configuration);
  const auto snapshot =
    MakeSnapshot(MakeTable({ MakeEndpoint("up1") }), *configuration);
  auto environment = MakeEnvironment();
  for (const std::string target : { "/without", "/weightless" }) {
    auto facts = MakeFacts(true);
    facts.method = "GET";
    facts.target = target;
    CHECK(ReasonOf(CallSession(facts, snapshot, environment).Start(1s)) ==
          NotRunReason::NoUpstream);
  }
}

TEST_CASE("a quarantined request is refused and others pass")
{
  auto environment = MakeEnvironment();
  auto snapshot = std::make_shared<RoutingSnapshot>(*ThreeUpstreams());
  snapshot->quarantined = { 77 };
  CallSession quarantinedCall(MakeFacts(true), snapshot, environment);
  CHECK(ReasonOf(quarantinedCall.Start(0s)) == NotRunReason::Quarantined);
  auto facts = MakeFacts(true);
  facts.fingerprint = 78;
  CallSession acceptedCall(facts, snapshot, environment);
  CHECK_FALSE(NodeOf(acceptedCall.Start(0s)).empty());
}

TEST_CASE("the outcome covers all attempts of a call, not only the last one")
{
  struct Row
  {
    bool isIdempotent;
    std::vector<Outcome> attempts;
    Outcome expected;
  };
  const std::vector<Row> rows{
    { false, { kAnswer }, kAnswer },
    { false, { kConnectionLost }, kConnectionLost },
    { false, { kUpstreamCrashed }, kUpstreamCrashed },
    { false, { kConnectFailed, kConnectionLost }, kConnectionLost },
    { false, { kConnectFailed, kAnswer }, kAnswer },
    { false, { kConnectFailed, kFull, kConnectFailed }, kConnectFailed },
    { true, { kConnectionLost, kConnectFailed }, kConnectionLost },
    { true,
      { kConnectFailed, kConnectionLost, kConnectFailed },
      kConnectionLost },
    { true,
      { kConnectFailed, kConnectFailed, kConnectionLost },
      kConnectionLost },
    { true, { kConnectionLost, kAnswer }, kAnswer },
    { true, { kConnectionLost, kUpstreamCrashed }, kConnectionLost },
    { true, { kUpstreamCrashed }, kUpstreamCrashed },
    { true, { kConnectFailed, kConnectFailed, kFull }, kFull },
  };
  for (const auto& row : rows) {
    auto environment = MakeEnvironment();
    CallSession session(
      MakeFacts(row.isIdempotent), ThreeUpstreams(), environment);
    const auto step = RunCall(session, row.attempts);
    REQUIRE(std::holds_alternative<Respond>(step));
    CHECK(std::get<Respond>(step).outcome.index() == row.expected.index());
  }
}

TEST_CASE("a refusal that concerns the request itself is not retried elsewhere")
{
  for (const auto reason : { NotRunReason::TenantLimit,
                             NotRunReason::DeadlineExceeded,
                             NotRunReason::Quarantined,
                             NotRunReason::BadRequest }) {
    auto environment = MakeEnvironment();
    CallSession session(MakeFacts(true), ThreeUpstreams(), environment);
    CHECK(ReasonOf(RunCall(session, { NotRun{ reason } })) == reason);
  }
}

TEST_CASE("a retry goes to another upstream of the latest endpoint table")
{
  auto environment = MakeEnvironment();
  CallSession session(MakeFacts(false), ThreeUpstreams(), environment);
  const auto first = NodeOf(session.Start(0s));
  const auto newer = MakeTable({ MakeEndpoint(first), MakeEndpoint("new") });
  environment.router.SetEndpoints(newer, 1ms);
  CHECK(NodeOf(session.Finish(kConnectFailed, 1ms)) == "new");
}

TEST_CASE("no attempt starts after the deadline or carries the full deadline")
{
  auto environment = MakeEnvironment();
  auto facts = MakeFacts(true);
  facts.deadline = 100ms;
  CallSession session(facts, ThreeUpstreams(), environment);
  const auto step = session.Start(0s);
  const auto& attempt = std::get<Attempt>(step);
  CHECK(attempt.deadline == 100ms);
  CHECK(attempt.carriedDeadline < attempt.deadline);
  CHECK(RespondsWith<NotRun>(session.Finish(kConnectFailed, 100ms)));
  CallSession late(facts, ThreeUpstreams(), environment);
  CHECK(ReasonOf(late.Start(100ms)) == NotRunReason::DeadlineExceeded);
}

TEST_CASE(
  "a call backs off and retries if all upstreams refuse it because of load")
{
  auto environment = MakeEnvironment();
  const auto snapshot = MakeSnapshot(MakeTable({ MakeEndpoint("a") }));
  CallSession session(MakeFacts(false), snapshot, environment);
  session.Start(0s);
  const auto step = session.Finish(kFull, 1ms);
  REQUIRE(std::holds_alternative<BackoffStep>(step));
  const auto until = std::get<BackoffStep>(step).until;
  CHECK(until > 3ms);
  CHECK(until < 12ms);
  CHECK(NodeOf(session.Resume(until)) == "a");
  // A failed connection does not lead to a backoff.
  CallSession other(MakeFacts(false), snapshot, environment);
  other.Start(1s);
  CHECK(RespondsWith<NotRun>(other.Finish(kConnectFailed, 1s)));
}

TEST_CASE("retries stay within a tenth of the calls if all attempts fail")
{
  auto environment = MakeEnvironment();
  const auto snapshot = ThreeUpstreams();
  constexpr int kCalls = 2000;
  int attempts = 0;
  for (int i = 0; i < kCalls; ++i) {
    const auto now = 1ms * i;
    CallSession session(MakeFacts(true), snapshot, environment);
    auto step = session.Start(now);
    while (std::holds_alternative<Attempt>(step)) {
      ++attempts;
      step = session.Finish(kConnectFailed, now);
    }
  }
  CHECK(attempts - kCalls <= kCalls / 10 + 10 + 2);
  CHECK(attempts - kCalls >= kCalls / 10);
}

TEST_CASE("the retry budget allows retries to a service with few calls")
{
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 100; ++i) {
    budget.OnCall("rare", 10s * i);
    if (budget.HasToken("rare", 10s * i)) {
      budget.Spend("rare", 10s * i);
      ++retries;
    }
  }
  CHECK(retries == 100);
}

TEST_CASE("an abandoned call no longer counts as load on its upstream")
{
  auto environment = MakeEnvironment();
  auto record = MakeEndpoint("a");
  record.slots = 1;
  const auto snapshot =
    MakeSnapshot(MakeTable({ record, MakeEndpoint("b", "bud2") }));
  {
    CallSession session(MakeFacts(true), snapshot, environment);
    REQUIRE(NodeOf(session.Start(0s)) == "a");
    CallSession other(MakeFacts(true), snapshot, environment);
    CHECK(NodeOf(other.Start(0s)) == "b");
  }
  CallSession session(MakeFacts(true), snapshot, environment);
  CHECK(NodeOf(session.Start(0s)) == "a");
}

namespace {

/// A chain of services in which each hop calls the next one with the retries
/// that are left. The last hop always has the given outcome.
class Chain
{
public:
  explicit Chain(Outcome aEnd)
    : end_(std::move(aEnd))
  {
  }

  Respond Call(unsigned aDepth, unsigned aRetriesLeft)
  {
    auto facts = MakeFacts(true);
    facts.depth = aDepth;
    facts.retriesLeft = aRetriesLeft;
    auto environment = MakeEnvironment();
    CallSession session(facts, ThreeUpstreams(), environment);
    auto step = session.Start(0s);
    while (const auto* attempt = std::get_if<Attempt>(&step)) {
      ++attempts;
      auto inner = Respond{ end_, attempt->retriesLeft };
      if (aDepth + 1 < kHops) {
        inner = Call(aDepth + 1, attempt->retriesLeft);
      }
      // The upstream of this hop ran, so a failure behind it is not NotRun for
      // this hop.
      const bool failed = !std::holds_alternative<Answered>(inner.outcome);
      step = session.Finish(aDepth + 1 < kHops && failed ? kConnectionLost
                                                         : inner.outcome,
                            0s,
                            inner.retriesLeft);
    }
    return std::get<Respond>(step);
  }

  static constexpr unsigned kHops = 22;
  unsigned attempts = 0;

private:
  Outcome end_;
};

} // namespace

TEST_CASE("retries do not multiply along a chain of 22 calls")
{
  for (const auto& end : { kConnectionLost, kConnectFailed }) {
    for (const unsigned allowance : { 0U, 1U, 2U, 5U }) {
      Chain chain(end);
      const auto response = chain.Call(0, allowance);
      CHECK(chain.attempts <= Chain::kHops * (allowance + 1));
      CHECK(response.retriesLeft <= allowance);
      CHECK(std::holds_alternative<Unknown>(response.outcome));
    }
  }
  Chain healthy(kAnswer);
  CHECK(healthy.Call(0, 2).retriesLeft == 2);
  CHECK(healthy.attempts == Chain::kHops);
}
