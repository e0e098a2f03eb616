#pragma once

#include "Coordination/Quotas/CreditLedger.h"
#include "Coordination/Quotas/CreditWallet.h"
#include "Coordination/Quotas/LendingLeases.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace teaselhold::coordination::quotas {

/// Command: send questions to another node, and pass its answer to OnAnswer.
struct SendQuestions
{
  std::uint64_t call = 0;
  std::string address;
  QuestionMessage message;
};

/// Command: requests of the account that wait should try again.
struct WakeAccount
{
  std::string account;
};

using QuotaCommand = std::variant<SendQuestions, WakeAccount>;
using QuotaCommands = std::vector<QuotaCommand>;

/// The request must wait for a WakeAccount, call EndWait and try again.
struct WaitForCredit
{};

/// There is no credit.
struct NoCredit
{
  /// Time after which there may be credit.
  state::Duration retryAfter{ 0 };
};

using TakeResult = std::variant<Credit, WaitForCredit, NoCredit>;

struct AccountCounts
{
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
};

struct QuotaNode
{
  std::string name;
  std::uint64_t incarnation = 0;
  std::string dataCentre;
};

/// Holds the requests of each account within its limit over all nodes. Each
/// limit is dealt in equal parts to kParts lenders; a node borrows credit ahead
/// of need, and waits for an answer when it has none left. No I/O, no clock.
class Quotas
{
public:
  Quotas(QuotaNode aNode, const QuotaOptions& aOptions, state::Instant aStart);

  void SetOptions(const QuotaOptions& aOptions, state::Instant aNow);
  void SetConfiguration(const state::ConfigurationPointer& aConfiguration,
                        state::Instant aNow,
                        QuotaCommands& aCommands);
  void SetNodes(const state::EndpointTable& aTable, state::Instant aNow);

  /// Takes credit for a request of an account.
  /// @param aIsFirst the request has not tried before.
  TakeResult Take(const std::string& aAccount,
                  bool aIsFirst,
                  state::Instant aNow,
                  QuotaCommands& aCommands);

  /// A request that was told to wait no longer does.
  void EndWait(const std::string& aAccount);

  /// Counts a request that waited for the longest time and is refused.
  void RecordRefusal(const std::string& aAccount);

  /// Gives back the credit of a request that did not run.
  void GiveBack(const std::string& aAccount,
                const Credit& aCredit,
                state::Instant aNow);

  /// Answers questions of another node.
  AnswerMessage OnQuestions(const QuestionMessage& aMessage,
                            state::Instant aNow);

  /// @param aAnswer nullptr if there was none.
  void OnAnswer(std::uint64_t aCall,
                const AnswerMessage* aAnswer,
                state::Instant aNow,
                QuotaCommands& aCommands);

  /// To be called every kTick while IsActive.
  static constexpr state::Duration kTick = std::chrono::milliseconds(100);
  void Tick(state::Instant aNow, QuotaCommands& aCommands);

  /// The process is about to end.
  void Leave(state::Instant aNow, QuotaCommands& aCommands);

  /// @return true if the configuration limits any account.
  bool IsActive() const { return !accounts_.empty(); }

  std::size_t PositionsLent(state::Instant aNow) const
  {
    return leases_.CountLending(aNow);
  }

  /// @return true if this node lends credit of the position, or of the part of
  ///         the account.
  bool IsLending(const Position& aPosition, state::Instant aNow) const
  {
    return leases_.FindLending(aPosition, aNow).has_value();
  }
  bool IsLenderOf(const std::string& aAccount,
                  std::uint32_t aPart,
                  state::Instant aNow) const;

  /// By account, for accounts of the configuration that have a limit.
  std::map<std::string, AccountCounts> Counts() const;

private:
  struct Account
  {
    PartLimit limit;
    std::uint32_t slot = 0;
    CreditWallet wallet;
    AccountCounts counts;
  };
  using Accounts = std::map<std::string, Account>;

  /// A ledger for each account and part that this node lends.
  struct LentAccount
  {
    std::uint64_t term = 0;
    CreditLedger ledger;
  };

  /// Where to ask for credit of a position.
  struct Route
  {
    /// Empty: not known, the electors are asked in turn.
    std::string lender;
    std::size_t turn = 0;
    /// Nodes that were asked in vain one after the other.
    std::size_t misses = 0;
    state::Instant blockedUntil{ 0 };
  };

  struct PendingCall
  {
    std::string node;
    state::Instant sent{ 0 };
    /// Set for asks.
    std::optional<Position> position;
    std::vector<std::string> accounts;
  };

  Position PositionOf(const Account& aAccount, std::uint32_t aPart) const;
  std::optional<std::uint32_t> ChoosePart(const Account& aAccount,
                                          state::Instant aNow) const;
  std::vector<std::uint32_t> PartOrder(const Account& aAccount) const;
  /// When the lender of a part may be asked again.
  state::Instant PartOpens(const Account& aAccount, std::uint32_t aPart) const;
  state::Duration EmptyTime(const Account& aAccount, state::Instant aNow) const;
  std::string Target(const Position& aPosition);
  bool NeedsAsk(const Account& aAccount, state::Instant aNow) const;
  void AskPart(const std::string& aName,
               std::uint32_t aSlot,
               std::uint32_t aPart,
               state::Instant aNow,
               QuotaCommands& aCommands);
  void AskAhead(state::Instant aNow, QuotaCommands& aCommands);
  void AskFor(const std::string& aName,
              Account& aAccount,
              state::Instant aNow,
              QuotaCommands& aCommands);
  Ask MakeAsk(const std::string& aName,
              const Account& aAccount,
              std::uint32_t aPart,
              state::Instant aNow) const;
  void Send(const std::string& aNode,
            QuestionMessage aMessage,
            PendingCall aCall,
            state::Instant aNow,
            QuotaCommands& aCommands);
  void SendClaims(const LendingLeases::OutgoingClaims& aClaims,
                  state::Instant aNow,
                  QuotaCommands& aCommands);
  void ReturnIdle(state::Instant aNow, QuotaCommands& aCommands);
  Answer OnAsk(const std::string& aFrom, const Ask& aAsk, state::Instant aNow);
  void OnGrant(const Grant& aGrant,
               const PendingCall& aCall,
               state::Instant aNow);
  void OnMoved(const Position& aPosition,
               const std::string& aAsked,
               const std::string& aLender,
               state::Instant aNow);
  void OnNoAnswer(const PendingCall& aCall, state::Instant aNow);

  QuotaNode node_;
  QuotaOptions options_;
  state::ConfigurationPointer configuration_;
  std::uint32_t slots_ = 1;
  ElectorRing ring_;
  LendingLeases leases_;
  Accounts accounts_;
  /// Accounts with recent requests or held credit.
  std::set<std::string> active_;
  state::Instant nextAskAhead_{ 0 };
  std::map<std::pair<std::string, std::uint32_t>, LentAccount> lent_;
  std::map<Position, Route> routes_;
  std::unordered_map<std::uint64_t, PendingCall> calls_;
  std::uint64_t lastCall_ = 0;
};

} // namespace teaselhold::coordination::quotas
