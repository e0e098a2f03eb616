#include "platform/UpstreamMessages.h"

#include <catch2/catch.hpp>

using namespace teaselhold;

namespace {

constexpr const char* kTarget = "/-/rpc?call=instances.heartbeat&of=i-7f";
constexpr const char* kBody =
  R"({"address":"10.1.0.8:8301","born":1796370000000,
"info":{"service":"huvo11a","version":"v1","zone":"plateau","slots":12},
"status":{"state":"ready","seq":4,"coldLeft":"2.5s"}})";

std::string
With(const std::string& aOld, const std::string& aNew)
{
  std::string body = kBody;
  return body.replace(body.find(aOld), aOld.size(), aNew);
}

bool
IsUnreadable(const std::string& aTarget, const std::string& aBody)
{
  return std::holds_alternative<protocol::UnreadableMessage>(
    platform::ReadUpstreamMessage("POST", aTarget, aBody));
}

} // namespace

TEST_CASE("a heartbeat is read into typed fields")
{
  const auto message = platform::ReadUpstreamMessage("POST", kTarget, kBody);
  const auto* read = std::get_if<state::UpstreamAnnouncement>(&message);
  REQUIRE(read != nullptr);
  CHECK(read->upstream.id == "i-7f");
  CHECK(read->upstream.bornMilliseconds == 1796370000000);
  CHECK(read->upstream.sequence == 4);
  CHECK(read->upstream.slots == 12);
  CHECK(read->service == "huvo11a");
  CHECK(read->address == "10.1.0.8:8301");
  CHECK(read->state == state::EndpointState::Ready);
  CHECK(read->warmUpLeft == std::chrono::milliseconds(2500));
}

TEST_CASE("a deregistration names the run that ends")
{
  const auto message = platform::ReadUpstreamMessage(
    "POST", "/-/rpc?call=instances.deregister&of=i-7f", R"({"born":5})");
  const auto* read = std::get_if<state::UpstreamDeparture>(&message);
  REQUIRE(read != nullptr);
  CHECK(read->id == "i-7f");
  CHECK(read->bornMilliseconds == 5);
}

TEST_CASE("a message of an unknown format names no upstream")
{
  CHECK(IsUnreadable(kTarget, "not json"));
  CHECK(IsUnreadable(kTarget, "[1,2]"));
  CHECK(IsUnreadable(kTarget, With("\"ready\"", "\"sleepy\"")));
  CHECK(IsUnreadable(kTarget, With("\"seq\":4", "\"seq\":\"4\"")));
  CHECK(IsUnreadable(kTarget, With("\"slots\":12", "\"slots\":0")));
  CHECK(IsUnreadable(kTarget, With("\"slots\":12", "\"slots\":-1")));
  CHECK(IsUnreadable(kTarget, With("\"service\":\"huvo11a\",", "")));
  CHECK(IsUnreadable("/-/rpc?call=instances.heartbeat", kBody));
  CHECK(IsUnreadable("/-/rpc?call=other&of=i-7f", kBody));
}
