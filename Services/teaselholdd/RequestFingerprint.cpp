#include "Services/teaselholdd/RequestFingerprint.h"

#include <xxhash.h>

namespace teaselhold::daemon {

std::uint64_t
FingerprintOf(const Request& aRequest)
{
  const auto method = aRequest.method_string();
  const auto target = aRequest.target();
  // The hash of one part seeds the next, so that parts cannot run together.
  auto hash = XXH64(method.data(), method.size(), 0);
  hash = XXH64(target.data(), target.size(), hash);
  return XXH64(aRequest.body().data(), aRequest.body().size(), hash);
}

} // namespace teaselhold::daemon
