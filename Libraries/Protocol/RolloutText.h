#pragma once

#include "State/EnumNames.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The records of roll-outs in the store: what the operator orders, and how far
/// the system is.
namespace teaselhold::protocol {

/// Precedes the name of the service in the key of an order.
inline constexpr const char* kRolloutOrderPrefix =
  "teaselhold/rollouts/orders/";
/// Precedes the name of the service in the key of the state of its roll-out.
inline constexpr const char* kRolloutStatePrefix =
  "teaselhold/rollouts/states/";

/// Moves the traffic of a service to the upstreams of a version.
struct RolloutOrder
{
  std::string target;
  /// The time within which the roll-out is to end.
  std::chrono::milliseconds duration{ 0 };

  bool operator==(const RolloutOrder&) const = default;
};

enum class RolloutState : std::uint8_t
{
  /// The target version gets a share of the requests.
  Running,
  /// The target version proved good and takes over all new requests.
  Promoting,
  /// Final: only the target version serves.
  Completed,
  /// Final: the target version gets nothing.
  RolledBack,
};

inline constexpr std::array<state::EnumName<RolloutState>, 4>
  kRolloutStateNames{ {
    { RolloutState::Running, "running" },
    { RolloutState::Promoting, "promoting" },
    { RolloutState::Completed, "completed" },
    { RolloutState::RolledBack, "rolled_back" },
  } };

struct RolloutStatus
{
  RolloutState state = RolloutState::Running;
  std::string target;
  /// Revision of the order that this state belongs to.
  std::uint64_t order = 0;

  bool operator==(const RolloutStatus&) const = default;
};

/// Writes a record as words separated by spaces.
std::string
FormatRolloutOrder(const RolloutOrder& aOrder);
std::string
FormatRolloutStatus(const RolloutStatus& aStatus);

/// @return nothing if the text is malformed.
std::optional<RolloutOrder>
ParseRolloutOrder(std::string_view aText);
std::optional<RolloutStatus>
ParseRolloutStatus(std::string_view aText);

/// @return true if a service or version has a name that fits into the records
/// and into headers: visible characters other than ',' and ';'.
bool
IsRolloutName(std::string_view aName);

} // namespace teaselhold::protocol
