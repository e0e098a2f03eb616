#include "Coordination/Accounts/KeyVerification.h"
#include "Coordination/DirectCore.h"
#include "Protocol/ConfigurationText.h"
#include "Tests/Coordination/CoreHarness.h"

using namespace teaselhold;
using namespace teaselhold::tests;

namespace {

constexpr const char* kDigest =
  "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

std::string
TextWithAccount(const std::string& aName = "hule")
{
  return std::string(kSmallText) + "[account " + aName +
         "]\nkey_digests = " + kDigest + "\n";
}

protocol::StoreEntry
MakeAccountVersion(std::uint64_t aGeneration, std::uint64_t aRevision)
{
  wire::StoredConfiguration stored;
  stored.set_generation(aGeneration);
  stored.set_text(TextWithAccount());
  return { stored.SerializeAsString(), aRevision };
}

NodeOptions
StrictOptions()
{
  NodeOptions options;
  options.identity = { "me", 1, "visits", "one", "one", "10.0.0.1:80", "", 0 };
  options.strictRevokeBound = 5s;
  return options;
}

} // namespace

TEST_CASE("The first read attests as of its sending", "[accounts]")
{
  // Guards against an answer that was on the way while a key was withdrawn.
  CoreHarness harness(StrictOptions());
  const auto sent = harness.now;
  harness.now += 800ms;
  harness.Answer<StoreWatch>(MakeAccountVersion(7, 3));
  CHECK(harness.attested == Attestation{ 7, sent });
}

TEST_CASE("A read that finds nothing new attests the version in force",
          "[accounts]")
{
  CoreHarness harness(StrictOptions());
  harness.Answer<StoreWatch>(MakeAccountVersion(7, 3));
  harness.RunFor(4s);
  REQUIRE(harness.Pending<StoreGetIfChanged>() != nullptr);
  harness.Answer<StoreGetIfChanged>(protocol::StoreEntry{ "", 3 });
  REQUIRE(harness.attested);
  CHECK(harness.attested->generation == 7);
  CHECK(harness.attested->time > 1s);
  CHECK(harness.attested->time < harness.now);
}

TEST_CASE("A watch attests nothing", "[accounts]")
{
  // Guards against watches that miss changes while the store drops its history.
  CoreHarness harness(StrictOptions());
  harness.Answer<StoreWatch>(MakeAccountVersion(7, 3));
  harness.attested.reset();
  harness.Answer<StoreWatch>(MakeAccountVersion(8, 5));
  CHECK(harness.snapshot->configuration->GetGeneration() == 8);
  CHECK_FALSE(harness.attested);
}

TEST_CASE("A newest version that is refused attests nothing", "[accounts]")
{
  // Guards against a node that keeps its keys because it cannot read the
  // version that withdraws them.
  CoreHarness harness(StrictOptions());
  harness.Answer<StoreWatch>(MakeAccountVersion(7, 3));
  harness.RunFor(4s);
  harness.attested.reset();
  wire::StoredConfiguration stored;
  stored.set_generation(8);
  stored.set_defect("cut short");
  harness.Answer<StoreGetIfChanged>(
    protocol::StoreEntry{ stored.SerializeAsString(), 6 });
  CHECK_FALSE(harness.attested);
  harness.RunFor(6s);
  harness.Answer<StoreGetIfChanged>(protocol::StoreEntry{ "", 6 });
  CHECK_FALSE(harness.attested);
}

TEST_CASE("An older version in the store brings no withdrawn key back",
          "[accounts]")
{
  // Guards against a store that was restored from an older state, and against
  // taking its word for it that the version in force is the newest.
  CoreHarness harness(StrictOptions());
  harness.Answer<StoreWatch>(MakeAccountVersion(7, 3));
  harness.RunFor(4s);
  harness.attested.reset();
  harness.Answer<StoreGetIfChanged>(MakeAccountVersion(6, 9));
  CHECK(harness.snapshot->configuration->GetGeneration() == 7);
  CHECK_FALSE(harness.attested);
}

TEST_CASE("A node that hears nothing asks the store well before the bound",
          "[accounts]")
{
  CoreHarness harness(StrictOptions());
  harness.Answer<StoreWatch>(MakeAccountVersion(7, 3));
  harness.RunFor(4s);
  harness.Answer<StoreGetIfChanged>(protocol::StoreEntry{ "", 3 });
  const auto verified = harness.now;
  while (harness.Pending<StoreGetIfChanged>() == nullptr) {
    harness.RunFor(100ms);
    REQUIRE(harness.now - verified < 3500ms);
  }
}

TEST_CASE("A node that hears from others leaves the store alone", "[accounts]")
{
  // The load that this guards: 6,500 nodes that each read every 2.5 s would be
  // 2,600 calls a second.
  CoreHarness harness(StrictOptions());
  harness.Answer<StoreWatch>(MakeAccountVersion(7, 3));
  // A fleet of 100, whose nodes poll each 50 s.
  protocol::StoreListing listing{ {}, 9 };
  for (int i = 0; i < 100; ++i) {
    listing.items.push_back(
      MakeItem(MakeRecord("a" + std::to_string(i), EndpointState::Ready), 8));
  }
  harness.Answer<StoreList>(listing);
  std::size_t polls = 0;
  // Others check more than twice a second.
  for (int i = 0; i < 200; ++i) {
    harness.Handle(PeerVersionSeen{
      7, Attestation{ 7, harness.now - 700ms }, harness.now - 300ms });
    harness.RunFor(200ms);
    if (harness.Pending<StoreGetIfChanged>() != nullptr) {
      ++polls;
      harness.Answer<StoreGetIfChanged>(protocol::StoreEntry{ "", 3 });
    }
  }
  CHECK(polls <= 2);
}

TEST_CASE("Keys that stop and start to be usable are logged once each",
          "[accounts]")
{
  RandomSource random(1);
  KeyVerification verification(5s, random);
  const auto configuration =
    protocol::CompileConfiguration(TextWithAccount(), 7).value();
  std::vector<std::string> lines;
  const auto tick = [&](state::Instant aNow) {
    Commands commands;
    verification.Tick(configuration, aNow, commands);
    for (const auto& command : commands) {
      lines.push_back(std::get<WriteLog>(command).message);
    }
  };
  verification.Add({ 7, state::Instant(1s) });
  tick(state::Instant(1s));
  tick(state::Instant(2s));
  tick(state::Instant(7s));
  tick(state::Instant(8s));
  verification.Add({ 7, state::Instant(8s) });
  tick(state::Instant(9s));
  REQUIRE(lines.size() == 3);
  CHECK(lines[0] == "Keys are verified. generation=7 age_milliseconds=0 "
                    "bound_milliseconds=5000");
  CHECK(lines[1] == "Keys are not verified. generation=7 "
                    "age_milliseconds=6000 bound_milliseconds=5000");
  CHECK(lines[2].starts_with("Keys are verified."));
}

TEST_CASE("Without accounts or a strict bound nothing is asked", "[accounts]")
{
  RandomSource random(1);
  Commands commands;
  KeyVerification lax(0s, random);
  const auto with =
    protocol::CompileConfiguration(TextWithAccount(), 7).value();
  CHECK_FALSE(lax.Tick(with, state::Instant(1h), commands));
  KeyVerification strict(5s, random);
  const auto without = protocol::CompileConfiguration(kSmallText, 7).value();
  CHECK_FALSE(strict.Tick(without, state::Instant(1h), commands));
  CHECK(commands.empty());
}
