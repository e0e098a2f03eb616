#include "Coordination/Quotas/Quotas.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination::quotas;
using namespace std::chrono_literals;

namespace {

constexpr Position kPosition{ 1, 0, 0 };

PartLimit
Limit()
{
  return { 10, 30, 15 };
}

Ask
AskFor(std::uint32_t aNeed, std::uint32_t aAhead)
{
  Ask ask{ kPosition, "account" };
  ask.need = aNeed;
  ask.ahead = aAhead;
  return ask;
}

ElectorRing
RingOf(const std::vector<std::string>& aNodes)
{
  state::EndpointTable table;
  for (const auto& node : aNodes) {
    state::EndpointRecord record;
    record.node = node;
    record.dataAddress = "127.0.0.1:1";
    record.state = state::EndpointState::Ready;
    table.Merge(record);
  }
  ElectorRing ring;
  ring.SetNodes(table);
  return ring;
}

} // namespace

// Guards against a successor that lends a full burst while nodes still hold
// what the lender before it lent.
TEST_CASE("A new lender begins without credit and fills slowly", "[quotas]")
{
  CreditLedger ledger(Limit(), 7, 100s, 100s);
  CHECK(ledger.Serve("a", AskFor(5, 0), 100s).need == 0);
  CHECK(ledger.Serve("a", AskFor(50, 0), 101s).need == 10);
  // What may be held is left out until it has expired.
  CHECK(ledger.Serve("a", AskFor(50, 0), 109s).need == 15);
  CreditLedger older(Limit(), 7, 100s, 120s);
  CHECK(older.Serve("a", AskFor(50, 0), 120s).need == 30);
}

// Guards against a limit that is exceeded by what nodes hold: the burst comes
// on top of it otherwise.
TEST_CASE("Held credit counts against the capacity", "[quotas]")
{
  CreditLedger ledger(Limit(), 7, 0s, 60s);
  const auto grant = ledger.Serve("a", AskFor(0, 12), 60s);
  CHECK(grant.ahead > 0);
  CHECK(ledger.Serve("b", AskFor(100, 0), 65s).need + grant.ahead == 30);
  // Its node is gone, so the credit counts as used, and refills.
  CHECK(ledger.Total() <= 30);
  ledger.Serve("b", AskFor(0, 0), 90s);
  CHECK(ledger.Total() == 30);
}

TEST_CASE("Returned credit can be lent again at once", "[quotas]")
{
  CreditLedger ledger(Limit(), 7, 0s, 60s);
  const auto grant = ledger.Serve("a", AskFor(0, 12), 60s);
  CHECK(ledger.Serve("b", AskFor(100, 0), 60s).need + grant.ahead == 30);
  auto back = AskFor(0, 0);
  back.term = 7;
  back.returned = grant.ahead;
  ledger.Serve("a", back, 60s);
  CHECK(ledger.Serve("b", AskFor(100, 0), 60s).need == grant.ahead);
  // Credit of another lender's term does not exist here.
  back.term = 6;
  ledger.Serve("a", back, 60s);
  CHECK(ledger.Serve("b", AskFor(100, 0), 60s).need == 0);
}

// Guards against an account that is refused everything after its limit was
// lowered, because nodes are thought to hold more than the new limit.
TEST_CASE("A lowered limit shrinks what nodes are thought to hold", "[quotas]")
{
  CreditLedger ledger(Limit(), 7, 0s, 60s);
  for (const auto* node : { "a", "b", "c", "d" }) {
    ledger.Serve(node, AskFor(0, 4), 60s);
  }
  ledger.SetLimit({ 1, 3, 1.5 }, 60s);
  CHECK(ledger.Serve("e", AskFor(5, 0), 62s).need >= 2);
}

// Guards against two lenders of a position: an elector that vouches twice.
TEST_CASE("An elector vouches for one node at a time", "[quotas]")
{
  LendingLeases elector("e", 1, 0s);
  const Claim claim{ kPosition, 1 };
  // A process before this one may have vouched for another node.
  CHECK_FALSE(elector.OnClaim("a", 1, claim, 1s).isGiven);
  CHECK(elector.OnClaim("a", 1, claim, 2s).isGiven);
  CHECK_FALSE(elector.OnClaim("b", 1, claim, 3s).isGiven);
  CHECK(elector.OnClaim("b", 1, claim, 3s).lender == "a");
  CHECK(elector.OnClaim("b", 1, claim, 4s).isGiven);
  // A restarted process of the same node: the one before has ended.
  CHECK(elector.OnClaim("b", 2, claim, 4s).isGiven);
  CHECK_FALSE(elector.OnClaim("b", 1, claim, 4s).isGiven);
}

