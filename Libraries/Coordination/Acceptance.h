#pragma once

#include "Coordination/Backoff.h"
#include "Coordination/CallNumbers.h"
#include "Coordination/ConfigurationDistribution.h"
#include "Coordination/NodeEvents.h"

#include <optional>

namespace teaselhold::coordination {

/// Applies operators' texts: checks them, writes them to the store by
/// compare-and-swap and finds out what became of writes without an answer.
class Acceptance
{
public:
  /// aNumbers and aDistribution must outlive this object.
  Acceptance(std::uint64_t aRandomSeed,
             CallNumbers& aNumbers,
             ConfigurationDistribution& aDistribution);

  /// Ends in exactly one FinishApply command, at the latest at the request's
  /// deadline.
  void OnApply(const ApplyRequested& aRequest,
               const PeerDirectory& aPeers,
               state::Instant aNow,
               Commands& aCommands);

  /// @return false if the answer belongs to another part.
  bool OnStoreAnswer(const StoreAnswered& aAnswer,
                     const PeerDirectory& aPeers,
                     state::Instant aNow,
                     Commands& aCommands);

  void Tick(const PeerDirectory& aPeers,
            state::Instant aNow,
            Commands& aCommands);

  /// Applies that are not finished yet.
  std::size_t InProgress() const;

private:
  enum class Stage : std::uint8_t
  {
    /// Waits until the next attempt.
    Waiting,
    Reading,
    Writing,
  };

  static constexpr state::Duration kFirstDelay = std::chrono::milliseconds(50);
  static constexpr state::Duration kLongestDelay = std::chrono::seconds(1);

  struct Session
  {
    ApplyRequested request;
    Stage stage = Stage::Waiting;
    std::uint64_t call = 0;
    state::Instant nextAttempt{ 0 };
    Backoff backoff{ kFirstDelay, kLongestDelay };
    std::size_t writes = 0;
    /// The generation that the change replaces, once it is known.
    std::optional<state::Generation> base;
    wire::StoredConfiguration written;
    std::uint64_t expectedRevision = 0;
    /// A write against doubtfulRevision may still take effect.
    bool isInDoubt = false;
    std::uint64_t doubtfulRevision = 0;
    /// The operator has the outcome; only the open call is awaited.
    bool isFinished = false;
    std::string lastError;
  };

  /// What the store and this node know when a session goes on.
  struct Current
  {
    std::uint64_t revision = 0;
    wire::StoredConfiguration value;
    /// The newer of the store's value and the one this node holds.
    wire::StoredConfiguration inForce;
    /// The store and this node have the same generation with other texts.
    bool isForked = false;
  };

  void Read(Session& aSession, Commands& aCommands);
  void Remove(state::Instant aNow);
  void Write(Session& aSession, const Current& aCurrent, Commands& aCommands);
  void OnReadAnswer(Session& aSession,
                    const StoreResult& aResult,
                    const PeerDirectory& aPeers,
                    state::Instant aNow,
                    Commands& aCommands);
  void OnWriteAnswer(Session& aSession,
                     const StoreResult& aResult,
                     const PeerDirectory& aPeers,
                     state::Instant aNow,
                     Commands& aCommands);
  void OnEntry(Session& aSession,
               const protocol::StoreEntry& aEntry,
               const PeerDirectory& aPeers,
               state::Instant aNow,
               Commands& aCommands);
  void Decide(Session& aSession, const Current& aCurrent, Commands& aCommands);
  static bool IsOwn(const Session& aSession,
                    const wire::StoredConfiguration& aValue);
  static void FinishConflict(Session& aSession,
                             const wire::StoredConfiguration& aWinner,
                             std::string aMessage,
                             Commands& aCommands);
  void Retry(Session& aSession, std::string aError, state::Instant aNow);
  static void FinishAtDeadline(Session& aSession, Commands& aCommands);
  static void Finish(Session& aSession,
                     ApplyOutcome aOutcome,
                     state::Generation aGeneration,
                     std::string aMessage,
                     Commands& aCommands);

  RandomSource random_;
  CallNumbers& numbers_;
  ConfigurationDistribution& distribution_;
  std::vector<Session> sessions_;
};

} // namespace teaselhold::coordination
