#include "Coordination/Admission.h"
#include "Coordination/TargetPicker.h"
#include "Tests/Coordination/CallFixtures.h"

#include <catch2/catch.hpp>
#include <map>

using namespace teaselhold;
using namespace teaselhold::test;

namespace {

const RouterOptions kRouterOptions{ "entry", "bud1", "bud", 1, false };
const Outcome kFull = NotRun{ NotRunReason::Full, 80ms };
const Outcome kShed = NotRun{ NotRunReason::Shed };
const Outcome kAnswer = Answered{ 200 };
const Outcome kServerError = Answered{ 500 };

/// One service with a latency objective of 500 ms and at most two attempts.
state::ConfigurationPointer
MakeObjectiveConfiguration()
{
  state::ConfigurationBuilder builder;
  builder.AddService({ "visits", {}, true });
  const auto lookup = state::RequestClass::Lookup;
  state::RouteSpec route{ "look", "GET", "/visits", "visits",
                          lookup, true,  1500ms };
  route.latencyObjective = 500ms;
  route.maxAttempts = 2;
  builder.AddRoute(route);
  route.name = "redeem";
  route.method = "POST";
  route.isIdempotent = false;
  builder.AddRoute(route);
  return *builder.Build();
}

RoutingSnapshotPointer
FourUpstreams()
{
  return MakeSnapshot(MakeTable({ MakeEndpoint("a"),
                                  MakeEndpoint("b"),
                                  MakeEndpoint("c"),
                                  MakeEndpoint("d") }),
                      MakeObjectiveConfiguration());
}

CallParameters
MakeTimedFacts(bool aIsIdempotent, state::Duration aRemaining)
{
  auto facts = MakeFacts(aIsIdempotent);
  facts.deadline = aRemaining;
  return facts;
}

} // namespace

TEST_CASE("refusals before delivery cost no attempt and no retry budget")
{
  auto environment = MakeEnvironment();
  environment.policy = CallPolicy::WithLoadReports();
  environment.budget.SetOptions({ 0, 0, 0, 0 });
  CallSession session(MakeTimedFacts(false, 3s), FourUpstreams(), environment);
  auto step = session.Start(0s);
  std::set<std::string> asked;
  for (int i = 0; i < 4; ++i) {
    asked.insert(NodeOf(step));
    step = session.Finish(kFull, 1ms);
  }
  CHECK(asked.size() == 4);
  // Every node refused, so that the caller gets the refusal at once, with the
  // time after which a slot may be free.
  const auto* respond = std::get_if<Respond>(&step);
  REQUIRE(respond != nullptr);
  CHECK(std::get<NotRun>(respond->outcome).retryAfter == 80ms);
}

TEST_CASE("an upstream's own refusal spends the retry budget")
{
  auto environment = MakeEnvironment();
  environment.policy = CallPolicy::WithLoadReports();
  environment.budget.SetOptions({ 0, 0, 0, 0 });
  CallSession session(MakeTimedFacts(true, 3s), FourUpstreams(), environment);
  session.Start(0s);
  CHECK(ReasonOf(session.Finish(kShed, 1ms)) == NotRunReason::Shed);
}

TEST_CASE(
  "a server error is retried once and returned if the retry gets no response")
{
  for (const bool isBetter : { false, true }) {
    auto environment = MakeEnvironment();
    environment.policy = CallPolicy::WithLoadReports();
    CallSession session(MakeTimedFacts(true, 3s), FourUpstreams(), environment);
    const auto first = NodeOf(session.Start(0s));
    const auto second = session.Finish(kServerError, 1ms);
    REQUIRE_FALSE(NodeOf(second).empty());
    CHECK(NodeOf(second) != first);
    const auto last = session.Finish(
      isBetter ? kAnswer : Outcome(Unknown{ UnknownReason::Timeout }), 2ms);
    const auto* respond = std::get_if<Respond>(&last);
    REQUIRE(respond != nullptr);
    REQUIRE(std::holds_alternative<Answered>(respond->outcome));
    CHECK(std::get<Answered>(respond->outcome).status ==
          (isBetter ? 200 : 500));
    CHECK(respond->isKeptServerError != isBetter);
  }
}

TEST_CASE("a server error of a request that is not idempotent is not retried")
{
  auto environment = MakeEnvironment();
  environment.policy = CallPolicy::WithLoadReports();
  CallSession session(MakeTimedFacts(false, 3s), FourUpstreams(), environment);
  session.Start(0s);
  CHECK(RespondsWith<Answered>(session.Finish(kServerError, 1ms)));
}

