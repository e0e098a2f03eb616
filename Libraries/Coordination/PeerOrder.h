#pragma once

#include "Coordination/RandomSource.h"
#include "State/EndpointTable.h"

#include <string>
#include <string_view>
#include <vector>

namespace teaselhold::coordination {

/// Returns the data addresses of the other nodes in a random order in which the
/// data centres take turns, so that the first few do not fail together.
std::vector<std::string>
OrderPeers(const state::EndpointTable& aTable,
           std::string_view aOwnNode,
           RandomSource& aRandom);

} // namespace teaselhold::coordination
