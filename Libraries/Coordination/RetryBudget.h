#pragma once

#include "State/Instant.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// Limits of the retry budget of one service. tokensPerSecond and initialTokens
/// let a service with few calls retry at all; maxTokens bounds the burst of
/// retries after an idle period.
struct RetryBudgetOptions
{
  double tokensPerCall = 0.1;
  double tokensPerSecond = 1;
  double initialTokens = 10;
  double maxTokens = 100;
};

/// Limits the retries of this node to a fraction of its calls, separately for
/// each service, so that retries do not amplify an overload.
class RetryBudget
{
public:
  /// Applies to tokens earned from now on; tokens already earned are kept.
  void SetOptions(const RetryBudgetOptions& aOptions) { options_ = aOptions; }

  /// Counts a first attempt.
  void OnCall(std::string_view aService, state::Instant aNow);

  /// @return true if a retry is allowed now.
  bool HasToken(std::string_view aService, state::Instant aNow);

  /// Counts a retry. Requires HasToken().
  void Spend(std::string_view aService, state::Instant aNow);

private:
  struct Account
  {
    double tokens;
    state::Instant refilledAt;
  };

  Account& RefillAccount(std::string_view aService, state::Instant aNow);

  RetryBudgetOptions options_;
  std::map<std::string, Account, std::less<>> accounts_;
};

} // namespace teaselhold::coordination
