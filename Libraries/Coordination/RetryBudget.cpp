#include "Coordination/RetryBudget.h"

#include <algorithm>
#include <chrono>

namespace teaselhold::coordination {

namespace {

/// Twice the number of services that the system is designed for. Beyond it,
/// the account that was unused for longest is dropped.
constexpr std::size_t kMaxAccounts = 1024;

} // namespace

RetryBudget::Account&
RetryBudget::RefillAccount(std::string_view aService, state::Instant aNow)
{
  auto found = accounts_.find(aService);
  if (found == accounts_.end()) {
    if (accounts_.size() >= kMaxAccounts) {
      accounts_.erase(
        std::ranges::min_element(accounts_, {}, [](const auto& aEntry) {
          return aEntry.second.refilledAt;
        }));
    }
    found =
      accounts_
        .emplace(std::string(aService), Account{ options_.initialTokens, aNow })
        .first;
  }
  auto& account = found->second;
  const std::chrono::duration<double> elapsed = aNow - account.refilledAt;
  // The refill over time stops at initialTokens; only calls earn more.
  if (account.tokens < options_.initialTokens) {
    account.tokens =
      std::min(options_.initialTokens,
               account.tokens + elapsed.count() * options_.tokensPerSecond);
  }
  account.refilledAt = aNow;
  return account;
}

void
RetryBudget::OnCall(std::string_view aService, state::Instant aNow)
{
  auto& account = RefillAccount(aService, aNow);
  account.tokens =
    std::min(options_.maxTokens, account.tokens + options_.tokensPerCall);
}

bool
RetryBudget::HasToken(std::string_view aService, state::Instant aNow)
{
  return RefillAccount(aService, aNow).tokens >= 1;
}

void
RetryBudget::Spend(std::string_view aService, state::Instant aNow)
{
  RefillAccount(aService, aNow).tokens -= 1;
}

} // namespace teaselhold::coordination
