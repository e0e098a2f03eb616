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

/// Tells whether a request of this kind is to get a line; counts it if not. See
/// LogPolicy.
bool
AdmitSampledLine(Sampled aKind);

/// From now on each request of this kind gets a line: the node takes no new
/// ones, and those in flight end with the process.
void
LogEach(Sampled aKind);

/// Writes what is left and stops the logs' thread.
void
FinishLogs();

} // namespace teaselhold::daemon
