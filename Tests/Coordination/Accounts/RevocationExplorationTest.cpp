#include "Coordination/Accounts/KeyVerification.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <queue>

using namespace teaselhold;
using namespace teaselhold::coordination;
using namespace std::chrono_literals;
using state::Duration;
using state::Instant;

namespace {

constexpr Duration kBound = 5s;
constexpr Duration kTick = 100ms;

struct Faults
{
  /// Of calls, answers and messages, in percent.
  unsigned lossPercent = 0;
  /// Messages that take up to several seconds, in percent.
  unsigned latePercent = 0;
  /// Nodes pause, are killed and are cut off from the store.
  bool hasNodeFaults = false;
  bool hasStoreOutages = false;
  /// Versions that a watch does not show, in percent.
  unsigned unseenPercent = 0;
  /// The longest time between two requests of a node.
  Duration requestGap = 400ms;
};

/// A configuration with this generation that needs keys. Every version
/// withdraws a key, so that each node in force with an older one must stop to
/// use keys in time.
state::ConfigurationPointer
MakeVersion(state::Generation aGeneration)
{
  state::ConfigurationBuilder builder;
  builder.SetGeneration(aGeneration);
  state::AccountSpec account;
  account.name = "one";
  account.keyDigests = { state::KeyDigest{} };
  builder.AddAccount(account);
  return builder.Build().value();
}

/// Plays nodes that read versions from a store and answer each other, in the
/// order of a seed. Times of events are true times; each node has its own
/// clock.
class Fleet
{
public:
  /// @param aNodes 0 for 5 to 9.
  Fleet(std::uint64_t aSeed, Faults aFaults, std::size_t aNodes = 0)
    : random_(aSeed)
    , faults_(aFaults)
  {
    Write();
    const auto nodes = aNodes > 0 ? aNodes : 5 + random_.NextBelow(5);
    for (std::size_t i = 0; i < nodes; ++i) {
      nodes_.push_back(std::make_unique<Node>());
      Start(i);
      At(random_.Between(0s, 200ms), [this, i] { SendRequests(i); });
    }
    At(random_.Between(1s, 4s), [this] { WriteVersions(); });
    if (faults_.hasNodeFaults) {
      At(1s, [this] { BreakNode(); });
    }
    if (faults_.hasStoreOutages) {
      At(random_.Between(1s, 20s), [this] { BreakStore(); });
    }
  }

  void Run(Duration aTime)
  {
    const auto end = now_ + aTime;
    while (!events_.empty() && events_.top().time <= end) {
      auto event = events_.top();
      events_.pop();
      now_ = event.time;
      event.action();
      Check();
    }
    now_ = end;
  }

  /// Ends all faults; what is on the way still comes.
  void Heal()
  {
    faults_ = {};
    isStoreDown_ = false;
    for (auto& node : nodes_) {
      node->isCut = false;
      node->pausedUntil = std::min(node->pausedUntil, now_);
    }
  }

  /// Nodes that may use keys now.
  std::size_t Usable() const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      nodes_, [this](const auto& aNode) { return MayUseKeys(*aNode); }));
  }

  std::size_t Nodes() const { return nodes_.size(); }
  /// Uses of a withdrawn key after its bound.
  std::size_t Violations() const { return violations_; }
  std::size_t Reads() const { return reads_; }
  /// Checks at which a node could not use keys.
  std::size_t Refusals() const { return refusals_; }

