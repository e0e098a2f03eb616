#include "Coordination/Versions/RecentChanges.h"
#include "Protocol/ConfigurationText.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;

namespace {

std::string
MakeText(unsigned aVersion)
{
  constexpr unsigned kRoutes = 12;
  std::string text = "[service visits]\nentry = yes\n";
  for (unsigned i = 0; i < kRoutes; ++i) {
    const auto timeout = 100 + (aVersion % kRoutes == i ? aVersion : 0);
    text += "[route r" + std::to_string(i) + "]\nmatch = ANY /r" +
            std::to_string(i) +
            "\nservice = visits\nclass = lookup\nidempotent = yes\n"
            "timeout = " +
            std::to_string(timeout) + "ms\n";
  }
  return text;
}

state::ConfigurationPointer
MakeVersion(unsigned aVersion)
{
  auto compiled = protocol::CompileConfiguration(MakeText(aVersion), aVersion);
  REQUIRE(compiled);
  return *compiled;
}

/// @return the generation to which the changes lead from a version; 0 if they
/// do not lead to the newest one.
state::Generation
Lead(const RecentChanges& aChanges, unsigned aFrom)
{
  const auto given = aChanges.Current()->After(aFrom);
  const auto parsed = ConfigurationChangeLog::Parse(given.Serialize());
  REQUIRE(parsed);
  const auto newest = parsed->Advance(MakeText(aFrom), aFrom);
  if (!newest) {
    return 0;
  }
  CHECK(newest->text == MakeText(static_cast<unsigned>(newest->generation)));
  return newest->generation;
}

} // namespace

TEST_CASE("recent changes lead other nodes from each version to the newest")
{
  RecentChanges changes;
  changes.OnVersion(nullptr, MakeVersion(3), 10);
  changes.OnVersion(MakeVersion(3), MakeVersion(5), 11);
  changes.OnVersion(MakeVersion(5), MakeVersion(8), 14);
  CHECK(Lead(changes, 3) == 8);
  CHECK(Lead(changes, 5) == 8);
  CHECK(changes.Current()->After(8).NewestGeneration() == 0);
  CHECK(Lead(changes, 2) == 0);
}

TEST_CASE("changes that were applied are passed on without those in between")
{
  RecentChanges sender;
  sender.OnVersion(MakeVersion(3), MakeVersion(5), 11);
  sender.OnVersion(MakeVersion(5), MakeVersion(8), 14);
  RecentChanges receiver;
  receiver.OnVersion(MakeVersion(2), MakeVersion(3), 10);
  receiver.OnLog(sender.Current()->After(3));
  receiver.OnVersion(MakeVersion(3), MakeVersion(8), 14);
  CHECK(Lead(receiver, 2) == 8);
  CHECK(Lead(receiver, 5) == 8);
}

TEST_CASE("a short text that changed as a whole is given whole")
{
  // Guards against small configurations of which nothing is left to compare.
  ConfigurationChangeLog log;
  const ConfigurationVersion base{ MakeText(3), 3, 10 };
  const ConfigurationVersion target{ "[service other]\nentry = yes\n", 5, 11 };
  log.Append(&base, target);
  const auto newest = log.Advance(MakeText(1), 1);
  REQUIRE(newest);
  CHECK(newest->text == target.text);
  CHECK(newest->storeRevision == 11);
}
