#pragma once

#include "State/EndpointRecord.h"
#include "control.pb.h"

namespace teaselhold::coordination {

wire::Endpoint
ToWire(const state::EndpointRecord& aRecord);

state::EndpointRecord
FromWire(const wire::Endpoint& aEndpoint);

} // namespace teaselhold::coordination
