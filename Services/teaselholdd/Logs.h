#pragma once

#include "Services/teaselholdd/LogPolicy.h"

#include <string>

namespace teaselhold::daemon {

/// Sets up the process's logs: one line each on standard output with time,
/// level and "[part] Sentence. key=value". LogPolicy bounds the lines of each
/// kind; equal lines that are not of requests are limited to one in 10 s. A
/// blocked reader stops nothing. aLevel is one of the settings' level names.
void
SetUpLogs(const std::string& aLevel);

/// Tells whether the line of an ordinary request is to be written; counts the
/// request if not. See LogPolicy.
bool
AdmitOrdinaryLine(RequestHop aHop);

/// From now on each request of the hop gets a line: the hop takes no new ones,
/// and those in flight end with the process.
void
LogEachRequest(RequestHop aHop);

/// Writes what is left and stops the logs' thread.
void
FinishLogs();

} // namespace teaselhold::daemon
