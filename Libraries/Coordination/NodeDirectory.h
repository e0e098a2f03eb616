#pragma once

#include "Coordination/Backoff.h"
#include "Coordination/CallNumbers.h"
#include "Coordination/NodeEvents.h"
#include "State/EndpointTable.h"

#include <map>

namespace teaselhold::coordination {

/// Learns the other nodes from their records in the store, which it reads again
/// and again: stale reads are cheap, while a watch would cost a call of every
/// node at every change of one. A record that vanishes keeps its node in the
/// table for a while, because records also vanish when the store was away.
class NodeDirectory
{
public:
  NodeDirectory(std::string aOwnNode,
                CallNumbers& aNumbers,
                RandomSource& aRandom);

  void Tick(state::Instant aNow, Commands& aCommands);

  /// @return false if the answer belongs to another part.
  bool OnStoreAnswer(const StoreAnswered& aAnswer,
                     state::Instant aNow,
                     Commands& aCommands);

  /// The nodes by record; the own one is put in with SetSelf().
  const state::EndpointTable& Table() const { return table_; }
  void SetSelf(const state::EndpointRecord& aSelf);

  /// @return true once after each change of the table.
  bool TakeChanged() { return std::exchange(isChanged_, false); }

  /// The store was listed at least once.
  bool IsListed() const { return isListed_; }

  /// The record that an earlier process of this node left, with its revision,
  /// as of the first listing.
  const std::optional<state::EndpointRecord>& EarlierSelf() const
  {
    return earlierSelf_;
  }

  /// The revision of this node's own record in the store; 0 if it is absent.
  std::uint64_t OwnRevision() const { return ownRevision_; }

  /// The newest revision at which the own record was seen to be absent.
  std::uint64_t OwnAbsentRevision() const { return ownAbsentRevision_; }

private:
  state::Duration Interval() const;
  void OnListing(const protocol::StoreListing& aListing,
                 state::Instant aNow,
                 Commands& aCommands);
  void OnPut(const std::string& aKey,
             const std::string& aValue,
             std::uint64_t aRevision);
  void OnVanished(const std::string& aKey,
                  std::uint64_t aRevision,
                  state::Instant aNow);
  void EraseOverdue(state::Instant aNow, Commands& aCommands);

  std::string ownKey_;
  CallNumbers& numbers_;
  state::EndpointTable table_;
  /// Nodes whose record is gone, and when they leave the table.
  std::map<std::string, state::Instant> vanished_;
  std::map<std::string, std::uint64_t> revisions_;
  std::optional<state::EndpointRecord> earlierSelf_;
  std::uint64_t ownRevision_ = 0;
  std::uint64_t ownAbsentRevision_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t call_ = 0;
  state::Instant next_{ 0 };
  bool isListed_ = false;
  bool isChanged_ = false;
  RandomSource& random_;
  Backoff backoff_{ kFirstStorePause, kLongestStorePause };
};

} // namespace teaselhold::coordination