TEST_CASE(
  "a request waits for a slot no longer than its latency objective allows")
{
  auto environment = MakeEnvironment();
  environment.policy = CallPolicy::WithLoadReports();
  const auto maxWait = [&](state::Duration aRemaining) {
    CallSession session(
      MakeTimedFacts(true, aRemaining), FourUpstreams(), environment);
    const auto step = session.Start(0s);
    return *std::get<Attempt>(step).maxWait;
  };
  const auto first = maxWait(3s);
  CHECK(first > 200ms);
  CHECK(first < 500ms);
  // The caller's retry after 400 ms: the objective cannot be met any more.
  CHECK(maxWait(2600ms) <= 150ms);
  CHECK(maxWait(100ms) == 0ms);
}

TEST_CASE("an upload waits no longer than its objective, a small request up to "
          "its deadline")
{
  // Guards against late uploads when a link cannot carry all of them. These
  // callers leave no time for a retry, so without the limit the queue grows up
  // to their deadline and makes every upload late.
  auto environment = MakeEnvironment();
  environment.policy = CallPolicy::WithLoadReports();
  const auto maxWait = [&](BodySize aSize) {
    auto facts = MakeTimedFacts(false, 1400ms);
    facts.bodySize = aSize;
    CallSession session(std::move(facts), FourUpstreams(), environment);
    const auto step = session.Start(0s);
    return *std::get<Attempt>(step).maxWait;
  };
  CHECK(maxWait(BodySize::Large) < 500ms);
  CHECK(maxWait(BodySize::Small) > 1s);
}

