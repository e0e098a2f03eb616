#include "Tests/Coordination/CoreHarness.h"

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;

// Guards against nodes that stay on an old version because few requests reach
// them, so that nobody tells them of a newer one.

namespace {

const std::vector<std::string> kBefore{ "a:1", "b:1", "c:1", "d:1", "e:1" };
constexpr state::Duration kBound = 2s;
constexpr state::Generation kActive = 7;

/// Lets some time pass without any news of a check.
/// @return the addresses that were asked.
std::vector<std::string>
AskedWithin(CheckNews& aNews, const std::string& aReader, state::Duration aTime)
{
  Commands commands;
  for (state::Instant now{ 10s }; now < 10s + aTime; now += 100ms) {
    aNews.Tick(state::Instant{ 10s },
               { aReader, kBefore },
               kActive,
               kBound,
               now,
               commands);
  }
  std::vector<std::string> asked;
  for (const auto& command : commands) {
    asked.push_back(std::get<AskChanges>(command).address);
  }
  return asked;
}

} // namespace

TEST_CASE("a node asks for the last check when nobody tells of one")
{
  RandomSource random(1);
  CheckNews news(random);
  CHECK(AskedWithin(news, "", 600ms).empty());
  CHECK(AskedWithin(news, "", 800ms).size() == 1);
}

TEST_CASE("a node asks others as well when those that check first are lost")
{
  RandomSource random(GENERATE(1U, 2U, 3U));
  CheckNews news(random);
  const auto asked = AskedWithin(news, "", 60s);
  CHECK(asked.size() > 100);
  CHECK(std::ranges::count(asked, "e:1") > 0);
  CHECK(std::ranges::count(asked, "a:1") > 0);
}

TEST_CASE("a node asks the reader that it knows to be alive every other time")
{
  RandomSource random(1);
  CheckNews news(random);
  const auto asked = AskedWithin(news, "r:1", 10s);
  const auto readers = std::ranges::count(asked, "r:1");
  CHECK(2 * readers >= static_cast<std::ptrdiff_t>(asked.size()));
}

TEST_CASE("a node without a version asks nobody for the last check")
{
  RandomSource random(1);
  CheckNews news(random);
  Commands commands;
  news.Tick(state::Instant{ 0 }, { "r:1", kBefore }, 0, kBound, 10s, commands);
  CHECK(commands.empty());
}
