#pragma once

#include "Coordination/PeerDirectory.h"
#include "State/Configuration.h"
#include "State/Instant.h"
#include "control.pb.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselhold::coordination {

/// The relays whose majority decides which version is in force. This node is a
/// member too but is not listed.
struct RelaySet
{
  std::vector<Peer> others;
  std::size_t Size() const { return others.size() + 1; }
};

/// Returns the relays of aDataCentre, or all relays if the data centre has
/// fewer than three, counting this node.
RelaySet
FindRelaySet(const std::string& aDataCentre, const PeerDirectory& aPeers);

/// Determines the floor: the highest generation that may have been in force
/// before the search began. It is computed from the answers of relays to one
/// numbered question. Answers to other questions are ignored, because they may
/// have been sent before the search began.
class FloorSearch
{
public:
  /// The state of the searching relay itself.
  struct LocalState
  {
    bool isSettled = false;
    /// It was a settled leaf until it became a relay.
    bool wasSettled = false;
    /// The store did not answer, so a majority of the relays that may still be
    /// settled decides, however few they are.
    bool isStoreUnavailable = false;
    state::Generation held = 0;
  };

  void Start(std::uint64_t aQuestion, state::Instant aNow);
  void Stop() { question_ = 0; }
  bool IsRunning() const { return question_ != 0; }
  std::uint64_t Question() const { return question_; }

  /// Returns the relays to send the question to now and marks them as asked.
  /// New relays are asked immediately; those that have not answered or were not
  /// settled are asked again with exponential backoff.
  std::vector<Peer> SelectReceivers(const RelaySet& aSet,
                                    const PeerDirectory& aPeers,
                                    state::Instant aNow);

  void OnAnswer(const std::string& aNode, const wire::HeadNotice& aNotice);

  /// @return the floor, or nullopt until enough relays have answered.
  std::optional<state::Generation> FindFloor(const LocalState& aLocal,
                                             const RelaySet& aSet,
                                             const PeerDirectory& aPeers) const;

private:
  struct Answer
  {
    bool isSettled;
    state::Generation held;
    std::size_t relayCount;
  };

  bool AllAnswered(const RelaySet& aSet) const;
  std::size_t CountSettled(const std::vector<Peer>& aRelays) const;
  std::size_t LargestRelayCount(const RelaySet& aSet) const;
  state::Generation HighestHeld(const LocalState& aLocal) const;
  bool HasFleetQuorum(const LocalState& aLocal,
                      const RelaySet& aSet,
                      const PeerDirectory& aPeers) const;

  std::uint64_t question_ = 0;
  std::map<std::string, Answer> answers_;
  std::set<std::string> askedNodes_;
  state::Instant nextRetry_{ 0 };
  state::Duration retryInterval_{ 0 };
};

} // namespace teaselhold::coordination
