#pragma once

#include "Coordination/DirectCore.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// A fleet of cores without relays that share a simulated store. Each node has
/// one connection each for reads, writes and watches, so that a waiting watch
/// holds up the next one. Bytes of answers take time on the node's link.
class DirectFleet
{
public:
  /// Calls of the store by kind.
  struct Calls
  {
    std::size_t wholeReads = 0;
    std::size_t looks = 0;
    std::size_t watches = 0;
    std::size_t listings = 0;
    std::size_t changeWrites = 0;
  };

  /// Starts the nodes with a version in the store.
  /// @param aBound the time in which versions are to be in force.
  DirectFleet(std::size_t aNodes,
              state::Duration aBound,
              std::uint64_t aSeed,
              state::Generation aGeneration,
              std::string_view aText);

  /// The operator's write, acknowledged at once.
  void WriteVersion(state::Generation aGeneration, std::string_view aText);
  void Run(state::Duration aTime);
  /// Ends the nodes that read for the others at this moment.
  std::size_t KillReaders();

  /// The longest time from the acknowledgement of a version until a node that
  /// lives has it or a newer one in force; versions that are not in force
  /// count up to now.
  state::Duration WorstLag() const;
  const Calls& Counts() const { return calls_; }
  void ResetCounts();

private:
  struct Lane
  {
    std::deque<CallStore> waiting;
    std::optional<CallStore> running;
    /// When a watch that hears of nothing ends.
    state::Instant end{ 0 };
  };

  struct Answer
  {
    std::size_t node;
    std::size_t lane;
    StoreResult result;
  };

  struct Node
  {
    std::unique_ptr<DirectCore> core;
    std::array<Lane, 3> lanes;
    std::set<std::string> watched;
    state::Instant nextTick{ 0 };
    state::Generation inForce = 0;
    bool isAlive = true;
    /// When the record of a node that was killed leaves the store.
    state::Instant lapses{ state::Instant::max() };
  };

  struct Version
  {
    state::Generation generation;
    state::Instant written;
  };

  struct Row
  {
    std::string value;
    std::uint64_t revision = 0;
  };

  void Handle(std::size_t aNode, const Event& aEvent);
  void Submit(std::size_t aNode, CallStore aCall);
  void StartNext(std::size_t aNode, std::size_t aLane);
  /// @param aIsFirst this is the first watch of its key by the node.
  /// @return nothing while a watch waits.
  std::optional<StoreResult> Execute(const CallStore& aCall, bool aIsFirst);
  void Reply(std::size_t aNode, std::size_t aLane, StoreResult aResult);
  void WakeWatches();
  void NoteInForce(std::size_t aNode, state::Generation aGeneration);
  protocol::StoreListing MakeListing() const;
  Row& Put(const std::string& aKey, std::string aValue);

  state::Instant now_{ std::chrono::seconds(1) };
  std::map<std::string, Row> rows_;
  std::uint64_t revision_ = 1;
  std::vector<Node> nodes_;
  std::multimap<state::Instant, Answer> answers_;
  std::vector<Version> versions_;
  state::Duration worstLag_{ 0 };
  Calls calls_;
};

} // namespace teaselhold::coordination
