#include "Coordination/EndpointCodec.h"

namespace teaselhold::coordination {

wire::Endpoint
ToWire(const state::EndpointRecord& aRecord)
{
  wire::Endpoint endpoint;
  endpoint.set_node(aRecord.node);
  endpoint.set_incarnation(aRecord.incarnation);
  endpoint.set_sequence(aRecord.sequence);
  endpoint.set_service(aRecord.service);
  endpoint.set_data_centre(aRecord.dataCentre);
  endpoint.set_region(aRecord.region);
  endpoint.set_data_address(aRecord.dataAddress);
  endpoint.set_control_address(aRecord.controlAddress);
  endpoint.set_state(static_cast<wire::EndpointState>(aRecord.state));
  endpoint.set_slots(aRecord.slots);
  endpoint.set_relay(aRecord.relay);
  endpoint.set_is_relay(aRecord.isRelay);
  endpoint.set_upstream_id(aRecord.upstream.id);
  endpoint.set_upstream_born_milliseconds(aRecord.upstream.bornMilliseconds);
  endpoint.set_upstream_sequence(aRecord.upstream.sequence);
  endpoint.set_upstream_version(aRecord.upstream.version);
  endpoint.mutable_crash_suspects()->Add(aRecord.crashSuspects.begin(),
                                         aRecord.crashSuspects.end());
  endpoint.set_capacity(aRecord.capacity);
  return endpoint;
}

wire::Endpoint
ToCompactWire(const state::EndpointRecord& aRecord)
{
  wire::Endpoint endpoint;
  endpoint.set_node(aRecord.node);
  endpoint.set_incarnation(aRecord.incarnation);
  endpoint.set_sequence(aRecord.sequence);
  endpoint.set_state(static_cast<wire::EndpointState>(aRecord.state));
  endpoint.set_relay(aRecord.relay);
  endpoint.set_is_relay(aRecord.isRelay);
  return endpoint;
}

bool
IsCompact(const wire::Endpoint& aEndpoint)
{
  return aEndpoint.service().empty();
}

state::EndpointRecord
FromCompactWire(const wire::Endpoint& aEndpoint,
                const state::EndpointRecord& aKnown)
{
  auto record = FromWire(aEndpoint);
  record.service = aKnown.service;
  record.dataCentre = aKnown.dataCentre;
  record.region = aKnown.region;
  record.dataAddress = aKnown.dataAddress;
  record.controlAddress = aKnown.controlAddress;
  record.slots = aKnown.slots;
  return record;
}

state::EndpointRecord
FromWire(const wire::Endpoint& aEndpoint)
{
  state::EndpointRecord record;
  record.node = aEndpoint.node();
  record.incarnation = aEndpoint.incarnation();
  record.sequence = aEndpoint.sequence();
  record.service = aEndpoint.service();
  record.dataCentre = aEndpoint.data_centre();
  record.region = aEndpoint.region();
  record.dataAddress = aEndpoint.data_address();
  record.controlAddress = aEndpoint.control_address();
  // proto3 keeps unknown enum numbers; such a state is treated as down.
  record.state = wire::EndpointState_IsValid(aEndpoint.state())
                   ? static_cast<state::EndpointState>(aEndpoint.state())
                   : state::EndpointState::Down;
  record.slots = aEndpoint.slots();
  record.relay = aEndpoint.relay();
  record.isRelay = aEndpoint.is_relay();
  if (!aEndpoint.upstream_id().empty()) {
    record.upstream = { aEndpoint.upstream_id(),
                        aEndpoint.upstream_born_milliseconds(),
                        aEndpoint.upstream_sequence(),
                        aEndpoint.slots(),
                        aEndpoint.upstream_version() };
  }
  record.crashSuspects = { aEndpoint.crash_suspects().begin(),
                           aEndpoint.crash_suspects().end() };
  record.capacity = aEndpoint.capacity();
  return record;
}

} // namespace teaselhold::coordination
