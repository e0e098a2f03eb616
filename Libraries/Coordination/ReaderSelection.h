#pragma once

#include "State/EndpointTable.h"

#include <string>
#include <string_view>
#include <vector>

namespace teaselhold::coordination {

/// Returns true if a node reads the full configuration from the store for the
/// others. The readers are the hosts with the most capacity, spread over the
/// data centres. All nodes compute the same selection from the same records;
/// while their records differ, only the number of readers deviates.
bool
IsSelectedReader(const state::EndpointTable& aTable, std::string_view aNode);

/// Returns the data addresses of the nodes that read rather than a node that is
/// not selected: the readers, beginning with one that differs by node, then
/// those that come before it in the order of capacity.
std::vector<std::string>
ReadersBefore(const state::EndpointTable& aTable, std::string_view aNode);

} // namespace teaselhold::coordination
