#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace teaselhold::tool {

/// One line of a node's log: TIME LEVEL [part] Sentence. key=value key=value
struct LogLine
{
  /// The time as it stands in the log.
  std::string time;
  /// The time since the epoch, so that lines of several logs can be ordered.
  std::int64_t milliseconds = 0;
  std::string level;
  std::string part;
  std::string sentence;
  /// "key=value key=value", in the line's order.
  std::string rest;
  std::map<std::string, std::string> fields;
  /// The word before the time, where a collector of logs writes the node.
  std::string origin;

  /// @return the value, or none if the line has no such key.
  std::string_view Field(const std::string& aKey) const;
};

/// Reads a line. Anything may stand before the time.
/// @return nothing if the line is not a whole line of a node's log.
std::optional<LogLine>
ParseLogLine(std::string_view aLine);

} // namespace teaselhold::tool
