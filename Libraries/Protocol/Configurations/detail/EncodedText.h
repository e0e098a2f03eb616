#pragma once

#include "State/KeyDigest.h"

#include <optional>
#include <string>
#include <string_view>

/// The words of an encoded configuration.
namespace teaselhold::protocol::detail {

/// Begins each encoded configuration; a syntax error in an operators' text.
inline constexpr std::string_view kFirstLine = "teaselhold-configuration 1";

/// Replaces the characters that separate the parts of a line, or might be taken
/// away at its ends.
std::string
Escape(std::string_view aText);

std::string
Unescape(std::string_view aText);

/// @return 43 characters, of which none separates anything.
std::string
EncodeDigest(const state::KeyDigest& aDigest);

/// @return nothing if the text is not as EncodeDigest() writes it.
std::optional<state::KeyDigest>
DecodeDigest(std::string_view aText);

} // namespace teaselhold::protocol::detail
