#pragma once

#include "Coordination/NodeEvents.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace teaselhold::tests {

/// A fake of the platform's key-value store that answers CallStore commands
/// with StoreAnswered events.
class FakeStore
{
public:
  struct Answer
  {
    state::Instant time;
    std::string node;
    coordination::StoreAnswered event;
  };

  bool isUnavailable = false;
  /// The next write takes effect, but its answer is lost.
  bool isNextWriteAnswerLost = false;
  std::size_t calls = 0;
  state::Duration answerTime{ std::chrono::milliseconds(2) };
  /// Every value that a key ever had, oldest first.
  std::map<std::string, std::vector<std::string>> history;

  /// Executes a call; TakeDueAnswers() returns its answer later.
  void Call(const std::string& aNode,
            const coordination::CallStore& aCall,
            state::Instant aNow);

  /// Advances the time to aNow.
  /// @return the answers that are due, which are then removed.
  std::vector<Answer> TakeDueAnswers(state::Instant aNow);

  const protocol::StoreEntry& Entry(const std::string& aKey)
  {
    return entries_[aKey].entry;
  }

  /// Replaces a value unconditionally, as the restore of a backup does.
  void Overwrite(const std::string& aKey, std::string aValue);

  /// Removes a key, as the restore of a backup without it does.
  void Remove(const std::string& aKey) { entries_.erase(aKey); }

  /// Expires every lease at once, as if no holder had renewed it in time.
  void ExpireLeases();

private:
  struct Stored
  {
    protocol::StoreEntry entry;
    protocol::LeaseId lease = 0;
  };
  struct OpenWatch
  {
    std::string node;
    std::uint64_t call;
    coordination::StoreWatch watch;
    state::Instant until;
  };

  coordination::StoreResult Execute(const coordination::CallStore& aCall,
                                    state::Instant aNow);
  void RemoveExpiredLeases(state::Instant aNow);

  std::map<std::string, Stored> entries_;
  std::map<protocol::LeaseId, std::pair<state::Instant, state::Duration>>
    leases_;
  std::vector<OpenWatch> openWatches_;
  std::vector<Answer> answers_;
  std::uint64_t nextRevision_ = 1;
  protocol::LeaseId nextLease_ = 1;
};

} // namespace teaselhold::tests
