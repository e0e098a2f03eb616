#include "Coordination/ChangePublisher.h"
#include "Protocol/ConfigurationText.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;

namespace {

/// Returns a configuration with the given routes, as pairs of name and timeout.
std::string
MakeText(const std::vector<std::pair<std::string, std::string>>& aRoutes)
{
  std::string text = "[service visits]\nentry = yes\n";
  // Routes that never change keep each change small relative to the full text.
  constexpr int kOthers = 40;
  for (int i = 0; i < kOthers; ++i) {
    text += "[route other" + std::to_string(i) + "]\nmatch = ANY /other" +
            std::to_string(i) +
            "\nservice = visits\nclass = lookup\nidempotent = yes\n";
  }
  for (const auto& [name, timeout] : aRoutes) {
    text += "[route " + name + "]\nmatch = ANY /" + name +
            "\nservice = visits\nclass = lookup\nidempotent = yes\ntimeout = " +
            timeout + "\n";
  }
  return text;
}

const ConfigurationVersion kEight{ MakeText({ { "a", "1s" }, { "c", "1s" } }),
                                   8,
                                   1 };
/// An intermediate version with some of the changes between versions 8 and 12.
const ConfigurationVersion kTen{ MakeText({ { "a", "1s" }, { "b", "1s" } }),
                                 10,
                                 2 };
const ConfigurationVersion kTwelve{ MakeText({ { "a", "2s" }, { "b", "1s" } }),
                                    12,
                                    3 };
const ConfigurationVersion kFourteen{ MakeText(
                                        { { "a", "2s" }, { "b", "3s" } }),
                                      14,
                                      4 };

state::ConfigurationPointer
Compile(const ConfigurationVersion& aVersion)
{
  return *protocol::CompileConfiguration(aVersion.text, aVersion.generation);
}

/// Runs the publisher, expects one store call and returns the log that it
/// writes. Stores the call in aCall.
ConfigurationChangeLog
NextWrite(ChangePublisher& aPublisher, state::Instant aNow, CallStore& aCall)
{
  Commands commands;
  aPublisher.Tick(aNow, commands);
  REQUIRE(commands.size() == 1);
  aCall = std::get<CallStore>(commands.front());
  return *ConfigurationChangeLog::Parse(
    std::get<StoreSwap>(aCall.request).value);
}

/// Returns a configuration with many routes, all with the same timeout.
std::string
MakeManyRoutes(int aCount, int aChanged)
{
  std::vector<std::pair<std::string, std::string>> routes;
  routes.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    routes.emplace_back("r" + std::to_string(i), i < aChanged ? "2s" : "1s");
  }
  return MakeText(routes);
}

} // namespace

TEST_CASE("a change that is too long to be written in time has no sections")
{
  // Guards against a log that the store refuses or a slow link cannot carry, so
  // that no follower learns of the version.
  constexpr int kRoutes = 6000;
  constexpr int kChanged = 3000;
  const ConfigurationVersion before{ MakeManyRoutes(kRoutes, 0), 8, 1 };
  const ConfigurationVersion after{ MakeManyRoutes(kRoutes, kChanged), 9, 2 };
  ConfigurationChangeLog log;
  log.Append(&before, after);
  CHECK(log.Serialize().size() < 1000);
  CHECK(log.NewestGeneration() == 9);
  CHECK_FALSE(log.Advance(before.text, 8));
}

TEST_CASE("the log updates a version between two of its versions to the newest")
{
  // Guards against a full read by every node that holds a version which the
  // readers skipped when they wrote the log.
  ConfigurationChangeLog log;
  log.Append(&kEight, kTwelve);
  log.Append(&kTwelve, kFourteen);
  for (const auto& from : { kEight, kTen, kTwelve }) {
    const auto newest = log.Advance(from.text, from.generation);
    REQUIRE(newest);
    CHECK(newest->text == kFourteen.text);
    CHECK(newest->generation == 14);
  }
  // The log does not contain a section that was changed and then changed back;
  // the digest detects the difference.
  auto divergent = kTen.text;
  divergent.replace(divergent.find("/other0"), 7, "/otherX");
  CHECK_FALSE(log.Advance(divergent, 10));
  CHECK_FALSE(log.Advance(kEight.text, 7));
}

TEST_CASE(
  "a reader with a version missing from the log publishes a usable change")
{
  // Guards against a change without a base, which forces every node to read the
  // whole configuration.
  StoreCallNumbers numbers;
  RandomSource random(1);
  ChangePublisher publisher(numbers, random);
  CallStore call;
  ConfigurationChangeLog written;
  written.Append(&kEight, kTwelve);
  publisher.OnVersion(Compile(kTen), Compile(kFourteen), 4);
  NextWrite(publisher, state::Instant{ 0 }, call);
  publisher.OnStoreAnswer(
    { call.call, protocol::SwapResult{ false, { written.Serialize(), 7 } } },
    state::Instant{ 0 });
  const auto log = NextWrite(publisher, state::Instant{ 0 }, call);
  for (const auto& from : { kEight, kTen, kTwelve }) {
    CHECK(log.Advance(from.text, from.generation));
  }
}

TEST_CASE(
  "a version that arrives during a failed write leaves no gap in the log")
{
  // Guards against a gap in the log, which forces nodes that hold the version
  // before it to read the whole configuration.
  StoreCallNumbers numbers;
  RandomSource random(1);
  ChangePublisher publisher(numbers, random);
  CallStore call;
  publisher.OnVersion(Compile(kEight), Compile(kTwelve), 3);
  NextWrite(publisher, state::Instant{ 0 }, call);
  publisher.OnVersion(Compile(kTwelve), Compile(kFourteen), 4);
  publisher.OnStoreAnswer(
    { call.call,
      protocol::StoreError{ protocol::StoreErrorCode::Unavailable, "" } },
    state::Instant{ 0 });
  const auto later = state::Instant{ std::chrono::seconds(2) };
  const auto log = NextWrite(publisher, later, call);
  CHECK(log.Advance(kEight.text, 8));
  CHECK(log.Advance(kTwelve.text, 12));
}
