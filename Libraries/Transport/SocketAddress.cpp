#include "Transport/SocketAddress.h"

#include "Transport/detail/AsioHeaders.h"

#include <charconv>

namespace teaselhold::transport {

tl::expected<SocketAddress, TransportError>
ParseSocketAddress(std::string_view aText)
{
  const auto fail = [&] {
    return tl::make_unexpected(TransportError{
      TransportErrorCode::InvalidAddress,
      "\"" + std::string(aText) + "\" is not an address; expected IP:PORT" });
  };
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return fail();
  }
  auto host = aText.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  const auto digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto* end = digits.data() + digits.size();
  const auto number = std::from_chars(digits.data(), end, port);
  boost::system::error_code error;
  boost::asio::ip::make_address(std::string(host), error);
  if (error || number.ec != std::errc() || number.ptr != end || port == 0) {
    return fail();
  }
  return SocketAddress{ std::string(host), port };
}

} // namespace teaselhold::transport
