#pragma once

#include "Protocol/Configurations/ConfigurationParts.h"
#include "Protocol/ProtocolError.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

/// The form in which nodes keep and exchange a configuration that does not come
/// from an operators' text. It holds any configuration: no name, list or number
/// of items is too long or has a character that it cannot hold.
///
/// Like an operators' text it consists of sections whose headers stand on lines
/// of their own, so that ConfigurationDelta works on both. It is not one: the
/// first line is a syntax error there.
namespace teaselhold::protocol {

/// Each section of keys holds about this many, so that one withdrawn key
/// changes a small section of a large account.
inline constexpr std::size_t kKeysPerSection = 64;

/// The names of services, of routes and of accounts must be unique.
std::string
EncodeConfiguration(const ConfigurationParts& aParts);

/// Returns whether a text has this form.
bool
IsEncodedConfiguration(std::string_view aText);

/// Reads what EncodeConfiguration() wrote. Keys come back in another order. The
/// parts are not checked.
tl::expected<ConfigurationParts, ProtocolError>
DecodeConfiguration(std::string_view aText);

} // namespace teaselhold::protocol
