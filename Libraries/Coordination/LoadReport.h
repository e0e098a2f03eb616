#pragma once

#include "State/Instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// What the node beside an upstream tells of it with each answer.
struct LoadReport
{
  /// Requests that run or wait.
  std::uint32_t occupied = 0;
  std::uint32_t slots = 0;
  /// Smoothed time that a request holds a slot.
  state::Duration serviceTime{ 0 };
  /// Smoothed share of requests that the upstream refused or failed, 0 to 1.
  double failureShare = 0;
  /// How long the request of this answer held its slot; 0 if it did not run.
  state::Duration ownServiceTime{ 0 };
  /// How long the node beside the upstream had the request of this answer.
  state::Duration residence{ 0 };
  /// How long a large body would wait before it may be sent.
  state::Duration bodyWait{ 0 };
};

/// Writes a report as it travels between nodes.
std::string
FormatLoadReport(const LoadReport& aReport);

/// @return nothing if the text is malformed.
std::optional<LoadReport>
ParseLoadReport(std::string_view aText);

} // namespace teaselhold::coordination
