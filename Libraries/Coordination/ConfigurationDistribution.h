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

/// Counts the configuration messages sent and the texts accepted or rejected.
struct DistributionCounters
{
  std::uint64_t pullsSent = 0;
  std::uint64_t dataSent = 0;
  std::uint64_t noticesSent = 0;
  std::uint64_t deltasAccepted = 0;
  std::uint64_t fullTextsAccepted = 0;
  std::uint64_t dataRejected = 0;
};

/// Distributes configuration versions between nodes and decides which version
/// is in force on this node. A relay puts a version in force once a majority of
/// its relay set holds it; a leaf does so once its relay reports the version as
/// approved by that majority. After a restart, a node puts no version in force
/// until it knows its floor, the lowest generation that it may run without
/// going back to an older version than it ran before. RelayCore fills in the
/// sender of the messages.
class ConfigurationDistribution
{
public:
  ConfigurationDistribution(NodeIdentity aIdentity, std::uint64_t aRandomSeed);

  /// Returns the summary of this node's versions that its messages carry.
  wire::Head Head() const;

  /// Processes the head of a peer, whichever message carried it.
  void OnHead(const Peer& aSender,
              bool aSenderIsRelay,
              const wire::Head& aHead,
              const PeerDirectory& aPeers,
              state::Instant aNow,
              Commands& aCommands);

  /// Processes a HeadNotice, ConfigurationPull or ConfigurationData. For a
  /// HeadNotice this includes its head, which must not be passed to OnHead too.
  void OnMessage(const wire::Envelope& aEnvelope,
                 const PeerDirectory& aPeers,
                 state::Instant aNow,
                 Commands& aCommands);

  /// Processes a value that was read from the store or written to it. A read
  /// must have begun after this process started, since its value sets the
  /// floor. Generation 0 means that the store has no configuration.
  void OnStored(const wire::StoredConfiguration& aStored,
                const PeerDirectory& aPeers,
                state::Instant aNow,
                Commands& aCommands);

  /// Records that the store did not answer the read of an unsettled relay.
  void OnStoreUnavailable() { isStoreUnavailable_ = true; }

  void Tick(const PeerDirectory& aPeers,
            state::Instant aNow,
            Commands& aCommands);

  /// Returns the configuration in force, or nullptr if there is none.
  state::ConfigurationPointer Active() const { return active_; }

  /// Returns the newest version that this node holds, which may not be in force
  /// yet, or an empty value.
  const wire::StoredConfiguration& Held() const;

  /// Returns true if this node knows its floor and holds at least that
  /// generation, so it cannot go back to an older version than before a
  /// restart.
  bool IsSettled() const { return gate_.IsSettled(); }

  /// Returns the newest generation known to be held by a majority of the relay
  /// set of this node's data centre.
  state::Generation Approved() const { return approved_; }

  state::Generation RefusedGeneration() const { return refusedGeneration_; }
  const std::string& RefusedReason() const { return refusedReason_; }
  const std::vector<std::string>& Alarms() const { return alarms_; }
  const DistributionCounters& Counters() const { return counters_; }

  /// Returns how many versions from peers or the store were ignored because
  /// they were older than the held one.
  std::uint64_t IgnoredOlder() const { return gate_.OlderOffers(); }

  /// Logs aAlarm and adds it to the status of this node unless it is already
  /// there. The oldest alarm is dropped when there are too many.
  void RaiseAlarm(std::string aAlarm, Commands& aCommands);

private:
  struct PeerHead
  {
    std::uint64_t incarnation = 0;
    state::Generation held = 0;
    state::Generation active = 0;
    bool isSettled = false;
  };

  /// The most recently computed delta. The same delta is sent to many peers.
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

  void UpdateRole(const PeerDirectory& aPeers, state::Instant aNow);
  void Advance(const PeerDirectory& aPeers,
               state::Instant aNow,
               Commands& aCommands);

  // Held, approved and active versions.
  void Hold(wire::StoredConfiguration aStored, Commands& aCommands);
  void UpdateApproved(const PeerDirectory& aPeers);
  void Activate(Commands& aCommands);
  bool RaiseAlarmOnConflict(state::Generation aGeneration,
                            std::uint64_t aDigest,
                            const std::string& aSource,
                            Commands& aCommands);

  // Search for the floor after a restart or a change of role.
  void AdvanceFloor(const PeerDirectory& aPeers,
                    state::Instant aNow,
                    Commands& aCommands);
  void AskRelayForFloor(const PeerDirectory& aPeers,
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

  /// The latest state of each relay and leaf that sent a head, by node name.
  std::map<std::string, PeerHead> heads_;
  /// The newest generations that were announced to relays and to leaves.
  state::Generation generationNotifiedToRelays_ = 0;
  state::Generation generationNotifiedToLeaves_ = 0;
  /// Whether the newest version came from the store rather than from a peer.
  bool heldFromStore_ = false;

  DeltaCache deltaCache_;

  FloorSearch floorSearch_;
  bool wasSettledLeaf_ = false;
  bool isStoreUnavailable_ = false;
  /// Questions of leaves, by node name: those that the running floor search
  /// will answer, and those that arrived after it began and need a new search,
  /// because its answers may be older than their questions.
  std::map<std::string, Question> leavesOfRunningSearch_;
  std::map<std::string, Question> leavesOfNextSearch_;
  /// Questions of relays that arrived while this node was unsettled, by node
  /// name. They are answered again once it is settled.
  std::map<std::string, Question> waitingRelays_;
  /// The number of the open question for the floor that this node, as a leaf,
  /// sent to its relay; 0 if there is none.
  std::uint64_t ownQuestion_ = 0;
  std::string askedRelay_;
  state::Instant nextOwnQuestion_{ 0 };
  state::Duration ownQuestionInterval_{ 0 };

  state::Generation refusedGeneration_ = 0;
  std::string refusedReason_;
  std::vector<std::string> alarms_;
  DistributionCounters counters_;
};

} // namespace teaselhold::coordination
