#include "State/RunLedger.h"

#include <catch2/catch.hpp>

using namespace teaselhold::state;
using namespace std::chrono_literals;

namespace {

KeyedDelivery
First(const std::string& aName, std::uint64_t aEpoch = 1)
{
  return { aName, 7, aEpoch, true, 1 };
}

KeyedDelivery
Again(const std::string& aName, std::uint64_t aEpoch = 1, std::uint64_t aId = 2)
{
  return { aName, 7, aEpoch, false, aId };
}

template<typename Kind>
bool
Is(const KeyedVerdict& aVerdict)
{
  return std::holds_alternative<Kind>(aVerdict);
}

} // namespace

TEST_CASE("a second send joins the run and then gets the stored answer")
{
  RunLedger ledger;
  CHECK(Is<StartRun>(ledger.Arrive(First("k"), 0s)));
  CHECK(Is<JoinRun>(ledger.Arrive(Again("k", 1, 5), 0s)));
  // Not even a delivery that may start runs it beside the first one.
  CHECK(Is<JoinRun>(ledger.Arrive(First("k", 2), 0s)));
  CHECK(ledger.Answer("k", { 201, "done" }, 1s) ==
        std::vector<std::uint64_t>{ 5, 1 });
  const auto replay = ledger.Arrive(Again("k"), 23h);
  REQUIRE(Is<ReplayAnswer>(replay));
  CHECK(std::get<ReplayAnswer>(replay).answer->content == "done");
}

TEST_CASE("a resend that overtakes the first send keeps it from running")
{
  RunLedger ledger;
  CHECK(Is<RefuseKey>(ledger.Arrive(Again("k"), 0s)));
  CHECK(Is<RefuseKey>(ledger.Arrive(First("k"), 1s)));
  CHECK(Is<StartRun>(ledger.Arrive(First("k", 2), 2s)));
}

TEST_CASE("a refusal holds for its epoch, also for later deliveries")
{
  RunLedger ledger;
  ledger.Arrive(First("k"), 0s);
  ledger.Arrive(Again("k", 1, 9), 0s);
  CHECK(ledger.Refuse("k", 0s) == std::vector<std::uint64_t>{ 9 });
  CHECK(Is<RefuseKey>(ledger.Arrive(First("k"), 1s)));
  CHECK(Is<RefuseKey>(ledger.Arrive(Again("k", 3), 1s)));
  CHECK(Is<RefuseKey>(ledger.Arrive(First("k", 3), 1s)));
  CHECK(Is<StartRun>(ledger.Arrive(First("k", 4), 1s)));
}

TEST_CASE("a run whose end is unknown is never repeated")
{
  RunLedger ledger;
  ledger.Arrive(First("k"), 0s);
  ledger.Lose("k", 1s);
  const auto verdict = ledger.Arrive(First("k", 2), 2s);
  REQUIRE(Is<LostRun>(verdict));
  CHECK(std::get<LostRun>(verdict).duringRun);
}

TEST_CASE("a key with another content does not get the stored answer")
{
  RunLedger ledger;
  ledger.Arrive(First("k"), 0s);
  ledger.Answer("k", { 200, "mine" }, 0s);
  auto other = Again("k");
  other.fingerprint = 8;
  CHECK(Is<MismatchedKey>(ledger.Arrive(other, 1s)));
}

TEST_CASE("an answer that is too large or was dropped is unknown, not rerun")
{
  RunLedgerOptions options;
  options.maxAnswerBytes = 100;
  options.maxTotalBytes = 250;
  RunLedger ledger(options);
  for (const std::string name : { "a", "b", "c" }) {
    ledger.Arrive(First(name), 0s);
    ledger.Answer(name, { 200, std::string(100, 'x') }, 0s);
  }
  CHECK(ledger.StoredBytes() == 200);
  CHECK(Is<LostRun>(ledger.Arrive(First("a", 2), 1s)));
  CHECK(Is<ReplayAnswer>(ledger.Arrive(Again("c"), 1s)));
  ledger.Arrive(First("d"), 1s);
  ledger.Answer("d", { 200, std::string(101, 'x') }, 1s);
  CHECK(Is<LostRun>(ledger.Arrive(Again("d"), 1s)));
}

TEST_CASE("a forgotten key is unknown and never runs by a resend")
{
  RunLedgerOptions options;
  options.maxKeys = 2;
  RunLedger ledger(options);
  for (const std::string name : { "a", "b" }) {
    ledger.Arrive(First(name), 0s);
    ledger.Answer(name, { 200, "" }, 0s);
  }
  // Too young to forget: the newcomer is refused instead.
  CHECK(Is<RefuseKey>(ledger.Arrive(First("c"), 1min)));
  CHECK(Is<LostRun>(ledger.Arrive(Again("c"), 1min)));
  CHECK(Is<StartRun>(ledger.Arrive(First("c"), 10min)));
  CHECK(ledger.Size() == 2);
  CHECK(Is<LostRun>(ledger.Arrive(Again("a"), 11min)));
  ledger.Answer("c", { 200, "" }, 11min);
  // Every claim of the time before has expired.
  CHECK(Is<RefuseKey>(ledger.Arrive(Again("a"), 40h)));
}
