#include "Tests/Coordination/CallFixtures.h"
#include "Tests/Coordination/FakeClaimStore.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::test;

namespace {

const Outcome kLost = Unknown{ UnknownReason::ConnectionLost };

/// One node that keyed calls enter, with the store that all nodes share.
struct Entry
{
  explicit Entry(const std::string& aNode, FakeClaimStore& aStore)
    : environment(MakeEnvironment(aNode))
    , store(aStore)
  {
  }

  std::unique_ptr<CallSession> Open(const RoutingSnapshotPointer& aSnapshot,
                                    const std::string& aKey = "key")
  {
    return std::make_unique<CallSession>(
      MakeFacts(false, aKey), aSnapshot, environment);
  }

  /// Answers the store's calls until another step comes.
  CallStep Claim(CallSession& aSession, CallStep aStep, state::Instant aNow)
  {
    while (const auto* claim = std::get_if<ClaimStep>(&aStep)) {
      aStep = aSession.FinishClaim(store.Call(*claim), aNow);
    }
    return aStep;
  }

  CallStep Start(CallSession& aSession)
  {
    return Claim(aSession, aSession.Start(0s), 0s);
  }

  CallStep Finish(CallSession& aSession, const Outcome& aOutcome)
  {
    return Claim(aSession, aSession.Finish(aOutcome, 1ms), 1ms);
  }

  CallEnvironment environment;
  FakeClaimStore& store;
};

RoutingSnapshotPointer
TwoUpstreams(std::uint64_t aIncarnation = 1)
{
  return MakeSnapshot(MakeTable({ MakeEndpoint("a", "bud1", aIncarnation),
                                  MakeEndpoint("b", "bud1", aIncarnation) }));
}

ClaimTicket
TicketOf(const CallStep& aStep)
{
  const auto* attempt = std::get_if<Attempt>(&aStep);
  REQUIRE(attempt != nullptr);
  return attempt->claim.value();
}

} // namespace

TEST_CASE("a resend through another node goes to the same executor")
{
  FakeClaimStore store;
  Entry one("one", store);
  Entry two("two", store);
  const auto first = one.Open(TwoUpstreams());
  const auto sent = one.Start(*first);
  CHECK(TicketOf(sent) == ClaimTicket{ 1, 1, true });
  CHECK(store.calls == 2);
  const auto second = two.Open(TwoUpstreams());
  const auto resent = two.Start(*second);
  CHECK(NodeOf(resent) == NodeOf(sent));
  CHECK(TicketOf(resent) == ClaimTicket{ 1, 1, false });
  // The lease is shared by the claims of a node.
  store.calls = 0;
  one.Start(*one.Open(TwoUpstreams(), "other"));
  CHECK(store.calls == 1);
}

TEST_CASE("a resend after the executor's restart is unknown, not a second run")
{
  FakeClaimStore store;
  Entry entry("one", store);
  entry.Start(*entry.Open(TwoUpstreams()));
  const auto resend = entry.Open(TwoUpstreams(2));
  CHECK(RespondsWith<Unknown>(entry.Start(*resend)));
  // Known by the executor's own word only.
  const auto blind = entry.Open(TwoUpstreams(1));
  CHECK_FALSE(NodeOf(entry.Start(*blind)).empty());
  CHECK(RespondsWith<Unknown>(
    entry.Finish(*blind, NotRun{ NotRunReason::WrongExecutor })));
}

TEST_CASE("a claim moves after a certain refusal and its epoch grows")
{
  FakeClaimStore store;
  Entry entry("one", store);
  const auto session = entry.Open(TwoUpstreams());
  const auto first = NodeOf(entry.Start(*session));
  const auto moved = entry.Finish(*session, NotRun{ NotRunReason::Draining });
  CHECK(NodeOf(moved) != first);
  CHECK(TicketOf(moved) == ClaimTicket{ 1, 2, true });
}

TEST_CASE("a claim of another send does not move without the ledger's word")
{
  FakeClaimStore store;
  Entry one("one", store);
  Entry two("two", store);
  const auto first = one.Open(TwoUpstreams());
  const auto executor = NodeOf(one.Start(*first));
  for (const auto reason :
       { NotRunReason::ConnectFailed, NotRunReason::Draining }) {
    const auto resend = two.Open(TwoUpstreams());
    two.Start(*resend);
    auto step = two.Finish(*resend, NotRun{ reason });
    // The same executor is asked again, then the outcome is unknown.
    CHECK(NodeOf(step) == executor);
    CHECK_FALSE(TicketOf(step).mayStart);
    step = two.Finish(*resend, NotRun{ reason });
    step = two.Finish(*resend, NotRun{ reason });
    CHECK(RespondsWith<Unknown>(step));
  }
  const auto resend = two.Open(TwoUpstreams());
  two.Start(*resend);
  const auto step = two.Finish(*resend, NotRun{ NotRunReason::KeyRefused });
  CHECK(NodeOf(step) != executor);
  CHECK(TicketOf(step).mayStart);
}

