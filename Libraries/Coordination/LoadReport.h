#pragma once

#include "State/Instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// Load of an upstream, as reported by the node beside it with each response.
struct LoadReport
{
  /// Requests that run or wait.
  std::uint32_t outstandingRequests = 0;
  std::uint32_t slots = 0;
  /// Smoothed time that a request occupies a slot.
  state::Duration serviceTime{ 0 };
  /// Smoothed fraction of requests that the upstream refused or failed, 0 to 1.
  double failureRate = 0;
  /// Time that the request of this response occupied its slot; 0 if it did not
  /// run.
  state::Duration ownServiceTime{ 0 };
  /// Time that the request of this response spent at the node beside the
  /// upstream, including the upstream's service time.
  state::Duration residence{ 0 };
  /// Time that a large body would wait before it may be sent.
  state::Duration bodyWait{ 0 };
  /// Time that a large answer would wait before its host may send it.
  state::Duration answerWait{ 0 };
};

/// Formats a report for the header that carries it between nodes, as fields
/// separated by semicolons, with times in microseconds.
std::string
FormatLoadReport(const LoadReport& aReport);

/// Nodes of an older version send no answerWait; it is 0 then.
/// @return nothing if the text is malformed.
std::optional<LoadReport>
ParseLoadReport(std::string_view aText);

} // namespace teaselhold::coordination
