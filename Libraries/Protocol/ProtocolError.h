#pragma once

#include "State/EnumNames.h"

#include <cstdint>
#include <string>

namespace teaselhold::protocol {

enum class ProtocolErrorCode : std::uint8_t
{
  Syntax,
  TooLarge,
  InvalidValue,
  UnknownName,
};

inline constexpr std::array<state::EnumName<ProtocolErrorCode>, 4>
  kProtocolErrorNames{ {
    { ProtocolErrorCode::Syntax, "syntax error" },
    { ProtocolErrorCode::TooLarge, "too large" },
    { ProtocolErrorCode::InvalidValue, "invalid value" },
    { ProtocolErrorCode::UnknownName, "unknown name" },
  } };

/// An error of the protocol layer. line is 0 if no line is to blame.
struct ProtocolError
{
  ProtocolErrorCode code;
  std::size_t line;
  std::string message;
};

} // namespace teaselhold::protocol
