#include "Coordination/Quotas/QuotaLimits.h"

#include <algorithm>
#include <bit>

namespace teaselhold::coordination::quotas {

namespace {

/// The part of the allowed excess that lenders use. The rest covers requests
/// that run twice after an answer was lost and limits that are not yet known
/// everywhere.
constexpr double kExcessShare = 0.8;

/// More held at the nodes means fewer waits in calm, and less credit for the
/// first seconds after another node became the lender.
constexpr double kHeldShare = 0.65;

constexpr std::uint32_t kAccountsPerSlot = 32;
/// Three lenders each; more would leave too little to put into one message.
constexpr std::uint32_t kMaxSlots = 256;

} // namespace

PartLimit
PartOf(const state::AccountSpec& aAccount, const QuotaOptions& aOptions)
{
  const double seconds = std::chrono::duration<double>(aOptions.window).count();
  const double burst = aAccount.burst;
  const double inWindow = aAccount.requestsPerSecond * seconds + burst;
  const double excess = inWindow * aOptions.overage + aOptions.slack;
  PartLimit limit;
  limit.rate = aAccount.requestsPerSecond / kParts;
  limit.capacity = (burst + excess * kExcessShare) / kParts;
  limit.maxHeld = limit.capacity * kHeldShare;
  return limit;
}

std::uint32_t
SlotCount(const state::Configuration& aConfiguration)
{
  const auto limited = static_cast<std::uint32_t>(
    std::ranges::count_if(aConfiguration.Accounts(), [](const auto& aAccount) {
      return aAccount.requestsPerSecond > 0;
    }));
  return std::clamp(std::bit_floor(limited / kAccountsPerSlot), 1U, kMaxSlots);
}

std::uint32_t
SlotOf(std::string_view aAccount, std::uint32_t aSlots)
{
  return static_cast<std::uint32_t>(state::DigestOfText(aAccount) % aSlots);
}

} // namespace teaselhold::coordination::quotas
