#pragma once

#include <string>
#include <string_view>

namespace teaselhold::state {

/// @return the SHA-256 digest of a client account's key as 64 lower-case
///         hexadecimal digits, the form in which keys are stored and compared.
std::string
DigestOfKey(std::string_view aKey);

} // namespace teaselhold::state
