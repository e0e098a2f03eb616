#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselhold::state {

/// The SHA-256 digest of the key of a client account. A key itself is in no
/// configuration, log line or message between nodes.
using KeyDigest = std::array<std::uint8_t, 32>;

KeyDigest
DigestOfKey(std::string_view aKey);

/// @return 64 lower-case hexadecimal digits.
std::string
FormatDigest(const KeyDigest& aDigest);

/// @return nothing if the text is not as FormatDigest() writes it.
std::optional<KeyDigest>
ParseDigest(std::string_view aText);

} // namespace teaselhold::state
