#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace teaselhold::tool {

/// What the command line asks for.
struct Options
{
  std::string command;
  /// The file, or the identity of a request.
  std::string argument;
  /// explain: logs to read; "-" is the standard input.
  std::vector<std::string> logs;
  /// Admin addresses, tried in turn.
  std::vector<std::string> nodes;
  bool json = false;
  bool wait = false;
  bool help = false;
  std::chrono::seconds timeout{ 10 };
  /// The version that an applied text is based on, if the operator named it.
  std::optional<std::uint64_t> base;
  /// status --wait: the version that must be in force at least.
  std::uint64_t atLeast = 0;
};

/// Reads the command line. The error is a sentence for the operator.
tl::expected<Options, std::string>
ParseOptions(const std::vector<std::string>& aArguments);

} // namespace teaselhold::tool
