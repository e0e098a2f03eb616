#pragma once

#include "Protocol/Configurations/ConfigurationParts.h"

#include <string>

namespace teaselhold::protocol {

/// Makes the parts of an accepted configuration consistent, so that they can be
/// encoded and built. What contradicts something else harms only what uses it:
///
/// - of two services with one name, or two routes for the same requests, the
///   first one counts;
/// - routes with the same name get different ones;
/// - a service that only routes name is added;
/// - accounts with the same name become one, which holds the keys of all;
/// - a key of several accounts belongs to the first one.
///
/// @return a sentence about each change of meaning, for the operator.
std::vector<std::string>
MakeConsistent(ConfigurationParts& aParts);

} // namespace teaselhold::protocol
