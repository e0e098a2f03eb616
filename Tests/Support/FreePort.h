#pragma once

#include "Transport/detail/AsioHeaders.h"

#include <string>
#include <unistd.h>

namespace teaselhold::tests {

/// Returns an address on loopback that is free for TCP and UDP. The port is
/// below the kernel's ephemeral range; otherwise an outgoing connection of a
/// process that already runs can take it before its owner starts.
inline std::string
FreeAddress()
{
  constexpr unsigned kFirstPort = 10000;
  constexpr unsigned kPorts = 20000;
  constexpr unsigned kStride = 251;
  static unsigned next = static_cast<unsigned>(getpid()) * kStride;
  boost::asio::io_context context;
  const auto loopback = boost::asio::ip::address_v4::loopback();
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    boost::system::error_code error;
    boost::asio::ip::tcp::acceptor stream(context, boost::asio::ip::tcp::v4());
    boost::asio::ip::udp::socket datagram(context, boost::asio::ip::udp::v4());
    stream.bind({ loopback, port }, error);
    if (!error) {
      datagram.bind({ loopback, port }, error);
    }
    if (!error) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

} // namespace teaselhold::tests
