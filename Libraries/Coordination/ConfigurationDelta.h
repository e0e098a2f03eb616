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

/// Describes how aTarget differs from aBase, section by section. A section is
/// a header line with everything up to the next header line, so that comments
/// and blank lines are part of it.
/// @return nullopt if a section name stands twice, or if the delta is not much
/// smaller than aTarget.
std::optional<ConfigurationSections>
MakeDelta(std::string_view aBase, std::string_view aTarget);

/// Applies a delta, also to a text that has some of its changes already. The
/// caller checks the digest of the result.
/// Fails with InvalidDelta if a section refers to one that does not exist.
tl::expected<std::string, CoordinationError>
ApplyDelta(std::string_view aBase, const ConfigurationSections& aSections);

} // namespace teaselhold::coordination
