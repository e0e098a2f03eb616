#pragma once

#include "Coordination/NodeEvents.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace teaselhold::tests {

/// A fake of the platform's store at the level of commands and events.
class FakeStore
{
public:
  struct Answer
  {
    state::Instant time;
    std::string node;
    coordination::StoreAnswered event;
  };

  bool isOut = false;
  /// The next write takes effect, but its answer is lost.
  bool isNextAnswerLost = false;
  std::size_t calls = 0;
  state::Duration answerTime{ std::chrono::milliseconds(2) };
  /// Every value that a key ever had, oldest first.
  std::map<std::string, std::vector<std::string>> history;

  /// @return the answers that become due by this call or later by itself.
  void Call(const std::string& aNode,
            const coordination::CallStore& aCall,
            state::Instant aNow);

  /// Moves time on and takes the answers that are due.
  std::vector<Answer> Due(state::Instant aNow);

  const protocol::StoreEntry& Entry(const std::string& aKey)
  {
    return entries_[aKey].entry;
  }

  /// Replaces a value as an operator of the platform would (backup restore).
  void Force(const std::string& aKey, std::string aValue);

  /// Removes a key, as a restored backup without it would.
  void Remove(const std::string& aKey) { entries_.erase(aKey); }

  /// Ends every lease at once, as if the holders had been silent too long.
  void LapseLeases();

private:
  struct Stored
  {
    protocol::StoreEntry entry;
    protocol::LeaseId lease = 0;
  };
  struct Watching
  {
    std::string node;
    std::uint64_t call;
    coordination::StoreWatch watch;
    state::Instant until;
  };

  coordination::StoreResult Carry(const coordination::CallStore& aCall,
                                  state::Instant aNow);
  void ExpireLeases(state::Instant aNow);

  std::map<std::string, Stored> entries_;
  std::map<protocol::LeaseId, std::pair<state::Instant, state::Duration>>
    leases_;
  std::vector<Watching> watching_;
  std::vector<Answer> answers_;
  std::uint64_t nextRevision_ = 1;
  protocol::LeaseId nextLease_ = 1;
};

} // namespace teaselhold::tests
