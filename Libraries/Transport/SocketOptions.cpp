#include "Transport/SocketOptions.h"

#include <netinet/tcp.h>

namespace teaselhold::transport {

namespace {

namespace asio = boost::asio;

template<int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// Sent bytes that stay unacknowledged for this long end the connection.
constexpr int kUnacknowledgedMilliseconds = 2000;
/// Keep-alive probes of the kernel; they cost no wake-up of this process.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 2;

} // namespace

void
SetRequestOptions(asio::ip::tcp::socket& aSocket)
{
  // An option that the system lacks leaves its default, which is only slower
  // to notice a silent peer.
  boost::system::error_code ignored;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(TcpOption<TCP_KEEPIDLE>(kProbeAfterSeconds), ignored);
  aSocket.set_option(TcpOption<TCP_KEEPINTVL>(kProbeIntervalSeconds), ignored);
  aSocket.set_option(TcpOption<TCP_KEEPCNT>(kProbes), ignored);
  aSocket.set_option(TcpOption<TCP_USER_TIMEOUT>(kUnacknowledgedMilliseconds),
                     ignored);
}

bool
IsQuiet(asio::ip::tcp::socket& aSocket)
{
  boost::system::error_code error;
  aSocket.non_blocking(true, error);
  char byte = 0;
  aSocket.receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace teaselhold::transport