// Guards against a release that is overtaken by the sender's next claim.
TEST_CASE("A late release ends no newer promise", "[quotas]")
{
  LendingLeases elector("e", 1, 0s);
  CHECK(elector.OnClaim("a", 1, { kPosition, 5 }, 3s).isGiven);
  elector.OnClaim("a", 1, { kPosition, 4, true }, 3s);
  CHECK_FALSE(elector.OnClaim("b", 1, { kPosition, 1 }, 3s).isGiven);
  elector.OnClaim("a", 1, { kPosition, 6, true }, 3s);
  CHECK(elector.OnClaim("b", 1, { kPosition, 2 }, 3s).isGiven);
}

TEST_CASE("A node lends only while a majority vouches", "[quotas]")
{
  const auto ring = RingOf({ "a", "b", "c", "d", "e" });
  const auto self = ring.Electors(kPosition)[0];
  LendingLeases leases(self, 1, 0s);
  leases.SetPositions(ring, 1, 0s);
  LendingLeases::OutgoingClaims claims;
  leases.Tick(2s, claims);
  REQUIRE(!claims.empty());
  std::size_t given = 0;
  for (const auto& elector : ring.Electors(kPosition)) {
    if (elector != self && given < 2) {
      CHECK_FALSE(leases.FindLending(kPosition, 2100ms));
      leases.OnVouch(elector, { kPosition, true, self }, 2s, 2100ms);
      ++given;
    }
  }
  CHECK(leases.FindLending(kPosition, 3999ms));
  // From when the claims were sent, not from when the answers came.
  CHECK_FALSE(leases.FindLending(kPosition, 4s));
}

TEST_CASE("A join changes few electors", "[quotas]")
{
  std::vector<std::string> nodes;
  for (int i = 0; i < 89; ++i) {
    nodes.push_back("node-" + std::to_string(i));
  }
  const auto before = RingOf(nodes);
  nodes.emplace_back("node-new");
  const auto after = RingOf(nodes);
  std::size_t changed = 0;
  for (std::uint32_t slot = 0; slot < 100; ++slot) {
    const Position position{ 100, slot, 0 };
    CHECK(before.Electors(position).size() == ElectorRing::kElectors);
    changed += before.Electors(position) != after.Electors(position) ? 1 : 0;
  }
  // 5 of 90 by chance.
  CHECK(changed <= 20);
}

TEST_CASE("Messages between lenders and nodes survive encoding", "[quotas]")
{
  QuestionMessage questions{ "node-1", 17, {} };
  Ask ask{ { 4, 3, 2 }, "account one" };
  ask.term = ~0ULL;
  ask.held = 1;
  ask.returned = 2;
  ask.need = 3;
  ask.ahead = 4;
  questions.questions = { Claim{ kPosition, 9, true }, ask };
  const auto text = Encode(questions);
  const auto decoded = DecodeQuestions(text);
  REQUIRE(decoded);
  CHECK(decoded->node == "node-1");
  CHECK(decoded->incarnation == 17);
  CHECK(Encode(*decoded) == text);
  CHECK(std::get<Ask>(decoded->questions[1]).term == ~0ULL);

  AnswerMessage answers;
  answers.answers = { Vouch{ kPosition, true, "node-2" },
                      Grant{ kPosition, "account one", 5, 1, 2, 300ms },
                      Moved{ kPosition, "account one", "" } };
  const auto answerText = Encode(answers);
  const auto decodedAnswers = DecodeAnswers(answerText);
  REQUIRE(decodedAnswers);
  CHECK(Encode(*decodedAnswers) == answerText);

  for (const auto* bad : { "",
                           "claim\t1\t0\t0\t1\t0\n",
                           "from\ta\t1",
                           "from\ta\t1\nask\t1\t0\t0\n",
                           "from\ta\t1\nclaim\t1\t1\t0\t1\t0\n",
                           "from\ta\t1\nclaim\t1\t0\t3\t1\t0\n",
                           "from\ta\t1\nclaim\t1\t0\t0\t1\t0\tx\n",
                           "from\ta\tx\n",
                           "other\n" }) {
    CHECK_FALSE(DecodeQuestions(bad));
  }
}
