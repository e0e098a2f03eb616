#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace teaselhold::daemon {

/// Limits equal log lines: the first is written at once, the others are counted
/// and reported once in each interval.
class RepeatLimiter
{
public:
  using Time = std::chrono::steady_clock::time_point;

  /// Lines beyond this number of different ones are not limited, so that memory
  /// stays bounded.
  static constexpr std::size_t kMaxLines = 256;

  struct Summary
  {
    std::string line;
    /// How often the line was suppressed in the interval.
    std::uint64_t suppressed = 0;
    /// When it was last suppressed.
    Time last;
  };

  explicit RepeatLimiter(std::chrono::milliseconds aInterval)
    : interval_(aInterval)
  {
  }

  /// @return true if the line is to be written.
  bool Admit(const std::string& aLine, Time aNow);

  /// Returns the lines whose interval has ended and that were suppressed in it.
  std::vector<Summary> TakeSummaries(Time aNow);

private:
  struct Entry
  {
    Time start;
    std::uint64_t suppressed = 0;
    Time last;
  };

  std::chrono::milliseconds interval_;
  std::map<std::string, Entry> entries_;
};

} // namespace teaselhold::daemon
