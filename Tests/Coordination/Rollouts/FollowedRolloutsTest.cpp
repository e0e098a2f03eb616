#include "Protocol/RolloutText.h"
#include "Tests/Coordination/CoreHarness.h"

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace teaselhold::tests;
using namespace std::chrono_literals;

namespace {

/// @return true if a node reads the orders of roll-outs after the store said
///         that there may be some.
bool
ReadsOrders(bool aFollowsRollouts)
{
  NodeOptions options;
  options.identity = { "me", 1, "visits", "one", "one", "10.0.0.1:80", "", 0 };
  options.followsRollouts = aFollowsRollouts;
  CoreHarness harness(options);
  auto version = MakeVersion(7, 3);
  version.ordersRevision = 3;
  harness.Answer<StoreWatch>(version);
  harness.RunFor(1s);
  return std::ranges::any_of(harness.calls, [](const CallStore& aCall) {
    const auto* list = std::get_if<StoreList>(&aCall.request);
    return list != nullptr && list->prefix == protocol::kRolloutOrderPrefix;
  });
}

} // namespace

TEST_CASE("Only a fleet with roll-outs calls the store for their orders")
{
  // Guards against calls of the store on fleets that have no roll-outs.
  CHECK(ReadsOrders(true));
  CHECK_FALSE(ReadsOrders(false));
}
