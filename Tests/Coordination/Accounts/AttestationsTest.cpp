#include "Coordination/Accounts/Attestations.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace std::chrono_literals;
using coordination::Attestation;
using coordination::Attestations;
using coordination::KeyRule;
using state::Instant;

TEST_CASE("Keys are used only while an attestation is younger than the bound",
          "[accounts]")
{
  const KeyRule rule{ 5s };
  Attestations attestations;
  CHECK_FALSE(rule.MayUseKeys(attestations, 7, Instant(1s)));
  attestations.Add({ 7, Instant(10s) });
  CHECK(rule.MayUseKeys(attestations, 7, Instant(14s)));
  // Clocks that run at different speeds take part of the bound.
  CHECK_FALSE(rule.MayUseKeys(attestations, 7, Instant(4950ms + 10s)));
  CHECK_FALSE(rule.MayUseKeys(attestations, 7, Instant(15s)));
}

TEST_CASE("Without a strict bound keys need no attestation", "[accounts]")
{
  CHECK(KeyRule{}.MayUseKeys(Attestations(), 7, Instant(1h)));
}

TEST_CASE("An attestation of a version that is not in force opens nothing",
          "[accounts]")
{
  // Guards against a node that hears from others of a version that withdraws
  // keys, and takes this for the word that its own version is the newest.
  const KeyRule rule{ 5s };
  Attestations attestations;
  attestations.Add({ 7, Instant(10s) });
  attestations.Add({ 8, Instant(14s) });
  CHECK(attestations.VerifiedAt(7) == Instant(10s));
  CHECK_FALSE(rule.MayUseKeys(attestations, 7, Instant(15s)));
  // It counts once that version is in force.
  CHECK(rule.MayUseKeys(attestations, 8, Instant(15s)));
}

TEST_CASE("Each version on the way to the newest keeps its attestation",
          "[accounts]")
{
  // Guards against refusals on a node that is always some versions behind
  // while configurations follow each other quickly.
  Attestations attestations;
  for (unsigned i = 1; i <= 10; ++i) {
    attestations.Add({ i, Instant(i * 500ms) });
  }
  CHECK(attestations.VerifiedAt(6) == Instant(3s));
  CHECK(attestations.Latest() == Attestation{ 10, Instant(5s) });
}

TEST_CASE("A later attestation of an older version replaces earlier ones",
          "[accounts]")
{
  Attestations attestations;
  attestations.Add({ 8, Instant(10s) });
  attestations.Add({ 7, Instant(11s) });
  CHECK(attestations.VerifiedAt(7) == Instant(11s));
  CHECK(attestations.VerifiedAt(8) == Instant(11s));
  // One that says less changes nothing.
  attestations.Add({ 9, Instant(10s) });
  CHECK(attestations.Latest() == Attestation{ 7, Instant(11s) });
}

TEST_CASE("A late answer of another node makes no key younger", "[accounts]")
{
  // Guards against counting from the arrival of an answer that was delayed.
  Attestations other;
  other.Add({ 7, Instant(100s) });
  const auto report = other.Report(Instant(102s));
  REQUIRE(report);
  CHECK(report->age == 2s);
  Attestations own;
  own.Learn(*report, Instant(20s));
  CHECK(own.VerifiedAt(7) == Instant(18s));
}

TEST_CASE("What another node reads while it works on a request counts",
          "[accounts]")
{
  Attestations other;
  other.Add({ 7, Instant(100s) });
  const auto report = other.Report(Instant(99s));
  REQUIRE(report);
  CHECK(report->age == -1s);
  Attestations own;
  own.Learn(*report, Instant(20s));
  CHECK(own.VerifiedAt(7) == Instant(21s));
}

TEST_CASE("Ages are rounded up", "[accounts]")
{
  // Guards against attestations that become younger with each node they pass.
  Attestations other;
  other.Add({ 7, Instant(1000us) });
  CHECK(other.Report(Instant(2001us))->age == 2ms);
  other.Add({ 7, Instant(5999us) });
  CHECK(other.Report(Instant(2000us))->age == -3ms);
}
