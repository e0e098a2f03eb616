#pragma once

#include "State/UpstreamAnnouncement.h"

#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace teaselhold::protocol {

/// A message of an upstream that cannot be understood.
struct UnreadableMessage
{
  std::string reason;
};

using UpstreamMessage = std::variant<UnreadableMessage,
                                     state::UpstreamAnnouncement,
                                     state::UpstreamDeparture>;

/// Reads a message of an upstream from an HTTP request's method, target and
/// body.
using UpstreamMessageReader =
  std::function<UpstreamMessage(std::string_view aMethod,
                                std::string_view aTarget,
                                std::string_view aBody)>;

} // namespace teaselhold::protocol
