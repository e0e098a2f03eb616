#pragma once

#include "State/EnumNames.h"

#include <cstdint>

namespace teaselhold::state {

/// Classes of requests, from the one that is shed last to the one shed first.
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
