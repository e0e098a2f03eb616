#include "Coordination/Links/BodyScheduler.h"

#include <catch2/catch.hpp>
#include <map>
#include <queue>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;

namespace {

constexpr double kSlowLinkBytesPerSecond = 625000;
constexpr std::uint64_t kPhotoBytes = 60000;

bool
IsInvited(const BodyDecision& aDecision)
{
  return std::holds_alternative<InviteBody>(aDecision);
}

} // namespace

TEST_CASE("bodies pass a slow link one at a time in order of arrival")
{
  BodyScheduler gate(kSlowLinkBytesPerSecond);
  CHECK(IsInvited(gate.Decide({ 1, kPhotoBytes, 1s }, 0s)));
  CHECK(
    std::holds_alternative<BodyWait>(gate.Decide({ 2, kPhotoBytes, 1s }, 0s)));
  CHECK(
    std::holds_alternative<BodyWait>(gate.Decide({ 3, kPhotoBytes, 1s }, 0s)));
  CHECK(gate.Finish(kPhotoBytes) == std::vector<std::uint64_t>{ 2 });
  CHECK(gate.Finish(kPhotoBytes) == std::vector<std::uint64_t>{ 3 });
  CHECK(gate.Finish(kPhotoBytes).empty());
  CHECK(gate.PredictedWait() == 0s);
}

TEST_CASE("the next body is invited before the previous one is complete")
{
  // Guards against a link that idles until the next sender has received its
  // invitation.
  BodyScheduler gate(kSlowLinkBytesPerSecond);
  gate.Decide({ 1, kPhotoBytes, 1s }, 0s);
  gate.Decide({ 2, kPhotoBytes, 1s }, 0s);
  CHECK(gate.Finish(kPhotoBytes / 3).empty());
  CHECK(gate.Finish(kPhotoBytes / 2) == std::vector<std::uint64_t>{ 2 });
  CHECK(gate.Finish(kPhotoBytes / 6).empty());
  CHECK(gate.Finish(kPhotoBytes).empty());
  CHECK(gate.PredictedWait() == 0s);
}

TEST_CASE("a body that would wait too long is refused at once")
{
  BodyScheduler gate(kSlowLinkBytesPerSecond);
  gate.Decide({ 1, kPhotoBytes, 1s }, 0s);
  gate.Decide({ 2, kPhotoBytes, 1s }, 0s);
  const auto decision = gate.Decide({ 3, kPhotoBytes, 150ms }, 0s);
  const auto* refused = std::get_if<NotRun>(&decision);
  REQUIRE(refused != nullptr);
  CHECK(refused->reason == NotRunReason::Full);
  CHECK(refused->retryAfter == 192ms);
}

TEST_CASE("an abandoned body makes room for the next one")
{
  BodyScheduler gate(kSlowLinkBytesPerSecond);
  gate.Decide({ 1, kPhotoBytes, 1s }, 0s);
  gate.Decide({ 2, kPhotoBytes, 1s }, 0s);
  gate.Decide({ 3, kPhotoBytes, 1s }, 0s);
  gate.Cancel(2);
  CHECK(gate.Finish(kPhotoBytes) == std::vector<std::uint64_t>{ 3 });
}

TEST_CASE("a fast link transfers many bodies concurrently")
{
  BodyScheduler gate(125e6);
  for (std::uint64_t id = 1; id <= 50; ++id) {
    CHECK(IsInvited(gate.Decide({ id, kPhotoBytes, 1s }, 0s)));
  }
}

TEST_CASE("uploads that nearly saturate a link do not delay small requests")
{
  // Simulates 9 photographs of 60 KB per second in bursts of three on a link
  // of 5 Mbit/s. A small request waits for all bytes that are queued in the
  // link.
  const auto longestQueue = [](bool aIsGated) {
    BodyScheduler gate(kSlowLinkBytesPerSecond);
    std::deque<std::uint64_t> link;
    double inLink = 0;
    double longest = 0;
    std::uint64_t next = 1;
    for (int step = 0; step < 10000; ++step) {
      inLink = std::max(inLink - kSlowLinkBytesPerSecond / 1000, 0.0);
      if (!link.empty() && inLink <= 0) {
        link.pop_front();
        for (const auto id : gate.Finish(kPhotoBytes)) {
          link.push_back(id);
          inLink += kPhotoBytes;
        }
      }
      for (int i = 0; step % 333 == 0 && i < 3; ++i) {
        const auto decision = gate.Decide({ next++, kPhotoBytes, 2s }, 0s);
        if (!aIsGated || IsInvited(decision)) {
          link.push_back(next);
          inLink += kPhotoBytes;
        }
      }
      longest = std::max(longest, inLink / kSlowLinkBytesPerSecond);
    }
    return longest;
  };
  CHECK(longestQueue(true) < 0.15);
  CHECK(longestQueue(false) > 0.25);
}
