#pragma once

#include "Transport/detail/AsioHeaders.h"

namespace teaselhold::transport {

/// Prepares a connection that carries requests: small messages leave at once,
/// and a peer that went silent without a reset is noticed within seconds, also
/// while the connection only waits for an answer.
void
SetRequestOptions(boost::asio::ip::tcp::socket& aSocket);

/// Looks at a connection on which nothing is awaited. Makes it non-blocking.
/// @return true if the peer has sent no bytes and has not ended it.
bool
IsQuiet(boost::asio::ip::tcp::socket& aSocket);

} // namespace teaselhold::transport
