#include "State/EndpointTable.h"

#include <catch2/catch.hpp>

using namespace teaselhold::state;

namespace {

EndpointRecord
MakeRecord(std::string aNode,
           std::uint64_t aIncarnation,
           std::uint64_t aSequence)
{
  EndpointRecord record;
  record.node = std::move(aNode);
  record.incarnation = aIncarnation;
  record.sequence = aSequence;
  record.service = "lounges";
  record.state = EndpointState::Ready;
  return record;
}

} // namespace

TEST_CASE("an older announcement never overwrites a newer one")
{
  EndpointTable table;
  REQUIRE(table.Merge(MakeRecord("a", 2, 1)));
  CHECK_FALSE(table.Merge(MakeRecord("a", 1, 9)));
  CHECK_FALSE(table.Merge(MakeRecord("a", 2, 1)));
  CHECK(table.Merge(MakeRecord("a", 2, 2)));
  CHECK(table.Find("a")->sequence == 2);
}

TEST_CASE("down holds for one sequence only, so that the node can refute it")
{
  EndpointTable table;
  table.Merge(MakeRecord("a", 1, 1));
  auto down = MakeRecord("a", 1, 1);
  down.state = EndpointState::Down;
  CHECK(table.Merge(down));
  CHECK_FALSE(table.Merge(MakeRecord("a", 1, 1)));
  CHECK(table.Merge(MakeRecord("a", 1, 2)));
  CHECK(table.Find("a")->state == EndpointState::Ready);
}

TEST_CASE("tables with the same records have the same digests in any order")
{
  EndpointTable left;
  EndpointTable right;
  left.Merge(MakeRecord("a", 1, 1));
  left.Merge(MakeRecord("b", 1, 1));
  right.Merge(MakeRecord("b", 1, 1));
  right.Merge(MakeRecord("a", 1, 7));
  CHECK(left.Digest("lounges") != right.Digest("lounges"));
  left.Merge(MakeRecord("a", 1, 7));
  CHECK(left.Digest("lounges") == right.Digest("lounges"));
  left.Erase("a");
  left.Erase("b");
  CHECK(left.TableDigest() == 0);
}
