#include "Tests/Coordination/CoreHarness.h"

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace teaselhold::tests;
using namespace std::chrono_literals;

// Guards against versions that stay unnoticed because the store came back from
// an earlier copy and gives their revisions out again.

namespace {

/// A node with version 7 in force, whose watch waits and whose check is
/// pending.
struct CheckingNode
{
  CheckingNode()
  {
    harness.Answer<StoreWatch>(MakeVersion(7, 30));
    harness.Answer<StoreList>(protocol::StoreListing{ {}, 31 });
    harness.RunFor(5s);
    REQUIRE(harness.Pending<StoreWatch>() != nullptr);
    REQUIRE(harness.Pending<StoreGetIfChanged>() != nullptr);
  }

  state::Generation InForce() const
  {
    return harness.snapshot->configuration->GetGeneration();
  }

  CoreHarness harness;
};

} // namespace

TEST_CASE("a check drops a newer version at a lower revision")
{
  CheckingNode node;
  auto& harness = node.harness;
  harness.Answer<StoreGetIfChanged>(MakeVersion(8, 25));
  CHECK(node.InForce() == 8);
  // The watch that waited began after a revision that the store no longer has.
  harness.RunFor(200ms);
  REQUIRE(std::ranges::count_if(harness.calls, [](const CallStore& aCall) {
            const auto* watch = std::get_if<StoreWatch>(&aCall.request);
            return watch != nullptr && watch->knownRevision == 25;
          }) == 1);
}

TEST_CASE("a check that shows an older version at a lower revision hides the "
          "next one")
{
  CheckingNode node;
  auto& harness = node.harness;
  harness.Answer<StoreGetIfChanged>(MakeVersion(6, 20));
  CHECK(node.InForce() == 7);
  CHECK(std::ranges::count_if(harness.logs, [](const std::string& aLine) {
          return aLine.find("older than the version in force") !=
                 std::string::npos;
        }) == 1);
  harness.RunFor(6s);
  REQUIRE(harness.Pending<StoreGetIfChanged>() != nullptr);
  CHECK(harness.Pending<StoreGetIfChanged>()->knownRevision == 20);
  harness.Answer<StoreGetIfChanged>(MakeVersion(8, 24));
  CHECK(node.InForce() == 8);
}

TEST_CASE("a check that began before a newer version came changes nothing")
{
  CheckingNode node;
  auto& harness = node.harness;
  harness.Answer<StoreWatch>(MakeVersion(8, 40));
  REQUIRE(node.InForce() == 8);
  harness.Answer<StoreGetIfChanged>(MakeVersion(7, 35));
  CHECK(node.InForce() == 8);
  harness.RunFor(1s);
  REQUIRE(harness.Pending<StoreWatch>() != nullptr);
  CHECK(harness.Pending<StoreWatch>()->knownRevision == 40);
}
