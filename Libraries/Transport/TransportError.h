#pragma once

#include "State/EnumNames.h"

#include <cstdint>
#include <string>

namespace teaselhold::transport {

enum class TransportErrorCode : std::uint8_t
{
  InvalidAddress,
  BindFailed,
  /// No connection was made; nothing was sent.
  ConnectFailed,
  /// The connection ended after the request may have been sent.
  ConnectionLost,
  Timeout,
  /// The peer did not invite the body in time; nothing of it was sent.
  NotInvited,
  /// The answer cannot be read whole: it ended early or is none.
  PartialAnswer,
  /// The answer belongs to another request.
  ForeignAnswer,
  /// The caller went away; the request may have been sent.
  Cancelled,
};

inline constexpr std::array<state::EnumName<TransportErrorCode>, 9>
  kTransportErrorNames{ {
    { TransportErrorCode::InvalidAddress, "invalid address" },
    { TransportErrorCode::BindFailed, "bind failed" },
    { TransportErrorCode::ConnectFailed, "connect failed" },
    { TransportErrorCode::ConnectionLost, "connection lost" },
    { TransportErrorCode::Timeout, "timeout" },
    { TransportErrorCode::NotInvited, "not invited" },
    { TransportErrorCode::PartialAnswer, "partial answer" },
    { TransportErrorCode::ForeignAnswer, "foreign answer" },
    { TransportErrorCode::Cancelled, "cancelled" },
  } };

/// An error of the transport layer.
struct TransportError
{
  TransportErrorCode code;
  std::string message;
};

} // namespace teaselhold::transport
