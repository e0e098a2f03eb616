#pragma once

#include "Coordination/RandomSource.h"
#include "Coordination/RelayCore.h"
#include "Tests/Coordination/FakeStore.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace teaselhold::tests {

/// Simulates several nodes, the messages between them and a store, on a
/// simulated clock that the test advances.
class Session
{
public:
  /// Returns true if messages from aFrom to aTo are lost.
  using DropRule =
    std::function<bool(const std::string& aFrom, const std::string& aTo)>;

  /// The extra delay of each copy of a message; empty if it is lost.
  using Fate = std::vector<state::Duration>;

  struct Node
  {
    coordination::NodeOptions options;
    std::unique_ptr<coordination::RelayCore> core;
    coordination::RoutingSnapshotPointer snapshot;
    state::EndpointState upstream = state::EndpointState::Ready;
    bool isPaused = false;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    /// Highest generation that this node ever had active.
    state::Generation highestActive = 0;
  };

  explicit Session(std::uint64_t aSeed);

  /// Probabilities in percent; a late message takes up to 300 ms.
  unsigned lossPercent = 0;
  unsigned duplicatePercent = 0;
  unsigned delayPercent = 0;
  DropRule isDropped;
  FakeStore store;
  /// Chooses what happens to a message; for nullopt, the percentages apply.
  std::function<std::optional<Fate>(const std::string& aFrom,
                                    const std::string& aTo,
                                    const wire::Envelope& aEnvelope)>
    chooseFate;
  /// Called with each store call before the store receives it.
  std::function<void(const std::string& aNode,
                     const coordination::CallStore& aCall)>
    onStoreCall;

  /// Adds a node without starting it.
  void Add(const std::string& aName,
           const std::string& aService,
           const std::string& aDataCentre,
           const std::string& aRegion = "north");
  /// Makes these nodes the seeds of all nodes that start from now on.
  void SetSeeds(std::vector<std::string> aNames);

  /// Starts the process of a node with a higher incarnation.
  void Start(const std::string& aName);
  void StartAll();
  /// Ends the process without notifying other nodes.
  void Kill(const std::string& aName);
  void Pause(const std::string& aName);
  void Resume(const std::string& aName);
  void SetUpstream(const std::string& aName, state::EndpointState aState);
  void Post(const std::string& aName, const coordination::Event& aEvent);

  /// Writes a text to the store as an accepted change.
  void Accept(const std::string& aText);

  void Run(state::Duration aDuration);
  /// Runs until the condition holds, checked every 10 ms.
  /// @return the time it took, or nothing if it took longer than aLimit.
  std::optional<state::Duration> RunUntil(
    const std::function<bool()>& aCondition,
    state::Duration aLimit);

  state::Instant Now() const { return now_; }
  Node& At(const std::string& aName) { return *nodes_.at(aName); }
  std::vector<std::string> Names() const;
  std::vector<std::string> Relays() const;

  /// Returns the state of aTarget in the routing snapshot of aObserver, or
  /// "unknown" if that has no record of it.
  std::string SeenState(const std::string& aObserver,
                        const std::string& aTarget);
  /// Returns true if each running node sees every node in its reach correctly:
  /// a running one in its true state, any other as down, gone or unknown.
  bool IsSettled();

  /// Adds a line to the transcript.
  void Note(const std::string& aText);
  /// Adds a line per running node: its role, and the nodes it sees by state.
  void NotePeerStates();
  const std::string& Transcript() const { return transcript_; }

  /// The results of all applies so far.
  std::vector<coordination::FinishApply> finishedApplies;
  /// Nodes that activated a lower generation than before, which must never
  /// happen.
  std::vector<std::string> reversions;

private:
  struct Message
  {
    std::string from;
    std::string to;
    wire::Envelope envelope;
  };

  void Step();
  void Execute(Node& aNode, const coordination::Commands& aCommands);
  void Send(Node& aNode, const coordination::SendMessage& aSend);
  void Deliver(const Message& aMessage);
  void OnSnapshot(Node& aNode,
                  const coordination::RoutingSnapshotPointer& aSnapshot);

  coordination::RandomSource random_;
  state::Instant now_{ std::chrono::seconds(1) };
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::map<std::string, std::string> nodesByAddress_;
  std::multimap<state::Instant, Message> messages_;
  std::vector<std::string> seeds_;
  std::string transcript_;
};

/// Compares with Tests/Golden/aName.golden, or rewrites it if the environment
/// variable TEASELHOLD_UPDATE_GOLDEN is set.
void
CheckGolden(const std::string& aName, const std::string& aTranscript);

} // namespace teaselhold::tests
