#pragma once

#include "State/EndpointRecord.h"
#include "control.pb.h"

namespace teaselhold::coordination {

wire::Endpoint
ToWire(const state::EndpointRecord& aRecord);

/// Returns an endpoint that only identifies a record and holds its state, relay
/// role and relay. The receiver restores what is fixed for an incarnation.
wire::Endpoint
ToCompactWire(const state::EndpointRecord& aRecord);

/// Returns true for an endpoint from ToCompactWire().
bool
IsCompact(const wire::Endpoint& aEndpoint);

/// Returns the record of a compact endpoint. The fields that it lacks are taken
/// from the known record of the same incarnation.
state::EndpointRecord
FromCompactWire(const wire::Endpoint& aEndpoint,
                const state::EndpointRecord& aKnown);

state::EndpointRecord
FromWire(const wire::Endpoint& aEndpoint);

} // namespace teaselhold::coordination
