#pragma once

#include "Coordination/Backoff.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/Rollouts/RolloutBook.h"
#include "Coordination/StoreCallNumbers.h"

#include <set>

namespace teaselhold::coordination {

/// Reads the operator's orders from the store and moves the states of roll-outs
/// there. Every node may write the next state, each after a pause of its own,
/// and each write names the revision of the state before it. So no node is
/// special, the first write wins, and a node that was paused, or whose write
/// arrives late, changes nothing that others have decided since.
class RolloutKeeper
{
public:
  RolloutKeeper(std::string aNode,
                StoreCallNumbers& aNumbers,
                RandomSource& aRandom)
    : node_(std::move(aNode))
    , numbers_(aNumbers)
    , random_(aRandom)
  {
  }

  /// Orders may have changed up to this revision of the store; 0 if there are
  /// none to read.
  void OnOrdersRevision(std::uint64_t aRevision);

  /// Takes what the data plane learnt from other nodes and found itself.
  void OnSeen(const RolloutsSeen& aSeen);

  void Tick(state::Instant aNow, Commands& aCommands);

  /// @return false if the answer is not for a call of this object.
  bool OnStoreAnswer(const StoreAnswered& aAnswer,
                     state::Instant aNow,
                     Commands& aCommands);

  const RolloutBook& Book() const { return book_; }

  /// @return the services whose target version this node found good.
  const std::set<std::string>& Proven() const { return proven_; }

private:
  enum class Call : std::uint8_t
  {
    None,
    ReadOrders,
    ReadStates,
    Write,
  };

  /// A state that this node wants to write.
  struct Wish
  {
    std::uint64_t order = 0;
    protocol::RolloutState state{};
    state::Instant due{ 0 };
  };

  std::optional<protocol::RolloutState> NextState(const Rollout& aRollout,
                                                  state::Instant aNow) const;
  void StartRead(Call aCall, Commands& aCommands);
  void StartWrite(state::Instant aNow, Commands& aCommands);
  state::Duration PauseBefore(const Rollout& aRollout,
                              protocol::RolloutState aState) const;
  void OnListing(Call aCall,
                 const protocol::StoreListing& aListing,
                 state::Instant aNow);
  void OnOrders(const protocol::StoreListing& aListing, state::Instant aNow);
  void OnStates(const protocol::StoreListing& aListing);
  void OnSwapped(const protocol::SwapResult& aSwap);

  std::string node_;
  StoreCallNumbers& numbers_;
  RandomSource& random_;
  RolloutBook book_;
  std::set<std::string> proven_;
  std::uint64_t ordersRevision_ = 0;
  std::uint64_t readRevision_ = 0;
  /// The states of all known orders have been read.
  bool areStatesKnown_ = false;
  std::uint64_t call_ = 0;
  Call pending_ = Call::None;
  std::uint64_t pendingRevision_ = 0;
  std::string pendingService_;
  state::Instant nextPoll_{ 0 };
  state::Instant nextCall_{ 0 };
  Backoff backoff_{ kInitialStoreRetryDelay, kMaxStoreRetryDelay };
  std::map<std::string, Wish> wishes_;
  /// Services whose states the store has lost, as it last showed.
  std::set<std::string> absentStates_;
  /// When the roll-out of a service was first known to be promoting.
  std::map<std::string, state::Instant> promotingSince_;
  bool isPublishDue_ = false;
};

} // namespace teaselhold::coordination
