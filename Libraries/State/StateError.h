#pragma once

#include "State/EnumNames.h"

#include <cstdint>
#include <string>

namespace teaselhold::state {

enum class StateErrorCode : std::uint8_t
{
  InvalidArgument,
  NotFound,
  OlderVersion,
  DigestMismatch,
};

inline constexpr std::array<EnumName<StateErrorCode>, 4> kStateErrorNames{ {
  { StateErrorCode::InvalidArgument, "invalid argument" },
  { StateErrorCode::NotFound, "not found" },
  { StateErrorCode::OlderVersion, "older version" },
  { StateErrorCode::DigestMismatch, "digest mismatch" },
} };

/// An error of the state layer.
struct StateError
{
  StateErrorCode code;
  std::string message;
};

} // namespace teaselhold::state
