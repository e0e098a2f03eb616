#include "Coordination/ReaderElection.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;

namespace {

/// Drives the ReaderElection of one relay; the test supplies the results of the
/// store and the time.
struct Reader
{
  Reader() { peers.isRelay = true; }

  void Run(state::Duration aTime)
  {
    for (const auto end = now + aTime; now < end;) {
      now += 100ms;
      duty.Tick(peers, now, commands);
    }
  }

  template<typename Request>
  std::vector<std::uint64_t> Calls() const
  {
    std::vector<std::uint64_t> calls;
    for (const auto& command : commands) {
      const auto* call = std::get_if<CallStore>(&command);
      if (call != nullptr && std::holds_alternative<Request>(call->request)) {
        calls.push_back(call->call);
      }
    }
    return calls;
  }

  template<typename Request>
  void Answer(const StoreResult& aResult)
  {
    const auto calls = Calls<Request>();
    REQUIRE(!calls.empty());
    CHECK(duty.OnStoreAnswer({ calls.back(), aResult }, peers, now, commands));
  }

  void TakeSlot()
  {
    Run(4500ms);
    Answer<StoreGrant>(protocol::LeaseId{ 5 });
    Answer<StoreSwap>(protocol::SwapResult{ true, {} });
    REQUIRE(duty.IsReader());
  }

  PeerDirectory peers;
  state::Instant now{ 1s };
  StoreCallNumbers numbers;
  ConfigurationDistribution distribution{ { "n", 1, "a", "d", "north", "", "" },
                                          1 };
  ReaderElection duty{ { "n", 1, "a", "d", "north", "", "" },
                       2,
                       numbers,
                       distribution };
  Commands commands;
};

} // namespace

TEST_CASE("a leaf never calls the store for configuration versions")
{
  Reader reader;
  reader.peers.isRelay = false;
  reader.Run(60s);
  CHECK(reader.commands.empty());
}

TEST_CASE("a reader keeps one watch open and renews its lease every 1.5 s")
{
  Reader reader;
  reader.TakeSlot();
  for (int i = 0; i < 8; ++i) {
    reader.Run(1500ms);
    reader.Answer<StoreKeepAlive>(true);
  }
  CHECK(reader.duty.IsReader());
  CHECK(reader.Calls<StoreWatch>().size() == 1);
  CHECK(reader.Calls<StoreKeepAlive>().size() <= 9);
}

TEST_CASE("a reader that is paused past its lease gives up its role")
{
  Reader reader;
  reader.TakeSlot();
  reader.now += 6s;
  reader.duty.Tick(reader.peers, reader.now, reader.commands);
  CHECK_FALSE(reader.duty.IsReader());
}

TEST_CASE("a watch that fails in a store outage is retried with a backoff")
{
  Reader reader;
  reader.TakeSlot();
  const protocol::StoreError error{ protocol::StoreErrorCode::Unavailable, "" };
  for (int i = 0; i < 100; ++i) {
    if (!reader.Calls<StoreKeepAlive>().empty()) {
      reader.duty.OnStoreAnswer({ reader.Calls<StoreKeepAlive>().back(), true },
                                reader.peers,
                                reader.now,
                                reader.commands);
    }
    reader.duty.OnStoreAnswer({ reader.Calls<StoreWatch>().back(), error },
                              reader.peers,
                              reader.now,
                              reader.commands);
    reader.Run(100ms);
  }
  CHECK(reader.Calls<StoreWatch>().size() < 15);
}

TEST_CASE("the number of contenders does not grow with the region")
{
  Reader reader;
  for (int i = 0; i < 200; ++i) {
    const auto name = "r" + std::to_string(i);
    reader.peers.relays.push_back({ name, 1, name, "d", "north" });
  }
  std::size_t contenders = 0;
  for (int i = 0; i < 200; ++i) {
    const NodeIdentity identity{
      "r" + std::to_string(i), 1, "a", "d", "north", "", ""
    };
    ReaderElection duty(identity, 3, reader.numbers, reader.distribution);
    Commands commands;
    auto peers = reader.peers;
    std::erase_if(peers.relays, [&](const Peer& aPeer) {
      return aPeer.node == identity.name;
    });
    for (auto now = state::Instant(1s); now < state::Instant(6s);
         now += 500ms) {
      duty.Tick(peers, now, commands);
    }
    for (const auto& command : commands) {
      const auto* call = std::get_if<CallStore>(&command);
      contenders +=
        call != nullptr && std::holds_alternative<StoreGrant>(call->request)
          ? 1
          : 0;
    }
  }
  CHECK(contenders <= ReaderElection::kCandidates);
  CHECK(contenders > 0);
}
