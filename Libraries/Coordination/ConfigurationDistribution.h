#pragma once

#include "Coordination/ConfigurationDelta.h"
#include "Coordination/ConfigurationPuller.h"
#include "Coordination/FloorSearch.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/PeerDirectory.h"
#include "Coordination/RandomSource.h"
#include "Coordination/VersionHistory.h"
#include "State/VersionGate.h"
#include "admin.pb.h"

#include <map>

namespace teaselhold::coordination {

/// Counts what happened to versions, for metrics.
struct DistributionCounters
{
  std::uint64_t pullsSent = 0;
  std::uint64_t dataSent = 0;
  std::uint64_t noticesSent = 0;
  std::uint64_t deltasTaken = 0;
  std::uint64_t fullTextsTaken = 0;
  std::uint64_t deltasRejected = 0;
};

/// Spreads configurations from node to node and decides which one is in force
/// on this node. A relay puts a version in force once a majority of its relay
/// set holds it, a leaf once its relay has. NodeCore fills in the sender of the
/// messages.
class ConfigurationDistribution
{
public:
  ConfigurationDistribution(NodeIdentity aIdentity, std::uint64_t aRandomSeed);

  /// The head that this node puts into its messages.
  wire::Head Head() const;

  /// Takes the head of a peer, whatever message carried it.
  void OnHead(const Peer& aSender,
              bool aSenderIsRelay,
              const wire::Head& aHead,
              const PeerDirectory& aPeers,
              state::Instant aNow,
              Commands& aCommands);

  /// Takes HeadNotice, ConfigurationPull and ConfigurationData. The head of a
  /// HeadNotice need not be passed to OnHead.
  void OnMessage(const wire::Envelope& aEnvelope,
                 const PeerDirectory& aPeers,
                 state::Instant aNow,
                 Commands& aCommands);

  /// Takes a value that was read from or written to the store; the read must
  /// have begun after this process started. Generation 0 means that the store
  /// has no configuration.
  void OnStored(const wire::StoredConfiguration& aStored,
                const PeerDirectory& aPeers,
                state::Instant aNow,
                Commands& aCommands);

  /// The store did not answer the read of an unsettled relay.
  void OnStoreOut() { isStoreOut_ = true; }

  void Tick(const PeerDirectory& aPeers,
            state::Instant aNow,
            Commands& aCommands);

  /// The configuration in force, or nullptr.
  state::ConfigurationPointer Active() const { return active_; }

  /// The newest value that this node holds; it may not be in force yet.
  const wire::StoredConfiguration& Held() const;

  /// This node holds at least what it ran before a restart.
  bool IsSettled() const { return gate_.IsSettled(); }

  /// The newest generation that this node knows to be held by a majority of a
  /// relay set of its data centre.
  state::Generation Approved() const { return approved_; }

  state::Generation RefusedGeneration() const { return refusedGeneration_; }
  const std::string& RefusedReason() const { return refusedReason_; }
  const std::vector<std::string>& Alarms() const { return alarms_; }
  const DistributionCounters& Counters() const { return counters_; }

  /// Values from peers or the store that were ignored as too old.
  std::uint64_t IgnoredOlder() const { return gate_.OlderOffers(); }

  /// Adds an alarm for operators, unless it is there already.
  void RaiseAlarm(std::string aAlarm, Commands& aCommands);

private:
  struct PeerHead
  {
    std::uint64_t incarnation = 0;
    state::Generation held = 0;
    state::Generation active = 0;
    bool isSettled = false;
  };

  /// The delta that was made last; a change is sent to many peers.
  struct DeltaCache
  {
    state::Generation base = 0;
    state::Generation target = 0;
    std::optional<ConfigurationSections> sections;
  };

  struct Question
  {
    Peer sender;
    std::uint64_t number;
  };

  void NoteRole(const PeerDirectory& aPeers, state::Instant aNow);
  void Advance(const PeerDirectory& aPeers,
               state::Instant aNow,
               Commands& aCommands);

