#pragma once

#include "Coordination/Quotas/Quotas.h"
#include "Coordination/RandomSource.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace teaselhold::test {

/// Nodes with quotas, a network between them that can fail, and requests that
/// arrive at the nodes. Time passes only in Run.
class QuotaFleet
{
public:
  using Instant = state::Instant;

  struct Network
  {
    state::Duration minDelay = std::chrono::microseconds(500);
    state::Duration maxDelay = std::chrono::milliseconds(2);
    /// Of 1000 messages.
    std::uint64_t lostOfThousand = 0;
  };

  QuotaFleet(std::size_t aNodes, std::uint64_t aSeed);

  /// Puts accounts in force on all nodes, on each after a delay of up to
  /// aSpread.
  void Configure(std::vector<state::AccountSpec> aAccounts,
                 state::Duration aSpread = {});

  void SetNetwork(const Network& aNetwork) { network_ = aNetwork; }
  coordination::RandomSource& Random() { return random_; }
  Instant Now() const { return now_; }
  void Run(state::Duration aTime);

  /// Requests arrive at a node at random times.
  /// @param aPerSecond 0 ends them.
  void SetLoad(std::size_t aNode,
               const std::string& aAccount,
               double aPerSecond);
  void SpreadLoad(const std::string& aAccount, double aPerSecond);

  /// The share of granted requests that do not run, and give credit back.
  void SetNotRunShare(double aShare) { notRunShare_ = aShare; }

  void Kill(std::size_t aNode);
  void Start(std::size_t aNode);
  /// Ends a process in order.
  void Leave(std::size_t aNode);
  void Pause(std::size_t aNode);
  void Resume(std::size_t aNode);
  /// Nodes of different groups do not reach each other.
  void SetGroup(std::size_t aNode, int aGroup);
  /// Nodes take the list of running nodes, each after a delay.
  void List(state::Duration aSpread);

  /// The node that lends for a part of an account; nothing if none does.
  std::optional<std::size_t> Lender(const std::string& aAccount,
                                    std::uint32_t aPart);
  /// Of all positions, how many have two or more lenders now.
  std::size_t DoubleLent();

  struct Count
  {
    std::uint64_t asked = 0;
    std::uint64_t ran = 0;
    std::uint64_t refused = 0;
  };

  /// Counts since the last call.
  Count Take(const std::string& aAccount);
  std::uint64_t Messages() const { return messages_; }
  std::uint64_t Bytes() const { return bytes_; }
  /// Requests that waited for credit.
  std::uint64_t Waited() const { return waited_; }

  /// How many of the requests since aFrom one token bucket for all nodes, with
  /// the limit's rate and burst and nothing on top, would have refused.
  std::uint64_t RefusedByOneBucket(const state::AccountSpec& aSpec,
                                   Instant aFrom) const;

  /// How many more requests ran in any window, beginning at or after aFrom,
  /// than the limit in force allows; negative if it held.
  double Excess(const state::AccountSpec& aSpec, Instant aFrom = {}) const;

  static coordination::quotas::QuotaOptions Options() { return {}; }

private:
  struct Node
  {
    std::string name;
    std::unique_ptr<coordination::quotas::Quotas> quotas;
    std::uint64_t incarnation = 0;
    /// The newest listing that it took.
    std::uint64_t listing = 0;
    bool isPaused = false;
    int group = 0;
    std::map<std::string, std::deque<Instant>> waiters;
    std::map<std::string, double> load;
    std::vector<std::function<void()>> held;
  };

  void At(Instant aTime, std::function<void()> aEvent);
  /// Runs an event of a node's process, after its pause, unless it was killed.
  void OnNode(std::size_t aNode, Instant aTime, std::function<void()> aEvent);
  void Tick(std::size_t aNode);
  void Arrive(std::size_t aNode, const std::string& aAccount);
  void ScheduleArrival(std::size_t aNode, const std::string& aAccount);
  void TryTake(std::size_t aNode,
               const std::string& aAccount,
               bool aIsFirst,
               Instant aDeadline);
  void Ran(std::size_t aNode,
           const std::string& aAccount,
           const coordination::quotas::Credit& aCredit);
  void Do(std::size_t aNode, coordination::quotas::QuotaCommands aCommands);
  void Deliver(std::size_t aFrom,
               const coordination::quotas::SendQuestions& aCommand);
  state::Duration Delay();
  bool IsLost(std::size_t aFrom, std::size_t aTo);

  coordination::RandomSource random_;
  Instant now_{ 0 };
  std::multimap<Instant, std::function<void()>> events_;
  std::vector<Node> nodes_;
  Network network_;
  state::ConfigurationPointer configuration_;
  std::uint64_t generation_ = 0;
  std::uint64_t listing_ = 0;
  double notRunShare_ = 0;
  std::map<std::string, Count> counts_;
  std::map<std::string, std::vector<Instant>> runs_;
  std::map<std::string, std::vector<Instant>> arrivals_;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
  std::uint64_t waited_ = 0;
};

} // namespace teaselhold::test
