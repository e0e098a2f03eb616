#pragma once

#include "State/Instant.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// What a service's retries may use. The defaults let a service with few calls
/// retry at all and bound the burst after a quiet time.
struct RetryBudgetOptions
{
  double tokensPerCall = 0.1;
  double tokensPerSecond = 1;
  double firstTokens = 10;
  double maxTokens = 100;
};

/// Limits the retries of this node to a share of its calls, for each service,
/// so that retries never multiply an overload.
class RetryBudget
{
public:
  /// Takes effect for the tokens that are earned from now on.
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
    state::Instant refilled;
  };

  Account& AccountOf(std::string_view aService, state::Instant aNow);

  RetryBudgetOptions options_;
  std::map<std::string, Account, std::less<>> accounts_;
};

} // namespace teaselhold::coordination
