#pragma once

#include "State/EndpointRecord.h"
#include "control.pb.h"

namespace teaselhold::coordination {

wire::Endpoint
ToWire(const state::EndpointRecord& aRecord);

/// Leaves out what does not change within an incarnation.
wire::Endpoint
ToCompactWire(const state::EndpointRecord& aRecord);

/// True for an endpoint from ToCompactWire().
bool
IsCompact(const wire::Endpoint& aEndpoint);

/// Fills what a compact endpoint left out from the known record of the same
/// incarnation.
state::EndpointRecord
FromCompactWire(const wire::Endpoint& aEndpoint,
                const state::EndpointRecord& aKnown);

state::EndpointRecord
FromWire(const wire::Endpoint& aEndpoint);

} // namespace teaselhold::coordination