private:
  struct Node
  {
    unsigned incarnation = 0;
    /// The clock shows the true time times the rate plus the offset.
    double rate = 1;
    Duration offset{ 0 };
    Instant pausedUntil{ 0 };
    bool isCut = false;
    bool isReading = false;
    Instant nextPoll{ 0 };
    /// What the data plane told the control plane, as VersionExchange does.
    Instant nextReport{ 0 };
    Instant reported{ 0 };
    std::unique_ptr<RandomSource> random;
    std::unique_ptr<KeyVerification> control;
    /// As the data plane has them.
    Attestations attestations;
    state::ConfigurationPointer active;
  };

  struct Event
  {
    Instant time;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& aOther) const
    {
      return time != aOther.time ? time > aOther.time : number > aOther.number;
    }
  };

  void At(Duration aDelay, std::function<void()> aAction)
  {
    events_.push({ now_ + aDelay, nextEvent_++, std::move(aAction) });
  }

  /// Runs on a node unless it is another process by then; waits for a pause.
  void On(std::size_t aNode, Duration aDelay, std::function<void()> aAction)
  {
    const auto incarnation = nodes_[aNode]->incarnation;
    At(aDelay, [this, aNode, incarnation, action = std::move(aAction)] {
      auto& node = *nodes_[aNode];
      if (node.incarnation != incarnation) {
        return;
      }
      if (now_ < node.pausedUntil) {
        On(aNode, node.pausedUntil - now_, action);
        return;
      }
      action();
    });
  }

  bool Chance(unsigned aPercent) { return random_.NextBelow(100) < aPercent; }

  Duration Travel()
  {
    return Chance(faults_.latePercent) ? random_.Between(10ms, 8s)
                                       : random_.Between(500us, 5ms);
  }

  static Instant ClockOf(const Node& aNode, Instant aTime)
  {
    return std::chrono::duration_cast<Duration>(aTime * aNode.rate) +
           aNode.offset;
  }

  Instant ClockOf(const Node& aNode) const { return ClockOf(aNode, now_); }

  bool MayUseKeys(const Node& aNode) const
  {
    return aNode.active != nullptr &&
           KeyRule{ kBound }.MayUseKeys(
             aNode.attestations, aNode.active->GetGeneration(), ClockOf(aNode));
  }

  void Check()
  {
    for (const auto& node : nodes_) {
      if (now_ < node->pausedUntil) {
        continue;
      }
      const bool mayUse = MayUseKeys(*node);
      refusals_ += mayUse ? 0 : 1;
      const auto newer =
        mayUse ? acknowledged_.upper_bound(node->active->GetGeneration())
               : acknowledged_.end();
      if (newer != acknowledged_.end() && now_ > newer->second + kBound) {
        ++violations_;
      }
    }
  }

  void Start(std::size_t aNode)
  {
    auto& node = *nodes_[aNode];
    const auto incarnation = node.incarnation + 1;
    node = {};
    node.incarnation = incarnation;
    node.rate = 1 + (static_cast<double>(random_.NextBelow(9)) - 4) / 1000;
    node.offset = random_.Between(0s, 1h);
    node.random = std::make_unique<RandomSource>(random_.Next());
    node.control = std::make_unique<KeyVerification>(kBound, *node.random);
    node.nextPoll = now_ + random_.Between(0s, 500ms * nodes_.size());
    On(aNode, 0s, [this, aNode] { Tick(aNode); });
  }

  void Write()
  {
    newest_ = MakeVersion(newest_ == nullptr ? 1
                                             : newest_->GetGeneration() + 1 +
                                                 random_.NextBelow(3));
    const auto generation = newest_->GetGeneration();
    At(random_.Between(0s, 20ms),
       [this, generation] { acknowledged_[generation] = now_; });
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (Chance(faults_.unseenPercent) || nodes_[i]->isCut || isStoreDown_) {
        continue;
      }
      // A watch that waits, with the pause that batches changes.
      On(i, random_.Between(4ms, 1500ms), [this, i, version = newest_] {
        Activate(*nodes_[i], version);
      });
    }
  }

  void WriteVersions()
  {
    if (!isStoreDown_) {
      Write();
    }
    // Storms and pauses.
    At(Chance(50) ? random_.Between(50ms, 400ms) : random_.Between(2s, 9s),
       [this] { WriteVersions(); });
  }

  static void Activate(Node& aNode, const state::ConfigurationPointer& aVersion)
  {
    const bool isNewer =
      aNode.active == nullptr ||
      aVersion->GetGeneration() > aNode.active->GetGeneration();
    if (isNewer) {
      aNode.active = aVersion;
    }
  }

  void Tick(std::size_t aNode)
  {
    auto& node = *nodes_[aNode];
    Commands commands;
    bool isDue = node.control->Tick(node.active, ClockOf(node), commands) ||
                 node.active == nullptr;
    if (now_ >= node.nextPoll) {
      isDue = true;
      node.nextPoll = now_ + 500ms * nodes_.size();
    }
    if (isDue && !node.isReading) {
      Read(aNode);
    }
    // The data plane reports once a second.
    const auto latest = node.attestations.Latest();
    const bool isReportDue =
      latest &&
      (now_ >= node.nextReport || latest->time - node.reported >= kBound / 5);
    if (isReportDue) {
      node.nextReport = now_ + 1s;
      node.reported = latest->time;
      node.control->Add(*latest);
    }
    On(aNode, kTick, [this, aNode] { Tick(aNode); });
  }

  void Read(std::size_t aNode)
  {
    ++reads_;
    nodes_[aNode]->isReading = true;
    const auto sent = ClockOf(*nodes_[aNode]);
    const bool isLost = Chance(faults_.lossPercent);
    // The time-out of the call.
    const auto incarnation = nodes_[aNode]->incarnation;
    const auto call = ++nextCall_;
    calls_.insert(call);
    On(aNode, 1s, [this, aNode, call] {
      if (calls_.erase(call) > 0) {
        nodes_[aNode]->isReading = false;
      }
    });
    At(Travel(), [this, aNode, incarnation, sent, isLost, call] {
      if (isLost || isStoreDown_ || nodes_[aNode]->isCut ||
          nodes_[aNode]->incarnation != incarnation) {
        return;
      }
      // Linearizable: what the store holds while the call is on the way.
      On(aNode, Travel(), [this, aNode, sent, call, version = newest_] {
        if (calls_.erase(call) > 0) {
          FinishRead(*nodes_[aNode], version, sent);
        }
      });
    });
  }

  void FinishRead(Node& aNode,
                  const state::ConfigurationPointer& aVersion,
                  Instant aSent)
  {
    aNode.isReading = false;
    Activate(aNode, aVersion);
    const Attestation attestation{ aVersion->GetGeneration(), aSent };
    aNode.control->Add(attestation);
    aNode.attestations.Add(attestation);
  }

  void SendRequests(std::size_t aFrom)
  {
    const auto to = random_.NextBelow(nodes_.size());
    if (now_ >= nodes_[aFrom]->pausedUntil && to != aFrom) {
      Ask(aFrom, to);
    }
    At(random_.Between(10ms, faults_.requestGap),
       [this, aFrom] { SendRequests(aFrom); });
  }

  void Ask(std::size_t aFrom, std::size_t aTo)
  {
    if (Chance(faults_.lossPercent)) {
      return;
    }
    const auto sent = ClockOf(*nodes_[aFrom]);
    const auto incarnation = nodes_[aFrom]->incarnation;
    On(aTo, Travel(), [this, aFrom, aTo, sent, incarnation] {
      const auto arrived = ClockOf(*nodes_[aTo]);
      On(aTo, random_.Between(0s, 400ms), [=, this] {
        const auto report = nodes_[aTo]->attestations.Report(arrived);
        if (!report || nodes_[aFrom]->incarnation != incarnation) {
          return;
        }
        On(aFrom, Travel(), [=, this] {
          nodes_[aFrom]->attestations.Learn(*report, sent);
        });
      });
    });
  }

  void BreakNode()
  {
    if (!faults_.hasNodeFaults) {
      return;
    }
    const auto index = random_.NextBelow(nodes_.size());
    auto& node = *nodes_[index];
    switch (random_.NextBelow(4)) {
      case 0:
        node.pausedUntil = now_ + random_.Between(100ms, 8s);
        break;
      case 1:
        Start(index);
        break;
      case 2:
        node.isCut = true;
        break;
      default:
        node.isCut = false;
    }
    At(random_.Between(200ms, 3s), [this] { BreakNode(); });
  }

  void BreakStore()
  {
    isStoreDown_ = faults_.hasStoreOutages && !isStoreDown_;
    At(random_.Between(1s, 12s), [this] { BreakStore(); });
  }

  RandomSource random_;
  Faults faults_;
  Instant now_{ 0 };
  std::priority_queue<Event> events_;
  std::uint64_t nextEvent_ = 0;
  std::vector<std::unique_ptr<Node>> nodes_;
  state::ConfigurationPointer newest_;
  std::map<state::Generation, Instant> acknowledged_;
  std::set<std::uint64_t> calls_;
  std::uint64_t nextCall_ = 0;
  bool isStoreDown_ = false;
  std::size_t violations_ = 0;
  std::size_t reads_ = 0;
  std::size_t refusals_ = 0;
};