TEST_CASE("after a lost answer the executor is asked, and may not start again")
{
  FakeClaimStore store;
  Entry entry("one", store);
  const auto session = entry.Open(TwoUpstreams());
  const auto executor = NodeOf(entry.Start(*session));
  const auto step = entry.Finish(*session, kLost);
  CHECK(NodeOf(step) == executor);
  CHECK_FALSE(TicketOf(step).mayStart);
  CHECK(RespondsWith<Answered>(entry.Finish(*session, Answered{ 200 })));
}

TEST_CASE("with the store out or its rate used up a keyed call is not run")
{
  FakeClaimStore store;
  Entry entry("one", store);
  store.down = true;
  const auto down = entry.Open(TwoUpstreams());
  CHECK(ReasonOf(entry.Start(*down)) == NotRunReason::ClaimUnavailable);
  store.down = false;
  store.rateLimited = true;
  const auto limited = entry.Open(TwoUpstreams());
  CHECK(ReasonOf(entry.Start(*limited)) == NotRunReason::ClaimUnavailable);
  store.rateLimited = false;
  unsigned admitted = 0;
  for (int i = 0; i < 500; ++i) {
    const auto session = entry.Open(TwoUpstreams(), std::to_string(i));
    admitted += NodeOf(entry.Start(*session)).empty() ? 0 : 1;
  }
  CHECK(admitted <= 200);
}

TEST_CASE("the rate limit does not keep a resend from its stored answer")
{
  FakeClaimStore store;
  Entry one("one", store);
  Entry two("two", store);
  one.Start(*one.Open(TwoUpstreams()));
  while (two.environment.claims.TryWrite(0s)) {
  }
  const auto resend = two.Open(TwoUpstreams());
  CHECK_FALSE(TicketOf(two.Start(*resend)).mayStart);
}

TEST_CASE("a lost answer of the claim's write is read back")
{
  for (const bool delayed : { false, true }) {
    FakeClaimStore store;
    Entry entry("one", store);
    store.delayWrite = delayed;
    store.loseAnswers = delayed ? 0 : 1;
    const auto session = entry.Open(TwoUpstreams());
    const auto step = entry.Start(*session);
    CHECK(TicketOf(step) == ClaimTicket{ 1, 1, true });
    // The late write finds the claim and changes nothing.
    store.LandDelayedWrite();
    Entry other("two", store);
    const auto resend = other.Open(TwoUpstreams());
    CHECK_FALSE(TicketOf(other.Start(*resend)).mayStart);
  }
}

TEST_CASE("a lapsed lease is replaced")
{
  FakeClaimStore store;
  Entry entry("one", store);
  entry.Start(*entry.Open(TwoUpstreams(), "first"));
  store.LapseLeases();
  const auto session = entry.Open(TwoUpstreams(), "second");
  CHECK(TicketOf(entry.Start(*session)).mayStart);
}

TEST_CASE("a key does not return the answer of another request or tenant")
{
  FakeClaimStore store;
  Entry entry("one", store);
  entry.Start(*entry.Open(TwoUpstreams()));
  auto facts = MakeFacts(false, "key");
  facts.fingerprint = 1;
  CallSession other(facts, TwoUpstreams(), entry.environment);
  CHECK(ReasonOf(entry.Start(other)) == NotRunReason::KeyMismatch);
  facts.tenant = "another";
  CallSession tenant(facts, TwoUpstreams(), entry.environment);
  CHECK(TicketOf(entry.Start(tenant)).mayStart);
  CHECK(NameOfKeyedRequest("s", "a/1:b", "c") !=
        NameOfKeyedRequest("s", "a", "1:b/c"));
}

TEST_CASE("an executor that drains or looks down is still asked for its answer")
{
  FakeClaimStore store;
  Entry entry("one", store);
  const auto executor = NodeOf(
    entry.Start(*entry.Open(MakeSnapshot(MakeTable({ MakeEndpoint("a") })))));
  for (const auto endpointState :
       { state::EndpointState::Draining, state::EndpointState::Down }) {
    auto record = MakeEndpoint("a");
    record.state = endpointState;
    const auto resend = entry.Open(MakeSnapshot(MakeTable({ record })));
    CHECK(NodeOf(entry.Start(*resend)) == executor);
  }
  const auto unknown =
    entry.Open(MakeSnapshot(MakeTable({ MakeEndpoint("z") })));
  CHECK(NodeOf(entry.Start(*unknown)) == executor);
}

TEST_CASE("a claim survives its text form, and other text is not a claim")
{
  const ClaimBinding binding{ 3, "node", 5, "127.0.0.1:1", 9, "n/1/2" };
  CHECK(ParseClaim(FormatClaim(binding)) == binding);
  CHECK_FALSE(ParseClaim(""));
  CHECK_FALSE(ParseClaim("claim1 3 node"));
  CHECK_FALSE(ParseClaim("claim2 3 node 5 127.0.0.1:1 9 n/1/2"));
}
