#include "State/KeyDigest.h"

#include <openssl/sha.h>

namespace teaselhold::state {

namespace {

constexpr std::string_view kDigits = "0123456789abcdef";
constexpr unsigned kBitsPerDigit = 4;
constexpr unsigned kDigitMask = 0xf;

} // namespace

KeyDigest
DigestOfKey(std::string_view aKey)
{
  KeyDigest digest{};
  static_assert(digest.size() == SHA256_DIGEST_LENGTH);
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()),
         aKey.size(),
         digest.data());
  return digest;
}

std::string
FormatDigest(const KeyDigest& aDigest)
{
  std::string text(aDigest.size() * 2, '0');
  for (std::size_t i = 0; i < aDigest.size(); ++i) {
    text[2 * i] = kDigits[aDigest[i] >> kBitsPerDigit];
    text[2 * i + 1] = kDigits[aDigest[i] & kDigitMask];
  }
  return text;
}

std::optional<KeyDigest>
ParseDigest(std::string_view aText)
{
  KeyDigest digest{};
  if (aText.size() != digest.size() * 2) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < digest.size(); ++i) {
    const auto high = kDigits.find(aText[2 * i]);
    const auto low = kDigits.find(aText[2 * i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    digest[i] = static_cast<std::uint8_t>((high << kBitsPerDigit) | low);
  }
  return digest;
}

} // namespace teaselhold::state
