#pragma once

#include "State/EndpointRecord.h"
#include "control.pb.h"

namespace teaselhold::coordination {

wire::Endpoint
ToWire(const state::EndpointRecord& aRecord);

/// Returns an endpoint that only identifies a record and holds its state, relay
/// role and relay. The receiver restores the service, location, addresses
/// and slots.
wire::Endpoint
ToCompactWire(const state::EndpointRecord& aRecord);

/// Returns true for an endpoint from ToCompactWire().
bool
IsCompact(const wire::Endpoint& aEndpoint);

/// Returns the record of a compact endpoint. The service, location,
/// addresses and slots are taken from the known record of the same incarnation.
state::EndpointRecord
FromCompactWire(const wire::Endpoint& aEndpoint,
                const state::EndpointRecord& aKnown);

state::EndpointRecord
FromWire(const wire::Endpoint& aEndpoint);

} // namespace teaselhold::coordination
