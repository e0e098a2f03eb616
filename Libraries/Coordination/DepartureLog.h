#pragma once

#include "Coordination/Backoff.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/StoreCallNumbers.h"
#include "State/DepartureSet.h"

#include <map>

namespace teaselhold::coordination {

/// @return the key of the departures beside a node.
std::string
DeparturesKey(const std::string& aNode);

/// @return the stored form of a set of departures.
std::string
SerializeDepartures(const state::DepartureSet& aDepartures);

/// @return the departures in a stored value; none if it cannot be parsed.
state::DepartureSet
ParseDepartures(std::string_view aValue);

/// Writes the departures of upstreams to the store, one key for each node. Its
/// lease outlasts the process that writes it by far, so a departure is known
/// after a restart however long the store turned the node away. A value that
/// another process wrote meanwhile is merged, never overwritten.
class DepartureLog
{
public:
  DepartureLog(StoreCallNumbers& aCallNumbers, RandomSource& aRandom)
    : callNumbers_(aCallNumbers)
    , random_(aRandom)
  {
  }

  /// Adds a departure. It is written until the store holds it or it is so old
  /// that its upstream has long ended.
  void Add(const UpstreamDeparted& aDeparture, state::Instant aNow);

  /// Writes departures again that the store has lost.
  void Restore(const std::string& aNode,
               const state::DepartureSet& aDepartures,
               state::Instant aNow);

  /// Compares a listing of the nodes with what was written. A key that was
  /// removed before its lease ended, as by an operator of the store, is written
  /// again.
  void OnListing(const protocol::StoreListing& aListing, state::Instant aNow);

  void Tick(state::Instant aNow, Commands& aCommands);

  /// @return false if the answer belongs to a call of another component.
  bool OnStoreAnswer(const StoreAnswered& aAnswer,
                     state::Instant aNow,
                     Commands& aCommands);

private:
  /// The departures beside one node that the store does not hold yet.
  struct Unsaved
  {
    state::DepartureSet departures;
    std::vector<std::uint64_t> saveNumbers;
    /// Value and revision of the key, as far as known.
    state::DepartureSet stored;
    std::uint64_t revision = 0;
    state::Instant expiry{ 0 };
  };
  using UnsavedByNode = std::map<std::string, Unsaved>;

  /// The departures beside one node that this process has written.
  struct Saved
  {
    state::DepartureSet departures;
    std::uint64_t revision = 0;
    state::Instant expiry{ 0 };
  };

  void Save(const std::string& aNode, const Unsaved& aUnsaved);
  void OnGranted(const StoreResult& aResult, state::Instant aNow);
  void OnSwapped(const StoreResult& aResult, Commands& aCommands);

  StoreCallNumbers& callNumbers_;
  RandomSource& random_;
  UnsavedByNode unsaved_;
  std::map<std::string, Saved> saved_;
  protocol::LeaseId lease_ = 0;
  state::Instant leaseReuseEnd_{ 0 };
  std::uint64_t call_ = 0;
  /// The node whose departures are being written; empty while a lease is
  /// requested.
  std::string nodeInFlight_;
  state::DepartureSet setInFlight_;
  state::Instant nextAttempt_{ 0 };
  Backoff backoff_{ kInitialStoreRetryDelay, kMaxStoreRetryDelay };
};

} // namespace teaselhold::coordination
