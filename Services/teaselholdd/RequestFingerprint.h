#pragma once

#include "Services/teaselholdd/Exchange.h"

namespace teaselhold::daemon {

/// Recognizes a request that a caller sends again: xxHash64 of method, path
/// and body. The route gives the service from the first two.
std::uint64_t
FingerprintOf(const Request& aRequest);

} // namespace teaselhold::daemon
