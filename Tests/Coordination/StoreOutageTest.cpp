#include "Coordination/DirectCore.h"
#include "Coordination/StoreCircuitBreaker.h"
#include "admin.pb.h"

#include <catch2/catch.hpp>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;
using protocol::StoreError;
using protocol::StoreErrorCode;

namespace {

constexpr state::Duration kStoreLatency = 4ms;
constexpr state::Duration kTickInterval = 100ms;
constexpr state::Duration kStep = 2ms;

/// The way in which the store fails.
enum class Outage : std::uint8_t
{
  /// Calls hang, and open watches are never answered.
  WatchesLost,
  /// Calls are refused at once, and open watches are aborted.
  Refusing,
  /// Calls hang, and open watches continue once the store recovers.
  WatchesResumed,
};

/// Simulates one node and its store. As in the daemon, calls run one at a time
/// on each of three queues: watches, reads and writes.
class Simulation
{
public:
  Simulation(Outage aOutage, std::uint64_t aSeed)
    : outage_(aOutage)
    , core_(MakeOptions(aSeed))
  {
    Handle(Started{});
    Handle(UpstreamChanged{ state::EndpointState::Ready,
                            state::UpstreamIdentity{ "i-me", 7, 1, 12 } });
  }

  void RunUntil(state::Instant aEnd)
  {
    while (now < aEnd) {
      now += kStep;
      if (now.count() % kTickInterval.count() == 0) {
        Handle(Tick{});
      }
      for (auto& queue : queues_) {
        Serve(queue);
      }
    }
  }

  void WriteVersion() { ++generation_; }

  void SetUnavailable(bool aIsUnavailable) { isUnavailable_ = aIsUnavailable; }

  state::Generation Active() const
  {
    return snapshot_ == nullptr || snapshot_->configuration == nullptr
             ? 0
             : snapshot_->configuration->GetGeneration();
  }

  state::Instant now{ 0 };
  std::size_t calls = 0;
  std::size_t probes = 0;

private:
  struct Running
  {
    CallStore call;
    state::Instant begin;
    /// The store was unavailable during the call, so no answer follows.
    bool isLost;
    /// A watch that was open when the outage began and is never answered.
    bool isNeverAnswered = false;
  };
  struct CallQueue
  {
    std::vector<CallStore> waiting;
    std::optional<Running> running;
  };

  static NodeOptions MakeOptions(std::uint64_t aSeed)
  {
    NodeOptions options;
    options.identity = {
      "me", 1, "visits", "one", "one", "10.0.0.1:80", "", 0
    };
    options.randomSeed = aSeed;
    return options;
  }

  void Handle(const Event& aEvent)
  {
    for (auto& command : core_.Handle(aEvent, now)) {
      if (auto* call = std::get_if<CallStore>(&command)) {
        Submit(std::move(*call));
      } else if (auto* publish = std::get_if<PublishSnapshot>(&command)) {
        snapshot_ = publish->snapshot;
      }
    }
  }

  void Submit(CallStore aCall)
  {
    const auto& request = aCall.request;
    const bool isRead = std::holds_alternative<StoreGet>(request) ||
                        std::holds_alternative<StoreGetIfChanged>(request) ||
                        std::holds_alternative<StoreList>(request);
    const bool isWatch = std::holds_alternative<StoreWatch>(request);
    auto& queue = queues_.at(isWatch ? 0 : (isRead ? 1 : 2));
    queue.waiting.push_back(std::move(aCall));
    if (isWatch && queue.running) {
      const auto number = queue.running->call.call;
      queue.running.reset();
      Handle(
        StoreAnswered{ number, StoreError{ StoreErrorCode::Cancelled, "" } });
    }
  }

  void Serve(CallQueue& aQueue)
  {
    if (!aQueue.running) {
      if (aQueue.waiting.empty()) {
        return;
      }
      aQueue.running =
        Running{ aQueue.waiting.front(), now, isUnavailable_, false };
      aQueue.waiting.erase(aQueue.waiting.begin());
      ++calls;
      probes += IsProbe(aQueue.running->call) ? 1 : 0;
    }
    if (auto result = TryAnswer(*aQueue.running)) {
      const auto number = aQueue.running->call.call;
      aQueue.running.reset();
      Handle(StoreAnswered{ number, std::move(*result) });
    }
  }

  std::optional<StoreResult> TryAnswer(Running& aRunning) const
  {
    const auto waited = now - aRunning.begin;
    const auto* watch = std::get_if<StoreWatch>(&aRunning.call.request);
    const bool isWaiting = watch != nullptr && watch->knownRevision != 0 &&
                           !aRunning.isLost && waited >= kStoreLatency;
    if (isUnavailable_ && isWaiting) {
      aRunning.isLost = outage_ == Outage::WatchesLost;
      aRunning.isNeverAnswered = aRunning.isLost;
      return outage_ == Outage::Refusing ? MakeFailure() : std::nullopt;
    }
    if (isUnavailable_ || aRunning.isLost) {
      aRunning.isLost = true;
      const bool isOver = outage_ == Outage::Refusing
                            ? waited >= kStoreLatency
                            : waited >= Timeout(aRunning);
      return isOver ? MakeFailure() : std::nullopt;
    }
    if (waited < kStoreLatency ||
        (isWaiting && watch->knownRevision == Revision())) {
      return std::nullopt;
    }
    return Execute(aRunning.call);
  }

  static bool IsProbe(const CallStore& aCall)
  {
    const auto* list = std::get_if<StoreList>(&aCall.request);
    return list != nullptr && list->prefix != protocol::kNodePrefix;
  }

  static std::optional<StoreResult> MakeFailure()
  {
    return StoreError{ StoreErrorCode::Unknown, "" };
  }

