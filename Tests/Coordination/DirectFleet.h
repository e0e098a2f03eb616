#pragma once

#include "Coordination/DirectCore.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// Simulates a fleet of DirectCore nodes that share a store. Each node has one
/// connection for reads, one for writes and one for watches, so an open watch
/// delays the next one. The transfer of answers takes time on the node's link.
class DirectFleet
{
public:
  /// Numbers of store calls by kind.
  struct Calls
  {
    std::size_t fullReads = 0;
    std::size_t polls = 0;
    std::size_t watches = 0;
    std::size_t listings = 0;
    std::size_t changeWrites = 0;
  };

  /// Starts the nodes with the given configuration in the store.
  /// @param aBound the time within which a version must be in force everywhere.
  DirectFleet(std::size_t aNodes,
              state::Duration aBound,
              std::uint64_t aSeed,
              state::Generation aGeneration,
              std::string_view aText);

  /// Writes a version as an operator would; the write is acknowledged at once.
  void WriteVersion(state::Generation aGeneration, std::string_view aText);
  /// Writes a version that no open watch reports, as while the store drops its
  /// history.
  void WriteUnseenVersion(state::Generation aGeneration,
                          std::string_view aText);
  /// Lets each node hear from one other node each 100 ms, in turn, which newest
  /// generation that one knows.
  void StartTraffic() { hasTraffic_ = true; }
  /// What harms the store's answers to one node.
  enum class StoreFault
  {
    /// Those to its watches are lost.
    WatchesLost,
    /// All are lost.
    Lost,
    /// All take longer than the timeouts of the calls, as on a full link. Those
    /// to its watches arrive, late.
    Late,
  };

  /// Harms the store's answers to one node from now on.
  /// @param aIsReader it is one that reads for the others.
  void HarmStore(StoreFault aFault, bool aIsReader);
  /// Lets the connections on which watches wait go silent for good at the given
  /// share of the nodes, from the first one on. Their kernels still answer
  /// probes, so only the end of its wait ends such a watch. New connections
  /// work.
  void SilenceWatches(double aShare);
  /// Returns the number of open watches whose connections are silent.
  std::size_t SilentWatches() const;
  /// Lets the connections on which questions wait at readers go silent for
  /// good. Their kernels still answer probes, so only the end of its wait ends
  /// such a question. New connections work.
  void SilenceReaderQuestions();
  /// Suspends a node that does not read for the others. The time until it
  /// resumes does not count for WorstLag().
  void Suspend(state::Duration aTime);
  void Run(state::Duration aTime);
  /// Kills the nodes that are readers at this moment.
  /// @return the number of killed nodes.
  std::size_t KillReaders();
  /// Kills the readers and further nodes, the first ones, until the given share
  /// of all is dead.
  void KillShareWithReaders(double aShare);

  /// Returns the longest time from the acknowledgement of a version until a
  /// running node had it or a newer one in force. Versions that are not yet in
  /// force count up to now.
  state::Duration WorstLag() const;
  const Calls& Counts() const { return calls_; }
  void ResetCounts();

private:
  /// Of a call of the store, and of half an exchange between two nodes.
  static constexpr state::Duration kLatency = std::chrono::milliseconds(5);

  struct Connection
  {
    std::deque<CallStore> waiting;
    std::optional<CallStore> running;
    /// When an open watch ends without a change; 0 if no watch is open.
    state::Instant end{ 0 };
    /// Nothing that the store sends to the open watch arrives.
    bool isSilent = false;
  };

  struct Answer
  {
    std::size_t node;
    std::size_t connection;
    StoreResult result;
  };

  /// A question of one node to another about its part in reading.
  struct Question
  {
    std::size_t asker;
    std::uint64_t call;
    std::string address;
    bool mayWait;
    state::Instant asked;
    /// For how long the asked node may hold it back.
    state::Duration wait{ 0 };
    /// No answer arrives.
    bool isSilent = false;
    /// The asker has given it up.
    bool isCancelled = false;
  };

  /// A question of one node to another for its changes.
  struct ChangesQuestion
  {
    std::size_t asker;
    AskChanges question;
    state::Instant asked;
  };

  struct Node
  {
    std::unique_ptr<DirectCore> core;
    std::array<Connection, 3> connections;
    std::set<std::string> watched;
    state::Instant nextTick{ 0 };
    state::Generation inForce = 0;
    state::Generation newestKnown = 0;
    /// When the store was last checked, as far as this node knows.
    state::Instant checked{ 0 };
    std::shared_ptr<const ConfigurationChangeLog> changes;
    /// How long a reader holds the next question back, by address.
    std::map<std::string, state::Duration> readerWaits;
    bool isAlive = true;
    /// When it resumes after its last suspension.
    state::Instant resumed{ 0 };
    /// When the lease of a killed node expires, so that the store drops its
    /// record.
    state::Instant leaseExpiry{ state::Instant::max() };
  };

  struct Harmed
  {
    std::size_t node;
    StoreFault fault;
  };

  struct Version
  {
    state::Generation generation;
    state::Instant written;
  };

  struct StoredValue
  {
    std::string value;
    std::uint64_t revision = 0;
  };

  void Handle(std::size_t aNode, const Event& aEvent);
  void Submit(std::size_t aNode, CallStore aCall);
  void StartNext(std::size_t aNode, std::size_t aConnection);
  /// @param aIsFirst whether this is the node's first watch of its key.
  /// @return nullopt while a watch stays open.
  std::optional<StoreResult> Execute(const CallStore& aCall, bool aIsFirst);
  void Reply(std::size_t aNode, std::size_t aConnection, StoreResult aResult);
  void WakeWatches();
  bool IsLost(std::size_t aNode, std::size_t aConnection) const;
  /// Ends the open watch of a node without an answer.
  void EndWatch(std::size_t aNode);
  /// Ends a watch whose wait is over.
  void EndWait(std::size_t aNode);
  /// Ends a call without an answer at its timeout.
  void Expire(std::size_t aNode, std::size_t aConnection);
  bool IsSuspended(const Node& aNode) const { return now_ < aNode.resumed; }
  std::size_t LastNode(bool aIsReader) const;
  void HearFromPeers();
  /// Lets a node take what a message of another one says.
  /// @param aIsAnswer whether it is an answer, which tells of checks as well.
  void Hear(std::size_t aNode, const Node& aPeer, bool aIsAnswer);
  void AskReaderRole(std::size_t aAsker, const AskReader& aQuestion);
  void AnswerQuestions();
  void AnswerQuestion(const Question& aQuestion, ReaderRole aRole);
  /// Ends the question that a node keeps open at a reader.
  void GiveUpOpenQuestion(std::size_t aAsker);
  void AnswerChangesQuestions();
  std::size_t NodeAt(const std::string& aAddress) const;
  void Kill(Node& aNode);
  void RecordInForce(std::size_t aNode, state::Generation aGeneration);
  protocol::StoreListing MakeListing() const;
  StoredValue& Put(const std::string& aKey, std::string aValue);

  state::Instant now_{ std::chrono::seconds(1) };
  std::map<std::string, StoredValue> values_;
  std::uint64_t revision_ = 1;
  std::vector<Node> nodes_;
  std::multimap<state::Instant, Answer> answers_;
  std::vector<Question> questions_;
  std::vector<ChangesQuestion> changesQuestions_;
  std::vector<Version> versions_;
  std::optional<Harmed> harmed_;
  bool hasTraffic_ = false;
  state::Instant nextTraffic_{ 0 };
  std::size_t peerOffset_ = 0;
  state::Duration worstLag_{ 0 };
  Calls calls_;
};

} // namespace teaselhold::coordination
