#include "State/KeyDigest.h"

#include <array>
#include <openssl/sha.h>

namespace teaselhold::state {

std::string
DigestOfKey(std::string_view aKey)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kBitsPerDigit = 4;
  constexpr unsigned kDigitMask = 0xf;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()),
         aKey.size(),
         digest.data());
  std::string text;
  text.reserve(digest.size() * 2);
  for (const auto byte : digest) {
    text += kDigits[byte >> kBitsPerDigit];
    text += kDigits[byte & kDigitMask];
  }
  return text;
}

} // namespace teaselhold::state
