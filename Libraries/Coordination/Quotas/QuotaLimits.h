#pragma once

#include "State/Configuration.h"
#include "State/Instant.h"

#include <cstdint>

namespace teaselhold::coordination::quotas {

/// Lenders that share the limit of an account. With three, the loss of one
/// leaves two thirds of the rate, which covers an account that uses up to that
/// share of its limit without any wait for a successor.
inline constexpr std::uint32_t kParts = 3;

/// How long a node may use credit that it did not need at once. An account's
/// requests are spread over all nodes, a few each in this time. When a limit is
/// lowered, nodes give up the same part of what they hold.
inline constexpr state::Duration kCreditTerm = std::chrono::seconds(10);

/// How the limits are measured: no more than
/// (rate x window + burst) x (1 + overage) + slack requests in any window.
struct QuotaOptions
{
  state::Duration window = std::chrono::seconds(5);
  double overage = 0.1;
  double slack = 20;
};

/// What one lender may lend of the limit of an account.
struct PartLimit
{
  /// Requests per second.
  double rate = 0;
  /// Credit that exists at any time, at the lender and at the nodes.
  double capacity = 0;
  /// The part of the capacity that nodes may hold unused.
  double maxHeld = 0;

  bool operator==(const PartLimit&) const = default;
};

/// @param aAccount has a rate.
PartLimit
PartOf(const state::AccountSpec& aAccount, const QuotaOptions& aOptions);

/// Returns how many slots the limited accounts are dealt to. The accounts of a
/// slot share their lenders, so that one message serves several of them. It
/// depends only on the configuration, which is the same on all nodes.
std::uint32_t
SlotCount(const state::Configuration& aConfiguration);

/// One of the kParts lenders of the accounts of a slot.
struct Position
{
  /// SlotCount() of the configuration that dealt the accounts.
  std::uint32_t slots = 1;
  std::uint32_t slot = 0;
  std::uint32_t part = 0;

  auto operator<=>(const Position&) const = default;
};

/// @return the slot of an account.
std::uint32_t
SlotOf(std::string_view aAccount, std::uint32_t aSlots);

} // namespace teaselhold::coordination::quotas
