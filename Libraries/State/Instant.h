#pragma once

#include <chrono>

namespace teaselhold::state {

/// Monotonic time since the start of the process. Decision logic receives it
/// as an argument and never reads a clock.
using Instant = std::chrono::microseconds;
using Duration = std::chrono::microseconds;

} // namespace teaselhold::state
