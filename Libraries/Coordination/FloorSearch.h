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

/// The relays that decide together which version is in force, without this
/// node.
struct RelaySet
{
  std::vector<Peer> others;
  std::size_t Size() const { return others.size() + 1; }
};

/// Returns the relays of aDataCentre, or all relays if there are fewer than
/// three, this node included.
RelaySet
FindRelaySet(const std::string& aDataCentre, const PeerDirectory& aPeers);

/// Finds the highest generation that may have been in force before the search
/// began, from the answers to one numbered question. Answers to other
/// questions do not count: they may be older than the search.
class FloorSearch
{
public:
  /// What the searching relay knows by itself.
  struct Self
  {
    bool isSettled = false;
    /// It ran as a settled leaf until it took the relay role.
    bool wasSettled = false;
    /// The store did not answer, so the relays that survived decide, however
    /// few they are.
    bool isStoreOut = false;
    state::Generation held = 0;
  };

  void Start(std::uint64_t aQuestion, state::Instant aNow);
  void Stop() { question_ = 0; }
  bool IsRunning() const { return question_ != 0; }
  std::uint64_t Question() const { return question_; }

  /// Returns the relays that must be asked now: new ones at once, silent ones
  /// again after a growing interval.
  std::vector<Peer> TakeReceivers(const RelaySet& aSet,
                                  const PeerDirectory& aPeers,
                                  state::Instant aNow);

  void OnAnswer(const std::string& aNode, const wire::HeadNotice& aNotice);

  /// @return the floor, or nullopt while too few relays have answered.
  std::optional<state::Generation> Result(const Self& aSelf,
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
  std::size_t LargestCount(const RelaySet& aSet) const;
  state::Generation HighestHeld(const Self& aSelf) const;
  bool IsFleetEnough(const Self& aSelf,
                     const RelaySet& aSet,
                     const PeerDirectory& aPeers) const;

  std::uint64_t question_ = 0;
  std::map<std::string, Answer> answers_;
  std::set<std::string> asked_;
  state::Instant nextAsk_{ 0 };
  state::Duration interval_{ 0 };
};

} // namespace teaselhold::coordination