TEST_CASE("a large answer has until its objective to be sent, and less from "
          "another data centre")
{
  // Guards against downloads that take the links of another data centre from
  // the callers there, and against bounds that no answer can meet.
  auto environment = MakeEnvironment();
  environment.policy = CallPolicy::WithLoadReports();
  const auto largeAnswer = [&](const std::string& aDataCentre) {
    const auto snapshot =
      MakeSnapshot(MakeTable({ MakeEndpoint("a", aDataCentre) }),
                   MakeObjectiveConfiguration());
    CallSession session(MakeTimedFacts(true, 3s), snapshot, environment);
    return std::get<Attempt>(session.Start(0s)).largeAnswer;
  };
  CHECK_FALSE(largeAnswer("bud1"));
  environment.answerSizes.Record("look", 90'000);
  const auto near = largeAnswer("bud1");
  REQUIRE(near);
  CHECK(near->bytes == 90'000);
  CHECK(near->maxTime == 400ms);
  CHECK(largeAnswer("bud2")->maxTime < near->maxTime);
}

TEST_CASE("a request whose expected wait exceeds its limit is refused at once")
{
  Admission admission(AdmissionOptions{ 2, 100, false, false });
  admission.SetState(state::EndpointState::Ready, 0s);
  for (int i = 0; i < 50; ++i) {
    admission.RecordResult(200ms, true, 0s);
  }
  const auto ask = [&](std::uint64_t aId, bool aIsFinalTry) {
    AdmissionRequest request;
    request.id = aId;
    request.deadline = 10s;
    request.isFinalTry = aIsFinalTry;
    request.maxWait = 250ms;
    return admission.Decide(request, 1s);
  };
  CHECK(std::holds_alternative<Admit>(ask(1, false)));
  CHECK(std::holds_alternative<Admit>(ask(2, false)));
  // Two slots with 200 ms of service time free one every 100 ms.
  CHECK(std::holds_alternative<Queued>(ask(3, false)));
  CHECK(std::holds_alternative<Queued>(ask(4, false)));
  const auto refused = ask(5, false);
  REQUIRE(std::holds_alternative<NotRun>(refused));
  CHECK(std::get<NotRun>(refused).retryAfter == 300ms);
  // A final try has no retry left, so it goes to the front of the queue.
  CHECK(std::holds_alternative<Queued>(ask(6, true)));
  const auto releases = admission.Finish(1, 1s);
  REQUIRE(releases.size() == 1);
  CHECK(releases[0].id == 6);
}

TEST_CASE("reported load steers requests away from full upstreams")
{
  Router router(kRouterOptions);
  router.SetEndpoints(
    MakeTable({ MakeEndpoint("near"), MakeEndpoint("far", "bud2") }), 0s);
  const auto first = router.Pick("visits", {}, 1s);
  REQUIRE(first->node == "near");
  router.OnRequestFinished(*first, kAnswer, 1s);
  router.RecordLoadReport(*first, { 12, 12, 100ms, 0 }, 1s);
  CHECK(router.Pick("visits", {}, 1s)->node == "far");
  // By then the report has expired.
  CHECK(router.Pick("visits", {}, 4s)->node == "near");
}

TEST_CASE("a far upstream is preferred to a near one behind a congested link")
{
  // Guards against sending to upstreams whose links are full while their slots
  // are free, as in a data centre with few upstreams of a service.
  Router router(kRouterOptions);
  router.SetEndpoints(
    MakeTable({ MakeEndpoint("near"), MakeEndpoint("far", "bud2") }), 0s);
  const auto first = router.Pick("visits", {}, 1s);
  REQUIRE(first->node == "near");
  router.OnRequestFinished(*first, kAnswer, 1s);
  SECTION("until the round-trip time has decayed")
  {
    router.RecordRoundTripTime(*first, 400ms, 1s);
    CHECK(router.Pick("visits", {}, 1s)->node == "far");
    CHECK(router.Pick("visits", {}, 9s)->node == "near");
  }
  SECTION("unless the far one is behind a more congested link")
  {
    router.RecordRoundTripTime(*first, 400ms, 1s);
    const auto other = router.Pick("visits", {}, 1s);
    REQUIRE(other->node == "far");
    router.OnRequestFinished(*other, kAnswer, 1s);
    router.RecordRoundTripTime(*other, 900ms, 1s);
    CHECK(router.Pick("visits", {}, 1s)->node == "near");
  }
  SECTION("but not for a delay as short as a busy processor causes")
  {
    router.RecordRoundTripTime(*first, 30ms, 1s);
    CHECK(router.Pick("visits", {}, 1s)->node == "near");
  }
}

TEST_CASE("large bodies go to an upstream that can receive them without a wait")
{
  // Guards against uploads that wait for the links of the only two upstreams of
  // their data centre while the links of other data centres are free.
  Router router(kRouterOptions);
  router.SetEndpoints(
    MakeTable({ MakeEndpoint("near"), MakeEndpoint("far", "bud2") }), 0s);
  const auto first = router.Pick("visits", {}, 1s);
  REQUIRE(first->node == "near");
  router.OnRequestFinished(*first, kAnswer, 1s);
  LoadReport report{ 0, 12, 100ms, 0 };
  report.bodyWait = 800ms;
  router.RecordLoadReport(*first, report, 1s);
  CHECK(router.Pick("visits", {}, 1s, { BodySize::Large })->node == "far");
  CHECK(router.Pick("visits", {}, 1s)->node == "near");
  // By then the reported wait has passed.
  CHECK(router.Pick("visits", {}, 2s, { BodySize::Large })->node == "near");
}

TEST_CASE("full data centres do not exchange their requests")
{
  // Guards against dear bytes between data centres that gain nothing, because
  // the other one is as full.
  Router router(kRouterOptions);
  router.SetEndpoints(
    MakeTable({ MakeEndpoint("near"), MakeEndpoint("far", "bud2") }), 0s);
  const auto report = [&](const char* aNode, std::uint32_t aOutstanding) {
    const auto endpoint = router.Find(aNode);
    router.OnRequestStarted(endpoint, 1s);
    router.OnRequestFinished(*endpoint, kAnswer, 1s);
    router.RecordLoadReport(*endpoint, { aOutstanding, 12, 100ms, 0 }, 1s);
  };
  router.OnRequestFinished(*router.Pick("visits", {}, 1s), kAnswer, 1s);
  report("near", 24);
  report("far", 20);
  CHECK(router.Pick("visits", {}, 1s)->node == "near");
  report("far", 13);
  CHECK(router.Pick("visits", {}, 1s)->node == "far");
}

TEST_CASE("large answers come from another data centre only if the near link "
          "is much fuller")
{
  // Guards against downloads that fill the links of one data centre, and
  // against dear bytes between data centres that save little time.
  Router router(kRouterOptions);
  router.SetEndpoints(
    MakeTable({ MakeEndpoint("near"), MakeEndpoint("far", "bud2") }), 0s);
  const auto first = router.Pick("visits", {}, 1s);
  REQUIRE(first->node == "near");
  router.OnRequestFinished(*first, kAnswer, 1s);
  const TransferSizes download{ BodySize::Small, BodySize::Large };
  LoadReport report{ 0, 12, 100ms, 0 };
  report.answerWait = 300ms;
  router.RecordLoadReport(*first, report, 1s);
  CHECK(router.Pick("visits", {}, 1s, download)->node == "near");
  report.answerWait = 800ms;
  router.RecordLoadReport(*first, report, 1s);
  CHECK(router.Pick("visits", {}, 1s, download)->node == "far");
  CHECK(router.Pick("visits", {}, 1s)->node == "near");
}

TEST_CASE("a download does not ask far links that are known to be busy")
{
  // Guards against requests that cross data centres only to be refused.
  Router router(kRouterOptions);
  router.SetEndpoints(
    MakeTable({ MakeEndpoint("near"), MakeEndpoint("far", "bud2") }), 0s);
  const TransferSizes download{ BodySize::Small, BodySize::Large };
  const auto near = router.Pick("visits", {}, 1s, download);
  REQUIRE(near->node == "near");
  const auto far = router.Pick("visits", { near }, 1s, download);
  REQUIRE(far->node == "far");
  router.OnRequestFinished(*far, Outcome(NotRun{ NotRunReason::LinkBusy }), 1s);
  LoadReport report{ 0, 12, 100ms, 0 };
  report.answerWait = 800ms;
  router.RecordLoadReport(*far, report, 1s);
  CHECK(router.Pick("visits", { near }, 2s, download) == nullptr);
  CHECK(router.Pick("visits", { near }, 2s)->node == "far");
  // The report is old by then.
  CHECK(router.Pick("visits", { near }, 4s, download)->node == "far");
  SECTION("unless its own data centre has no upstream of the service")
  {
    router.SetEndpoints(MakeTable({ MakeEndpoint("far", "bud2") }), 2s);
    CHECK(router.Pick("visits", {}, 2s, download)->node == "far");
  }
}

TEST_CASE("an upstream with free slots but a high failure rate is avoided")
{
  Router router(kRouterOptions);
  router.SetEndpoints(
    MakeTable({ MakeEndpoint("near"), MakeEndpoint("far", "bud2") }), 0s);
  const auto first = router.Pick("visits", {}, 1s);
  router.OnRequestFinished(*first, kAnswer, 1s);
  router.RecordLoadReport(*first, { 0, 12, 100ms, 0.5 }, 1s);
  CHECK(router.Pick("visits", {}, 1s)->node == "far");
  CHECK(router.Pick("visits", {}, 5s)->node == "near");
}

TEST_CASE(
  "a load report is parsed as formatted and malformed ones are rejected")
{
  const LoadReport report{ 7, 12, 123ms, 0.25, 45ms, 67ms, 89ms, 12ms };
  const auto read = ParseLoadReport(FormatLoadReport(report));
  REQUIRE(read);
  CHECK(read->outstandingRequests == 7);
  CHECK(read->slots == 12);
  CHECK(read->serviceTime == 123ms);
  CHECK(read->failureRate == 0.25);
  CHECK(read->ownServiceTime == 45ms);
  CHECK(read->residence == 67ms);
  CHECK(read->bodyWait == 89ms);
  CHECK(read->answerWait == 12ms);
  // Nodes of the version before this field are still understood.
  const auto old = ParseLoadReport("1;2;3;4;5;6;7");
  REQUIRE(old);
  CHECK(old->bodyWait == 7us);
  CHECK(old->answerWait == 0s);
  for (const auto* bad : { "",
                           "1;2;3;4;5;6",
                           "1;2;3;4;5;6;7;",
                           "1;2;3;4;5;6;7;8;9",
                           "1;2;3;4;5;6;7;8 ",
                           "a;2;3;4;5;6;7",
                           "1;2;3;4;5;6;7 " }) {
    CHECK_FALSE(ParseLoadReport(bad));
  }
}

TEST_CASE("weighted targets get their exact shares in short runs")
{
  state::RouteSpec route;
  route.name = "split";
  route.targets = { { "a", 90 }, { "b", 10 }, { "c", 0 } };
  TargetPicker picker(7);
  std::map<std::string, int> counts;
  for (int i = 0; i < 100; ++i) {
    ++counts[picker.Pick(route)];
  }
  CHECK(counts["a"] >= 89);
  CHECK(counts["a"] <= 91);
  CHECK(counts["c"] == 0);
  route.targets = { { "a", 1 }, { "b", 1 } };
  counts.clear();
  for (int i = 0; i < 100; ++i) {
    ++counts[picker.Pick(route)];
  }
  CHECK(counts["b"] >= 49);
}
