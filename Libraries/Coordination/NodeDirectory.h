#pragma once

#include "Coordination/Backoff.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/StoreCallNumbers.h"
#include "State/DepartureSet.h"
#include "State/EndpointTable.h"

#include <map>

namespace teaselhold::coordination {

/// Learns the other nodes from their records in the store, which it polls:
/// stale reads are cheap, while with a watch each change of one record would
/// cost a call by every node. A node stays in the table for a grace period
/// after its record disappeared, because records also expire during a store
/// outage. The departures of upstreams are listed along with the records; a run
/// that departed is never ready, whatever a record says.
class NodeDirectory
{
public:
  using DeparturesByNode = std::map<std::string, state::DepartureSet>;

  NodeDirectory(std::string aOwnNode,
                StoreCallNumbers& aCallNumbers,
                RandomSource& aRandom);

  void Tick(state::Instant aNow, Commands& aCommands);

  /// @return false if the answer belongs to a call of another component.
  bool OnStoreAnswer(const StoreAnswered& aAnswer,
                     state::Instant aNow,
                     Commands& aCommands);

  /// Returns the records of all nodes; SetSelf() adds the one of this node.
  const state::EndpointTable& Table() const { return table_; }
  void SetSelf(const state::EndpointRecord& aSelf);

  /// @return true once after each change of the table.
  bool TakeChanged() { return std::exchange(isChanged_, false); }

  /// @return true if the records were listed at least once.
  bool IsListed() const { return isListed_; }

  /// Records that an upstream beside a node announced its departure.
  void AddDeparture(const std::string& aNode,
                    const state::UpstreamIdentity& aRun);

  /// Takes the departure that a value of this node's own record tells of, such
  /// as one that a previous process wrote.
  void LearnFromOwnRecord(const std::string& aValue);

  /// Returns the known departures of the upstreams beside this node, those of
  /// previous processes included.
  const state::DepartureSet& OwnDepartures() const { return ownDepartures_; }

  /// @return true once after each change of OwnDepartures().
  bool TakeOwnDeparturesChanged()
  {
    return std::exchange(isOwnDeparturesChanged_, false);
  }

  /// Returns the revision of this node's own record in the store; 0 if it is
  /// absent.
  std::uint64_t OwnRevision() const { return ownRevision_; }

  /// Returns the value of the latest known own record, which may be absent now.
  const std::string& OwnValue() const { return ownValue_; }

  /// Returns the revision of the latest listing that did not contain this
  /// node's own record.
  std::uint64_t OwnAbsentRevision() const { return ownAbsentRevision_; }

  /// Returns the departures that the store held and lost as it came back from
  /// an earlier copy, once.
  DeparturesByNode TakeLostDepartures()
  {
    return std::exchange(lostDepartures_, {});
  }

private:
  state::Duration PollInterval() const;
  /// Takes a listing unless it is older than the latest one.
  void OnAnswer(const protocol::StoreListing& aListing,
                state::Instant aNow,
                Commands& aCommands);
  /// Returns whether a stale answer may show the store as it is now.
  bool IsUsable(const protocol::StoreListing& aListing);
  /// Begins a new era of the store with its first listing.
  void OnNewEra(const protocol::StoreListing& aListing,
                const DeparturesByNode& aDepartures,
                Commands& aCommands);
  void OnListing(const protocol::StoreListing& aListing,
                 state::Instant aNow,
                 Commands& aCommands);
  void OnRecord(const std::string& aKey,
                const std::string& aValue,
                std::uint64_t aRevision);
  void OnRecordMissing(const std::string& aKey,
                       std::uint64_t aRevision,
                       state::Instant aNow);
  void OnDepartures(const std::string& aNode,
                    const state::DepartureSet& aDepartures);
  void EraseExpired(state::Instant aNow, Commands& aCommands);

  std::string ownKey_;
  StoreCallNumbers& callNumbers_;
  state::EndpointTable table_;
  /// Keys of the records that disappeared, and when their nodes are removed
  /// from the table.
  std::map<std::string, state::Instant> removalTimes_;
  std::map<std::string, std::uint64_t> revisions_;
  /// Of the other nodes, by name.
  std::map<std::string, state::DepartureSet> departures_;
  state::DepartureSet ownDepartures_;
  bool isOwnDeparturesChanged_ = false;
  std::uint64_t ownRevision_ = 0;
  std::string ownValue_;
  std::uint64_t ownAbsentRevision_ = 0;
  std::uint64_t listedRevision_ = 0;
  /// What the latest listing showed.
  DeparturesByNode listedDepartures_;
  DeparturesByNode lostDepartures_;
  /// Stale answers in a row that were older than the latest listing.
  unsigned olderAnswers_ = 0;
  /// The next listing must show the store as it is now.
  bool isExactListingDue_ = true;
  bool isExactListing_ = false;
  std::uint64_t listCall_ = 0;
  state::Instant nextListing_{ 0 };
  bool isListed_ = false;
  bool isChanged_ = false;
  RandomSource& random_;
  Backoff backoff_{ kInitialStoreRetryDelay, kMaxStoreRetryDelay };
};

} // namespace teaselhold::coordination
