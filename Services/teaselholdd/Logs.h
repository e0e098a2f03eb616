#pragma once

#include <string>

namespace teaselhold::daemon {

/// Sets up the process's logs: one line each on standard output with time,
/// level and "[part] Sentence. key=value". Equal lines are limited to one in
/// 10 s, all lines to a bound in each second; a blocked reader stops nothing.
/// aLevel is one of the settings' level names.
void
SetUpLogs(const std::string& aLevel);

/// Writes what is left and stops the logs' thread.
void
FinishLogs();

} // namespace teaselhold::daemon
