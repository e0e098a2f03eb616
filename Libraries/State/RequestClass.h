#pragma once

#include "State/EnumNames.h"

#include <cstdint>

namespace teaselhold::state {

/// Request classes, ordered from the last to be shed to the first.
enum class RequestClass : std::uint8_t
{
  Order,
  Check,
  Lookup,
  Upload,
  Batch,
};

inline constexpr std::array<EnumName<RequestClass>, 5> kRequestClassNames{ {
  { RequestClass::Order, "order" },
  { RequestClass::Check, "check" },
  { RequestClass::Lookup, "lookup" },
  { RequestClass::Upload, "upload" },
  { RequestClass::Batch, "batch" },
} };

} // namespace teaselhold::state
