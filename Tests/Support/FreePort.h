#pragma once

#include "Transport/detail/AsioHeaders.h"

#include <string>

namespace teaselhold::tests {

/// Returns an address on loopback that the kernel chose as free for TCP.
inline std::string
FreeAddress()
{
  boost::asio::io_context context;
  const boost::asio::ip::tcp::acceptor acceptor(
    context,
    boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace teaselhold::tests
