#pragma once

#include "Protocol/Headers.h"

#include <string>

namespace teaselhold::protocol {

/// Names of the headers that callers and upstreams use. The defaults are the
/// product's own; an empty name means that there is no such header.
struct CallHeaders
{
  /// Remaining time in milliseconds, from callers and to upstreams.
  std::string deadline = headers::kDeadline;
  /// The caller's identity of a request, which the upstream echoes.
  std::string requestId;
  /// Tells the upstream which service called it.
  std::string callerService;
  /// Names the upstream process that must run the request; another one refuses.
  std::string upstreamId;
  /// In an answer: the upstream did not run the request.
  std::string notRunMark = headers::kShed;
  /// Carries the key of the caller's client account. It is never sent on.
  std::string accountKey = headers::kAccountKey;
  /// Tells the next node and the upstream which client account the key belongs
  /// to. Callers cannot set it where requests need keys.
  std::string accountName = headers::kTenant;
  /// Answers without a length are whole if their connection ends cleanly.
  bool acceptsUnframed = false;
};

} // namespace teaselhold::protocol
