#pragma once

#include "Coordination/ControlMessages.h"
#include "Coordination/CrashGuard.h"
#include "Coordination/NodeEvents.h"
#include "Coordination/PeerDirectory.h"
#include "Coordination/RandomSource.h"

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace teaselhold::coordination {

/// Distributes reports of crashed upstreams to all nodes and maintains the
/// resulting quarantine.
class CrashReports
{
public:
  explicit CrashReports(std::uint64_t aSeed);

  /// Adds a crash that this node observed or that another node reported.
  void Add(std::uint64_t aFingerprint,
           const std::string& aNode,
           std::uint64_t aIncarnation,
           state::Instant aNow);

  /// Sends new reports immediately, because a caller that repeats a request in
  /// a tight loop can crash an upstream every millisecond.
  void Flush(const PeerDirectory& aPeers, Commands& aCommands);

  /// Resends reports, because datagrams may be lost, and expires old ones.
  void Tick(const PeerDirectory& aPeers,
            state::Instant aNow,
            Commands& aCommands);

  /// @return true if Quarantined() changed since the last call of this
  ///         function.
  bool TakeChanged();
  std::set<std::uint64_t> Quarantined() const { return guard_.Quarantined(); }

private:
  using Key = std::tuple<std::uint64_t, std::string, std::uint64_t>;

  struct Pending
  {
    unsigned roundsLeft = 0;
    bool isNew = false;
  };

  void SendPending(const PeerDirectory& aPeers,
                   bool aOnlyNew,
                   Commands& aCommands);
  void SendOne(const Key& aKey,
               const PeerDirectory& aPeers,
               Commands& aCommands);

  RandomSource random_;
  CrashGuard guard_;
  std::map<Key, state::Instant> seen_;
  std::map<Key, Pending> pending_;
  bool isChanged_ = false;
};

} // namespace teaselhold::coordination
