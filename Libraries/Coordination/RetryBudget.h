#pragma once

#include "State/Instant.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// Limits the retries of this node to a share of its calls, for each service,
/// so that retries never multiply an overload.
class RetryBudget
{
public:
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

  std::map<std::string, Account, std::less<>> accounts_;
};

} // namespace teaselhold::coordination
