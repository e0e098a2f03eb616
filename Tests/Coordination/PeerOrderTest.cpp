#include "Coordination/PeerOrder.h"

#include <catch2/catch.hpp>
#include <set>

using namespace teaselhold;
using namespace teaselhold::coordination;

TEST_CASE("the first peers in the order are in different data centres")
{
  // Guards against copies of a departure that are lost with one data centre.
  state::EndpointTable table;
  for (const auto* name : { "a1", "a2", "a3", "a4", "b1", "c1", "c2" }) {
    state::EndpointRecord record;
    record.node = name;
    record.dataCentre = record.node.substr(0, 1);
    record.dataAddress = record.node;
    table.Merge(record);
  }
  RandomSource random(GENERATE(1U, 2U, 3U, 4U));
  const auto peers = OrderPeers(table, "a1", random);
  REQUIRE(peers.size() == 6);
  std::set<char> dataCentres;
  for (std::size_t i = 0; i < 3; ++i) {
    dataCentres.insert(peers[i][0]);
  }
  CHECK(dataCentres.size() == 3);
  CHECK(std::ranges::find(peers, "a1") == peers.end());
}
