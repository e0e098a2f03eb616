#pragma once

#include "Coordination/Backoff.h"
#include "Coordination/ConfigurationDistribution.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/StoreCallNumbers.h"

#include <optional>

namespace teaselhold::coordination {

/// Applies configuration texts from operators: validates them, writes them to
/// the store with compare-and-swap, and reads the store back to determine the
/// outcome of writes that got no answer.
class ApplyCoordinator
{
public:
  /// aNumbers and aDistribution must outlive this object.
  ApplyCoordinator(std::uint64_t aRandomSeed,
                   StoreCallNumbers& aNumbers,
                   ConfigurationDistribution& aDistribution);

  /// Starts an apply. Each request produces exactly one FinishApply command, at
  /// the latest at its deadline.
  void OnApply(const ApplyRequested& aRequest,
               const PeerDirectory& aPeers,
               state::Instant aNow,
               Commands& aCommands);

  /// @return false if the answer is not for a call of this object.
  bool OnStoreAnswer(const StoreAnswered& aAnswer,
                     const PeerDirectory& aPeers,
                     state::Instant aNow,
                     Commands& aCommands);

  void Tick(const PeerDirectory& aPeers,
            state::Instant aNow,
            Commands& aCommands);

  /// Returns the number of applies without an outcome.
  std::size_t InProgress() const;

private:
  enum class Stage : std::uint8_t
  {
    /// Waiting until the time of the next attempt.
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
    /// The generation that the change replaces; unset until the request or the
    /// first read determines it.
    std::optional<state::Generation> base;
    wire::StoredConfiguration written;
    std::uint64_t expectedRevision = 0;
    /// A write that expected uncertainRevision got no definite answer and may
    /// still take effect.
    bool isWriteUncertain = false;
    std::uint64_t uncertainRevision = 0;
    /// The operator has received the outcome. The session remains only until
    /// its store call is answered.
    bool isFinished = false;
    std::string lastError;
  };

  /// The store's value, compared with the version that this node holds.
  struct CurrentState
  {
    std::uint64_t revision = 0;
    wire::StoredConfiguration value;
    /// The newer of the store's value and the version that this node holds.
    wire::StoredConfiguration newest;
    /// The store and this node have different texts for the same generation.
    bool hasConflictingTexts = false;
  };

  void Read(Session& aSession, Commands& aCommands);
  void RemoveFinished(state::Instant aNow);
  void Write(Session& aSession,
             const CurrentState& aCurrent,
             Commands& aCommands);
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
  void FinishOrWrite(Session& aSession,
                     const CurrentState& aCurrent,
                     Commands& aCommands);
  static bool IsOwnWrite(const Session& aSession,
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
  StoreCallNumbers& numbers_;
  ConfigurationDistribution& distribution_;
  std::vector<Session> sessions_;
};

} // namespace teaselhold::coordination