  // Versions.
  void Hold(wire::StoredConfiguration aStored, Commands& aCommands);
  void UpdateApproved(const PeerDirectory& aPeers);
  void Activate(Commands& aCommands);
  bool NoteConflict(state::Generation aGeneration,
                    std::uint64_t aDigest,
                    const std::string& aSource,
                    Commands& aCommands);

  // Floor.
  void AdvanceFloor(const PeerDirectory& aPeers,
                    state::Instant aNow,
                    Commands& aCommands);
  void AskRelay(const PeerDirectory& aPeers,
                state::Instant aNow,
                Commands& aCommands);
  void OnQuestion(const Peer& aSender,
                  const wire::HeadNotice& aNotice,
                  const PeerDirectory& aPeers,
                  Commands& aCommands);
  void OnAnswer(const Peer& aSender, const wire::HeadNotice& aNotice);
  void AnswerRelay(const Question& aQuestion,
                   const PeerDirectory& aPeers,
                   Commands& aCommands);
  void AnswerWaitingRelays(const PeerDirectory& aPeers, Commands& aCommands);
  void AnswerLeaves(state::Generation aFloor,
                    const PeerDirectory& aPeers,
                    Commands& aCommands);

  // Messages.
  void OnNotice(const Peer& aSender,
                const wire::HeadNotice& aNotice,
                const PeerDirectory& aPeers,
                state::Instant aNow,
                Commands& aCommands);
  void OnPull(const Peer& aSender,
              const wire::ConfigurationPull& aPull,
              Commands& aCommands);
  void OnData(const Peer& aSender,
              const wire::ConfigurationData& aData,
              const PeerDirectory& aPeers,
              state::Instant aNow,
              Commands& aCommands);
  tl::expected<std::string, CoordinationError> ReadText(
    const wire::ConfigurationData& aData) const;
  void NotifyRelays(const PeerDirectory& aPeers, Commands& aCommands);
  void NotifyLeaves(const PeerDirectory& aPeers, Commands& aCommands);
  void SendData(const Peer& aReceiver,
                const Version& aVersion,
                const Version* aBase,
                Commands& aCommands);
  const std::optional<ConfigurationSections>& DeltaBetween(
    const Version& aBase,
    const Version& aTarget);
  void SendQuestion(const Peer& aReceiver,
                    std::uint64_t aQuestion,
                    Commands& aCommands);
  void SendNotice(const Peer& aReceiver, Commands& aCommands);
  void SendPull(const std::optional<PullRequest>& aRequest,
                Commands& aCommands);
  void Send(const Peer& aReceiver,
            wire::Envelope aEnvelope,
            Commands& aCommands);

  NodeIdentity identity_;
  RandomSource random_;
  state::VersionGate gate_;
  VersionHistory history_;
  state::ConfigurationPointer active_;
  state::Generation approved_ = 0;
  ConfigurationPuller puller_;
  bool isRelay_ = false;
  state::Instant relaySince_{ 0 };

  /// By node: relays and leaves that sent a head.
  std::map<std::string, PeerHead> heads_;
  /// The newest generation that was announced to relays and to leaves.
  state::Generation notifiedRelays_ = 0;
  state::Generation notifiedLeaves_ = 0;
  /// The newest version came from the store, not from a peer.
  bool heldFromStore_ = false;

  DeltaCache delta_;

  FloorSearch search_;
  bool wasSettledLeaf_ = false;
  bool isStoreOut_ = false;
  /// Leaves that the running search answers, and those that came after it
  /// began.
  std::map<std::string, Question> searchingLeaves_;
  std::map<std::string, Question> waitingLeaves_;
  /// Relays that asked while this node was unsettled; they are told when it
  /// is.
  std::map<std::string, Question> waitingRelays_;
  /// This node's question to its relay while it is an unsettled leaf.
  std::uint64_t leafQuestion_ = 0;
  std::string askedRelay_;
  state::Instant nextLeafQuestion_{ 0 };
  state::Duration leafQuestionInterval_{ 0 };

  state::Generation refusedGeneration_ = 0;
  std::string refusedReason_;
  std::vector<std::string> alarms_;
  DistributionCounters counters_;
};

} // namespace teaselhold::coordination
