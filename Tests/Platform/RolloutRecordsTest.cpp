#include "platform/RolloutRecords.h"

#include "Protocol/RolloutText.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace teaselhold;
using namespace teaselhold::platform;
using namespace std::chrono_literals;

namespace {

const std::string kOrderKey =
  std::string(protocol::kRolloutOrderPrefix) + "huvo11a";
const std::string kStateKey =
  std::string(protocol::kRolloutStatePrefix) + "huvo11a";

} // namespace

TEST_CASE("the operator's order of a roll-out is translated")
{
  const auto text = ReadRolloutRecord(
    kOrderKey,
    R"({"service":"huvo11a","targetVersion":"v2","duration":"12s"})");
  REQUIRE(text);
  const auto order = protocol::ParseRolloutOrder(*text);
  REQUIRE(order);
  CHECK(order->target == "v2");
  CHECK(order->duration == 12s);
  CHECK(PlatformRolloutKey(kOrderKey) == "op/rollout/huvo11a");
  CHECK(PlatformRolloutKey(kStateKey) == "status/rollout/huvo11a");
  CHECK_FALSE(PlatformRolloutKey("teaselhold/nodes/a"));
  CHECK(IsRolloutOrder("op/rollout/huvo11a"));
  CHECK_FALSE(IsRolloutOrder("op/config"));
}

TEST_CASE("an unreadable order of a roll-out names no version")
{
  // Guards against a version that is served on a guess.
  const auto* const document =
    GENERATE("",
             "{",
             "[]",
             R"({"targetVersion":"v2"})",
             R"({"duration":"12s"})",
             R"({"targetVersion":2,"duration":"1s"})",
             R"({"targetVersion":"","duration":"1s"})",
             R"({"targetVersion":"a b","duration":"1s"})");
  const auto text = ReadRolloutRecord(kOrderKey, document);
  REQUIRE(text);
  CHECK_FALSE(protocol::ParseRolloutOrder(*text));
}

TEST_CASE("states of roll-outs are written as the platform spells them")
{
  const auto state = GENERATE(protocol::RolloutState::Running,
                              protocol::RolloutState::Promoting,
                              protocol::RolloutState::Completed,
                              protocol::RolloutState::RolledBack);
  const protocol::RolloutStatus status{ state, "v2", 83 };
  const auto document =
    WriteRolloutState(kStateKey, protocol::FormatRolloutStatus(status));
  REQUIRE(document);
  const auto parsed = nlohmann::json::parse(*document);
  const bool isOpen = state == protocol::RolloutState::Running ||
                      state == protocol::RolloutState::Promoting;
  if (isOpen) {
    CHECK(parsed["state"] == "running");
  } else {
    CHECK(parsed["state"] == (state == protocol::RolloutState::Completed
                                ? "completed"
                                : "rolled_back"));
  }
  CHECK(parsed["targetVersion"] == "v2");
  CHECK(protocol::ParseRolloutStatus(
          ReadRolloutRecord(kStateKey, *document).value_or("")) == status);
}
