#pragma once

#include "State/EndpointTable.h"

#include <string_view>

namespace teaselhold::coordination {

/// Tells whether a node reads the whole configuration from the store for the
/// others. Every node decides alike from the records that it knows: the
/// strongest hosts, spread over the data centres. Records that differ for a
/// moment only change how many nodes read.
bool
IsSelectedReader(const state::EndpointTable& aTable, std::string_view aNode);

} // namespace teaselhold::coordination
