#pragma once

#include "Transport/TransportError.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace teaselhold::transport {

/// An IP address and a port.
struct SocketAddress
{
  std::string host;
  std::uint16_t port = 0;
};

/// Reads "IP:PORT" or "[IPv6]:PORT". Names are refused, because processes talk
/// by IP number.
tl::expected<SocketAddress, TransportError>
ParseSocketAddress(std::string_view aText);

} // namespace teaselhold::transport
