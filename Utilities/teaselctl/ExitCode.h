#pragma once

namespace teaselhold::tool {

/// The exit codes of teaselctl.
enum ExitCode
{
  Done = 0,
  /// Refused or failed; nothing was changed.
  Failed = 1,
  Usage = 2,
  /// Another text won; nothing was changed.
  Conflict = 3,
  /// The change may have been made.
  OutcomeUnknown = 4,
};

} // namespace teaselhold::tool
