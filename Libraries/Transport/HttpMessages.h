#pragma once

#include "Transport/detail/AsioHeaders.h"

namespace teaselhold::transport {

using HttpRequest =
  boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
  boost::beast::http::response<boost::beast::http::string_body>;

/// Largest body of a request or answer that nodes carry.
inline constexpr std::uint64_t kMaxBodyBytes = 16ULL * 1024 * 1024;

/// Largest head of a request or answer that nodes carry.
inline constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;

} // namespace teaselhold::transport