/// Seeds of a run: a short series in CI, or TEASELHOLD_SEEDS of them.
std::uint64_t
SeedCount()
{
  constexpr std::uint64_t kShort = 200;
  const char* text = std::getenv("TEASELHOLD_SEEDS");
  return text == nullptr ? kShort : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_CASE("No schedule of faults lets a withdrawn key open after its bound",
          "[accounts]")
{
  // Guards against attestations that count too long because of loss, delay,
  // pauses, restarts, clocks that differ, or versions that watches miss.
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    CAPTURE(seed);
    Fleet fleet(seed, { 15, 15, true, true, 40 });
    fleet.Run(40s);
    REQUIRE(fleet.Violations() == 0);
    // Every node can use keys again, and stays so.
    fleet.Heal();
    fleet.Run(12s);
    REQUIRE(fleet.Violations() == 0);
    REQUIRE(fleet.Usable() == fleet.Nodes());
  }
}

TEST_CASE("Without faults keys stay usable and few reads keep them so",
          "[accounts]")
{
  // The load that this guards: 60 nodes that each read for themselves at half
  // the bound are 24 calls a second, while the fleet's polls are two.
  constexpr std::size_t kNodes = 60;
  constexpr std::size_t kSeconds = 60;
  constexpr std::size_t kMaxReadsPerSecond = 5;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    Faults faults;
    // About 20 requests a second and node.
    faults.requestGap = 90ms;
    Fleet fleet(seed, faults, kNodes);
    fleet.Run(5s);
    const auto refusals = fleet.Refusals();
    const auto reads = fleet.Reads();
    fleet.Run(std::chrono::seconds(kSeconds));
    REQUIRE(fleet.Violations() == 0);
    CHECK(fleet.Refusals() == refusals);
    CHECK(fleet.Reads() - reads < kMaxReadsPerSecond * kSeconds);
  }
}
