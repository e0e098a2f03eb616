#include "Protocol/Configurations/detail/EncodedText.h"

#include <absl/strings/escaping.h>
#include <algorithm>

namespace teaselhold::protocol::detail {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr unsigned kBitsPerDigit = 4;
constexpr unsigned kDigitMask = 0xf;

/// Returns whether a character separates the parts of a line, or might be taken
/// away at its ends.
bool
NeedsEscape(char aCharacter)
{
  constexpr unsigned char kSpace = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  constexpr std::string_view kSeparators = "%,:[]";
  const auto byte = static_cast<unsigned char>(aCharacter);
  return byte <= kSpace || byte == kDelete ||
         kSeparators.find(aCharacter) != std::string_view::npos;
}

} // namespace

std::string
Escape(std::string_view aText)
{
  std::string escaped;
  escaped.reserve(aText.size());
  for (const auto character : aText) {
    if (!NeedsEscape(character)) {
      escaped += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    escaped += '%';
    escaped += kHexDigits[byte >> kBitsPerDigit];
    escaped += kHexDigits[byte & kDigitMask];
  }
  return escaped;
}

std::string
Unescape(std::string_view aText)
{
  constexpr std::size_t kEscapeLength = 3;
  std::string text;
  text.reserve(aText.size());
  while (!aText.empty()) {
    if (aText.front() != '%' || aText.size() < kEscapeLength) {
      text += aText.front();
      aText.remove_prefix(1);
      continue;
    }
    const auto high = kHexDigits.find(aText[1]);
    const auto low = kHexDigits.find(aText[2]);
    text += static_cast<char>((high << kBitsPerDigit) | (low & kDigitMask));
    aText.remove_prefix(kEscapeLength);
  }
  return text;
}

std::string
EncodeDigest(const state::KeyDigest& aDigest)
{
  return absl::WebSafeBase64Escape(absl::string_view(
    reinterpret_cast<const char*>(aDigest.data()), aDigest.size()));
}

std::optional<state::KeyDigest>
DecodeDigest(std::string_view aText)
{
  state::KeyDigest digest{};
  std::string bytes;
  if (!absl::WebSafeBase64Unescape(
        absl::string_view(aText.data(), aText.size()), &bytes) ||
      bytes.size() != digest.size()) {
    return std::nullopt;
  }
  std::ranges::copy(bytes, digest.begin());
  return digest;
}

} // namespace teaselhold::protocol::detail
