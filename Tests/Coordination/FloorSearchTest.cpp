#include "Coordination/FloorSearch.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;

namespace {

constexpr std::uint64_t kQuestion = 77;

/// A floor search by a relay in data centre "a" among the relays aNames. The
/// first letter of a name is its data centre.
struct Search
{
  explicit Search(const std::vector<std::string>& aNames)
  {
    for (const auto& name : aNames) {
      peers.relays.push_back({ name, 1, name, name.substr(0, 1), "north" });
    }
    search.Start(kQuestion, state::Instant(0));
  }

  void Answer(const std::string& aNode,
              state::Generation aHeld,
              bool aIsSettled,
              std::uint32_t aCount = 0,
              std::uint64_t aQuestion = kQuestion)
  {
    wire::HeadNotice notice;
    notice.set_answer(aQuestion);
    notice.set_relay_count(aCount);
    notice.mutable_head()->set_held_generation(aHeld);
    notice.mutable_head()->set_settled(aIsSettled);
    search.OnAnswer(aNode, notice);
  }

  std::optional<state::Generation> FindFloor(
    FloorSearch::LocalState aLocal = {}) const
  {
    return search.FindFloor(aLocal, FindRelaySet("a", peers), peers);
  }

  PeerDirectory peers;
  FloorSearch search;
};

} // namespace

TEST_CASE("a restarted relay does not take its floor from one lagging relay")
{
  Search search({ "a1", "a2" });
  search.Answer("a1", 4, true);
  CHECK_FALSE(search.FindFloor());
  search.Answer("a2", 5, true);
  CHECK(search.FindFloor() == 5);
}

TEST_CASE("answers to an earlier question are ignored")
{
  Search search({ "a1", "a2" });
  search.Answer("a1", 4, true, 3, kQuestion - 1);
  search.Answer("a2", 4, true, 3);
  CHECK_FALSE(search.FindFloor());
}

TEST_CASE("a relay that knows part of its set waits for half of the whole set")
{
  Search search({ "a1", "a2" });
  search.Answer("a1", 4, true, 9);
  search.Answer("a2", 4, true, 9);
  CHECK_FALSE(search.FindFloor());
}

TEST_CASE("a data centre that restarted as a whole asks the rest of the fleet")
{
  Search search({ "a1", "a2", "b1", "b2", "b3" });
  search.Answer("a1", 0, false);
  search.Answer("a2", 0, false);
  search.Answer("b1", 6, true);
  search.Answer("b2", 5, true);
  CHECK_FALSE(search.FindFloor());
  search.Answer("b3", 6, true);
  CHECK(search.FindFloor() == 6);
}

TEST_CASE("a minority of settled relays decides only if the store is down")
{
  Search search({ "a1", "a2", "b1", "b2", "b3" });
  for (const auto* node : { "a1", "a2", "b1", "b2" }) {
    search.Answer(node, 0, false);
  }
  search.Answer("b3", 6, true);
  CHECK_FALSE(search.FindFloor());
  FloorSearch::LocalState local;
  local.isStoreUnavailable = true;
  CHECK(search.FindFloor(local) == 6);
}
