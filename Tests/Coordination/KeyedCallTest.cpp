#include "Tests/Coordination/CallFixtures.h"
#include "Tests/Coordination/FakeClaimStore.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::test;

/// CallFaultMatrixTest covers moved claims, lost responses and expired leases.
namespace {

/// One keyed call through one node.
struct KeyedCallRun
{
  KeyedCallRun(CallEnvironment& aEnvironment,
               FakeClaimStore& aStore,
               const std::vector<state::EndpointRecord>& aRecords,
               const CallParameters& aFacts = MakeFacts(false, "key"))
    : session(aFacts, MakeSnapshot(MakeTable(aRecords)), aEnvironment)
    , store(aStore)
    , step(RunClaimSteps(session.Start(0s)))
  {
  }

  CallStep RunClaimSteps(CallStep aStep)
  {
    while (const auto* claim = std::get_if<ClaimStep>(&aStep)) {
      aStep = session.FinishClaim(store.Call(*claim), 0s);
    }
    return aStep;
  }

  void Finish(const Outcome& aOutcome)
  {
    step = RunClaimSteps(session.Finish(aOutcome, 0s));
  }

  /// Returns the executor, followed by "!" if the delivery may start the run.
  std::string Executor() const
  {
    const auto* attempt = std::get_if<Attempt>(&step);
    const bool mayStart = attempt != nullptr && attempt->claim->mayStart;
    return NodeOf(step) + (mayStart ? "!" : "");
  }

  CallSession session;
  FakeClaimStore& store;
  CallStep step;
};

const auto kA = MakeEndpoint("a");

} // namespace

TEST_CASE("a resend through another node goes to the same incarnation or none")
{
  FakeClaimStore store;
  auto one = MakeEnvironment("one");
  CHECK(KeyedCallRun(one, store, { kA }).Executor() == "a!");
  auto drained = kA;
  drained.state = state::EndpointState::Draining;
  auto down = kA;
  down.state = state::EndpointState::Down;
  const auto restarted = MakeEndpoint("a", "bud1", 2);
  const auto b = MakeEndpoint("b");
  for (const auto& record : { kA, drained, down, b, restarted }) {
    auto two = MakeEnvironment("two");
    const KeyedCallRun resend(two, store, { record });
    CHECK(resend.Executor() == (record == restarted ? "" : "a"));
    CHECK(RespondsWith<Unknown>(resend.step) == (record == restarted));
  }
}

TEST_CASE("another send's claim moves only after the executor refused the key")
{
  FakeClaimStore store;
  auto one = MakeEnvironment("one");
  const std::vector<state::EndpointRecord> both{ kA, MakeEndpoint("b") };
  const auto executor = KeyedCallRun(one, store, { kA }).Executor();
  for (const auto reason :
       { NotRunReason::ConnectFailed, NotRunReason::Draining }) {
    auto two = MakeEnvironment("two");
    KeyedCallRun resend(two, store, both);
    resend.Finish(NotRun{ reason });
    CHECK(resend.Executor() == "a");
    resend.Finish(NotRun{ reason });
    resend.Finish(NotRun{ reason });
    CHECK(RespondsWith<Unknown>(resend.step));
  }
  KeyedCallRun resend(one, store, both);
  resend.Finish(NotRun{ NotRunReason::KeyRefused });
  CHECK(resend.Executor() == "b!");
  CHECK(std::get<Attempt>(resend.step).claim->epoch == 2);
}

TEST_CASE("a keyed call is not run if the store is down or rate-limited")
{
  FakeClaimStore store;
  auto one = MakeEnvironment("one");
  store.down = true;
  CHECK(ReasonOf(KeyedCallRun(one, store, { kA }).step) ==
        NotRunReason::ClaimUnavailable);
  store.down = false;
  store.rateLimited = true;
  CHECK(ReasonOf(KeyedCallRun(one, store, { kA }).step) ==
        NotRunReason::ClaimUnavailable);
  store.rateLimited = false;
  auto two = MakeEnvironment("two");
  CHECK(KeyedCallRun(two, store, { kA }).Executor() == "a!");
  unsigned writes = 0;
  while (two.claims.TryWrite(0s)) {
    ++writes;
  }
  CHECK(writes < 200);
  const auto other = MakeFacts(false, "other");
  CHECK(ReasonOf(KeyedCallRun(two, store, { kA }, other).step) ==
        NotRunReason::ClaimUnavailable);
  // A resend finds the claim and needs no write.
  CHECK(KeyedCallRun(two, store, { kA }).Executor() == "a");
}

TEST_CASE(
  "a call that cannot move its claim because of the rate limit reports not run")
{
  FakeClaimStore store;
  auto one = MakeEnvironment("one");
  KeyedCallRun call(one, store, { kA, MakeEndpoint("b") });
  store.rateLimited = true;
  call.Finish(NotRun{ NotRunReason::Draining });
  CHECK(ReasonOf(call.step) == NotRunReason::Draining);
}

TEST_CASE("a key does not return the response of another request or tenant")
{
  FakeClaimStore store;
  auto one = MakeEnvironment("one");
  const KeyedCallRun first(one, store, { kA });
  auto facts = MakeFacts(false, "key");
  facts.fingerprint = 1;
  CHECK(ReasonOf(KeyedCallRun(one, store, { kA }, facts).step) ==
        NotRunReason::KeyMismatch);
  facts.tenant = "another";
  CHECK(KeyedCallRun(one, store, { kA }, facts).Executor() == "a!");
  CHECK(KeyedRequestName("s", "a/1:b", "c") !=
        KeyedRequestName("s", "a", "1:b/c"));
}

TEST_CASE("a formatted claim parses to the same claim, invalid text does not")
{
  const ClaimBinding binding{ 3, "node", 5, "127.0.0.1:1", 9, "n/1/2" };
  CHECK(ParseClaim(FormatClaim(binding)) == binding);
  CHECK_FALSE(ParseClaim("claim1 3 node"));
  CHECK_FALSE(ParseClaim("claim2 3 node 5 127.0.0.1:1 9 n/1/2"));
}
