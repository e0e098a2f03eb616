#pragma once

#include "Utilities/teaselctl/Commands.h"

namespace teaselhold::tool {

/// Applies a text and finds out what became of it.
class ApplyCommand
{
public:
  explicit ApplyCommand(const CommandContext& aContext);

  ExitCode Run();

private:
  using Clock = std::chrono::steady_clock;

  /// Reads the version in force, unless the operator named the base.
  bool ReadBase();

  /// Base 0 makes a node replace whatever is in force. That is right for the
  /// first text, and wrong if the node only does not know the version yet.
  bool CheckIsFirst();

  /// Sends the apply to the first node that can be reached, once.
  ExitCode Send();

  /// Asks the store, through any node, what became of the apply.
  ExitCode Resolve(const std::string& aCause);

  ExitCode Finish(const wire::ApplyResponse& aResponse);
  ExitCode ReportAccepted(std::string_view aResult,
                          std::uint64_t aGeneration,
                          const std::string& aMessage);
  ExitCode ReportConflict(std::uint64_t aGeneration, const std::string& aText);
  ExitCode ReportUnknown(const std::string& aCause);
  std::string BaseName() const;

  const CommandContext& context_;
  std::string applyId_;
  std::string text_;
  std::uint64_t base_ = 0;
  /// The text of base_, if it is known.
  std::optional<std::string> baseText_;
  Clock::time_point deadline_;
};

} // namespace teaselhold::tool
