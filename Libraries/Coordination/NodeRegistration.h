#pragma once

#include "Coordination/NodeDirectory.h"
#include "Coordination/StoreCallNumbers.h"

namespace teaselhold::coordination {

/// Keeps this node's record in the store under a lease, and writes it again
/// when the lease expired or the record was removed. A process that exits
/// leaves its record in place until the lease expires, so that the next process
/// on the host learns from it that the upstream is leaving.
class NodeRegistration
{
public:
  NodeRegistration(const std::string& aNode,
                   StoreCallNumbers& aCallNumbers,
                   RandomSource& aRandom);

  /// Sets the record that the store is to hold from now on.
  void Set(const state::EndpointRecord& aRecord);

  /// @param aDirectory provides the revision of this node's record in the
  /// store.
  void Tick(const NodeDirectory& aDirectory,
            state::Instant aNow,
            Commands& aCommands);

  /// @return false if the answer belongs to a call of another component.
  bool OnStoreAnswer(const StoreAnswered& aAnswer,
                     state::Instant aNow,
                     Commands& aCommands);

private:
  void OnGranted(const StoreResult& aResult, state::Instant aNow);
  void OnSwapped(const StoreResult& aResult, state::Instant aNow);
  void OnRenewed(const StoreResult& aResult,
                 state::Instant aNow,
                 Commands& aCommands);
  /// Returns whether the store holds another record than the one that this
  /// process wrote, as after its return from an earlier copy.
  bool IsReplaced(const NodeDirectory& aDirectory) const;
  void ResetRegistration();
  void SendCall(Commands& aCommands, decltype(CallStore::request) aRequest);

  enum class Pending : std::uint8_t
  {
    None,
    Grant,
    Swap,
    Renew,
  };

  std::string key_;
  StoreCallNumbers& callNumbers_;
  /// The value that the store is to hold; empty until Set() is called.
  std::string desiredValue_;
  std::string storedValue_;
  std::uint64_t revision_ = 0;
  protocol::LeaseId lease_ = 0;
  Pending pending_ = Pending::None;
  std::uint64_t call_ = 0;
  std::string valueInFlight_;
  state::Instant nextAttempt_{ 0 };
  state::Instant nextRenewal_{ 0 };
  RandomSource& random_;
  Backoff backoff_{ kInitialStoreRetryDelay, kMaxStoreRetryDelay };
};

} // namespace teaselhold::coordination
