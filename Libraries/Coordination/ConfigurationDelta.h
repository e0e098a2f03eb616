#pragma once

#include "Coordination/CoordinationError.h"
#include "control.pb.h"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace teaselhold::coordination {

using ConfigurationSections =
  google::protobuf::RepeatedPtrField<wire::ConfigurationSection>;

/// Computes how aTarget differs from aBase, section by section. A section is a
/// header line with everything up to the next header line, including comments
/// and blank lines.
/// @return nullopt if a text has two sections of the same name, or if the delta
/// is not much smaller than aTarget.
std::optional<ConfigurationSections>
MakeDelta(std::string_view aBase, std::string_view aTarget);

/// Applies a delta. aBase may already contain some of its changes, so the
/// caller must check the digest of the result. Fails with InvalidDelta if a
/// section is to be inserted after one that does not exist.
tl::expected<std::string, CoordinationError>
ApplyDelta(std::string_view aBase, const ConfigurationSections& aSections);

} // namespace teaselhold::coordination
