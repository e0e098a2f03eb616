#pragma once

#include "State/EnumNames.h"

#include <cstdint>
#include <string>

namespace teaselhold::coordination {

enum class CoordinationErrorCode : std::uint8_t
{
  /// A delta cannot be applied to its base.
  InvalidDelta,
  UnknownBase,
  DigestMismatch,
  /// A stored value could not be parsed.
  InvalidValue,
};

inline constexpr std::array<state::EnumName<CoordinationErrorCode>, 4>
  kCoordinationErrorNames{ {
    { CoordinationErrorCode::InvalidDelta, "invalid delta" },
    { CoordinationErrorCode::UnknownBase, "unknown base" },
    { CoordinationErrorCode::DigestMismatch, "digest mismatch" },
    { CoordinationErrorCode::InvalidValue, "invalid value" },
  } };

/// An error of the coordination layer.
struct CoordinationError
{
  CoordinationErrorCode code;
  std::string message;
};

} // namespace teaselhold::coordination
