#include "Tests/Platform/ConnectedCore.h"

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;
using platform::ConfigurationOwner;
using tests::ConnectedCore;
using tests::RunningStore;

// Guards against an order of a roll-out that is never taken because the store
// came back from an earlier copy and gave its revision out again.

TEST_CASE("an order that is written after an earlier copy is taken")
{
  constexpr const char* kOrder = "op/rollout/visits";
  constexpr int kLostRevisions = 40;
  RunningStore store;
  store.SetEra(1);
  store.Put("op/config", "{}");
  const auto copy = store.Copy();
  store.OnStore([](stand_in::StoreState& aState) {
    for (int i = 0; i < kLostRevisions; ++i) {
      aState.Apply({ {}, { { "a/lost", "", 0 } }, {} });
    }
  });
  ConnectedCore node(store, "one", ConfigurationOwner::Operator);
  node.RunFor(2s);
  store.Restore(
    copy,
    kOrder,
    { R"({"service":"visits","targetVersion":"v2","duration":"12s"})" });
  node.RunFor(3s);
  REQUIRE(node.Rollouts().size() == 1);
  CHECK(node.Rollouts()[0].target == "v2");
}
