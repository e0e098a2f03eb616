#pragma once

#include "Coordination/Backoff.h"
#include "Coordination/ConfigurationDistribution.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/StoreCallNumbers.h"

#include <array>
#include <optional>

namespace teaselhold::coordination {

/// Elects a few relays of each region as readers, which watch the store. A
/// reader holds one of the region's two slots under a lease. Only the
/// candidates for a slot receive the beacons of its holder, so neither store
/// calls nor messages grow with the fleet. Also reads the configuration
/// directly for a restarted relay whose peers cannot tell it the floor, the
/// lowest generation that it may put in force.
class ReaderElection
{
public:
  static constexpr std::size_t kSlots = 2;
  /// Number of relays of a region that contend for its slots.
  static constexpr std::size_t kCandidates = 8;

  /// aCallNumbers and aDistribution must outlive this object.
  ReaderElection(NodeIdentity aIdentity,
                 std::uint64_t aRandomSeed,
                 StoreCallNumbers& aCallNumbers,
                 ConfigurationDistribution& aDistribution);

  void Tick(const PeerDirectory& aPeers,
            state::Instant aNow,
            Commands& aCommands);

  /// Records the beacon of a reader, which is carried by HeadNotice; ignores
  /// other messages.
  void OnMessage(const wire::Envelope& aEnvelope, state::Instant aNow);

  /// @return false if the answer belongs to a call of another component.
  bool OnStoreAnswer(const StoreAnswered& aAnswer,
                     const PeerDirectory& aPeers,
                     state::Instant aNow,
                     Commands& aCommands);

  bool IsReader() const { return stage_ == Stage::Holding; }
  /// The slot that this reader holds.
  std::uint32_t Slot() const { return slot_; }
  /// @return true if the last answer of the store was not an error.
  bool IsStoreReachable() const { return isStoreReachable_; }
  /// The generation that the store had when this node last read or wrote it.
  state::Generation StoreGeneration() const { return storeGeneration_; }

  /// Returns the key under which the store holds the claim of a slot.
  static std::string SlotKey(const std::string& aRegion, std::uint32_t aSlot);

private:
  enum class Stage : std::uint8_t
  {
    Idle,
    Granting,
    Claiming,
    Holding,
  };

  /// A store call in flight; number 0 means none.
  struct PendingCall
  {
    std::uint64_t number = 0;
    state::Instant sent{ 0 };
  };

  std::vector<Peer> Candidates(const PeerDirectory& aPeers) const;
  bool IsCandidate(const PeerDirectory& aPeers) const;
  template<typename Request>
  PendingCall SendCall(Request aRequest,
                       state::Instant aNow,
                       Commands& aCommands);

  // Slots.
  void Contend(const PeerDirectory& aPeers,
               state::Instant aNow,
               Commands& aCommands);
  bool IsSlotFree(std::uint32_t aSlot, state::Instant aNow) const;
  void Claim(state::Instant aNow, Commands& aCommands);
  void OnGrantAnswer(const StoreResult& aResult,
                     state::Instant aNow,
                     Commands& aCommands);
  void OnClaimAnswer(const StoreResult& aResult,
                     const PeerDirectory& aPeers,
                     state::Instant aNow,
                     Commands& aCommands);
  void OnRenewalAnswer(const StoreResult& aResult,
                       const PeerDirectory& aPeers,
                       state::Instant aNow,
                       Commands& aCommands);
  void Renew(state::Instant aNow, Commands& aCommands);
  void BecomeIdle(state::Duration aDelay, state::Instant aNow);
  void LoseSlot(const char* aReason, state::Instant aNow, Commands& aCommands);
  void LoseSlotIfExpired(state::Instant aNow, Commands& aCommands);
  void SendBeacon(const PeerDirectory& aPeers, Commands& aCommands);
  std::string ClaimValue() const;

  // Reads and writes of the configuration.
  void Watch(state::Instant aNow, Commands& aCommands);
  void OnWatchAnswer(const StoreResult& aResult,
                     const PeerDirectory& aPeers,
                     state::Instant aNow,
                     Commands& aCommands);
  void OnEntry(const protocol::StoreEntry& aEntry,
               const PeerDirectory& aPeers,
               state::Instant aNow,
               Commands& aCommands);
  void WriteBack(state::Instant aNow, Commands& aCommands);
  void OnWriteBackAnswer(const StoreResult& aResult,
                         const PeerDirectory& aPeers,
                         state::Instant aNow,
                         Commands& aCommands);
  void ReadFloor(state::Instant aNow, Commands& aCommands);
  void OnFloorAnswer(const StoreResult& aResult,
                     const PeerDirectory& aPeers,
                     state::Instant aNow,
                     Commands& aCommands);

  NodeIdentity identity_;
  RandomSource random_;
  StoreCallNumbers& callNumbers_;
  ConfigurationDistribution& distribution_;

  Stage stage_ = Stage::Idle;
  bool isRelay_ = false;
  std::uint32_t slot_ = 0;
  protocol::LeaseId lease_ = 0;
  /// From this instant on the lease may have expired. Counted from the time at
  /// which the last successful grant or renewal was sent, since the store
  /// starts counting only when it processes that call.
  state::Instant leaseExpiry_{ 0 };
  PendingCall slotCall_;
  state::Instant nextRenewal_{ 0 };
  std::optional<state::Instant> nextContention_;
  std::array<state::Instant, kSlots> lastBeacons_{};
  std::uint64_t beaconNumber_ = 0;
  Backoff contentionBackoff_;

  PendingCall watchCall_;
  state::Instant nextWatch_{ 0 };
  std::uint64_t knownRevision_ = 0;
  Backoff watchBackoff_;

  /// The revision of the store's configuration if it is older than the version
  /// that this node holds.
  std::optional<std::uint64_t> staleRevision_;
  PendingCall writeBackCall_;
  wire::StoredConfiguration writtenBack_;
  state::Instant nextWriteBack_{ 0 };
  Backoff writeBackBackoff_;

  PendingCall floorCall_;
  std::optional<state::Instant> nextFloorRead_;
  Backoff floorBackoff_;

  bool isStoreReachable_ = false;
  state::Generation storeGeneration_ = 0;
};

} // namespace teaselhold::coordination