  static state::Duration Timeout(const Running& aRunning)
  {
    if (aRunning.isNeverAnswered) {
      return 27s;
    }
    const auto* list = std::get_if<StoreList>(&aRunning.call.request);
    const bool isStale =
      list != nullptr && list->consistency == protocol::ReadConsistency::Stale;
    return isStale ? kStaleCallTimeout : kStoreCallTimeout;
  }

  std::uint64_t Revision() const { return generation_; }

  StoreResult Execute(const CallStore& aCall) const
  {
    if (const auto* swap = std::get_if<StoreSwap>(&aCall.request)) {
      return protocol::SwapResult{ true, { swap->value, 3 } };
    }
    if (std::holds_alternative<StoreGrant>(aCall.request)) {
      return protocol::LeaseId{ 9 };
    }
    if (std::holds_alternative<StoreKeepAlive>(aCall.request)) {
      return true;
    }
    if (std::holds_alternative<StoreList>(aCall.request)) {
      return protocol::StoreListing{ {}, 1 };
    }
    wire::StoredConfiguration stored;
    stored.set_generation(generation_);
    stored.set_text("[service visits]\nentry = yes\n");
    return protocol::StoreEntry{ stored.SerializeAsString(), Revision() };
  }

  Outage outage_;
  DirectCore core_;
  std::array<CallQueue, 3> queues_;
  bool isUnavailable_ = false;
  state::Generation generation_ = 1;
  RoutingSnapshotPointer snapshot_;
};

} // namespace

TEST_CASE("A change made when the store recovers is in force in time")
{
  // Guards against delays that add up: a call that hangs until its timeout, the
  // backoff after it, and a watch that is never answered, which leaves the
  // change to the next poll.
  constexpr state::Duration kBound = 1600ms;
  const auto outage =
    GENERATE(Outage::WatchesLost, Outage::Refusing, Outage::WatchesResumed);
  state::Duration longest{ 0 };
  std::size_t calls = 0;
  for (std::uint64_t seed = 0; seed < 150; ++seed) {
    Simulation node(outage, seed);
    node.RunUntil(5s);
    REQUIRE(node.Active() == 1);
    const auto before = node.calls;
    node.SetUnavailable(true);
    node.RunUntil(node.now + 1s + 37ms * static_cast<int>(seed));
    calls += node.calls - before;
    node.SetUnavailable(false);
    node.WriteVersion();
    const auto written = node.now;
    while (node.Active() != 2 && node.now < written + 10s) {
      node.RunUntil(node.now + 10ms);
    }
    longest = std::max(longest, node.now - written);
  }
  CAPTURE(static_cast<int>(outage), calls);
  CHECK(longest <= kBound);
}

TEST_CASE("A failing store receives only cheap probes, one at a time")
{
  // Guards against every component repeating billed calls that the store
  // refuses during an outage.
  Simulation node(Outage::Refusing, 3);
  node.RunUntil(5s);
  node.SetUnavailable(true);
  node.RunUntil(8s);
  const auto before = node.calls;
  const auto probesBefore = node.probes;
  node.RunUntil(18s);
  CHECK(node.calls - before == node.probes - probesBefore);
  // The backoff is 0.2 to 0.4 s, in steps of the 0.1 s tick.
  CHECK(node.probes - probesBefore <= 50);
  CHECK(node.probes - probesBefore >= 20);
}

TEST_CASE("One lost answer delays the calls of a node only briefly")
{
  StoreCallNumbers numbers;
  RandomSource random(1);
  StoreCircuitBreaker gate(numbers, random);
  gate.OnStoreAnswer({ 77, StoreError{ StoreErrorCode::Unknown, "" } }, 1s);
  Commands commands{ CallStore{ 78, StoreKeepAlive{ 9 } } };
  gate.Pass(1s, commands);
  CHECK(commands.empty());
  gate.Pass(1100ms, commands);
  REQUIRE(commands.size() == 1);
  const auto probe = std::get<CallStore>(commands.front()).call;
  CHECK(gate.OnStoreAnswer({ probe, protocol::StoreListing{} }, 1104ms));
  commands.clear();
  gate.Pass(1104ms, commands);
  REQUIRE(commands.size() == 1);
  CHECK(std::get<CallStore>(commands.front()).call == 78);
  CHECK_FALSE(gate.TakeRecovered());
}

TEST_CASE("A large fleet probes a failing store within its rate limit")
{
  constexpr std::size_t kNodes = 6500;
  StoreCallNumbers numbers;
  RandomSource random(1);
  StoreCircuitBreaker gate(numbers, random);
  gate.SetFleetSize(kNodes);
  std::size_t probes = 0;
  gate.OnStoreAnswer({ 77, StoreError{ StoreErrorCode::Unknown, "" } }, 1s);
  for (state::Instant now = 1s; now < 61s; now += 10ms) {
    Commands commands;
    gate.Pass(now, commands);
    for (const auto& command : commands) {
      ++probes;
      gate.OnStoreAnswer({ std::get<CallStore>(command).call,
                           StoreError{ StoreErrorCode::Unknown, "" } },
                         now);
    }
  }
  CHECK(probes * kNodes / 60 < 6000);
}

TEST_CASE("An operator's change is not queued during a store outage")
{
  StoreCallNumbers numbers;
  RandomSource random(1);
  StoreCircuitBreaker gate(numbers, random);
  gate.OnStoreAnswer({ 77, StoreError{ StoreErrorCode::Unavailable, "" } }, 1s);
  Commands commands{ CallStore{
    78, StoreSwap{ protocol::kConfigurationKey, 3, "text", 0 } } };
  gate.Pass(1s, commands);
  CHECK(commands.size() == 1);
}
