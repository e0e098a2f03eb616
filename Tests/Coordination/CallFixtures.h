#pragma once

#include "Coordination/CallSession.h"

#include <memory>
#include <string>
#include <vector>

/// Endpoint records, tables and snapshots for the tests of the call path.
namespace teaselhold::test {

using namespace coordination;
using namespace std::chrono_literals;

inline state::EndpointRecord
MakeEndpoint(const std::string& aNode,
             const std::string& aDataCentre = "bud1",
             std::uint64_t aIncarnation = 1)
{
  state::EndpointRecord record;
  record.node = aNode;
  record.incarnation = aIncarnation;
  record.sequence = 1;
  record.service = "visits";
  record.dataCentre = aDataCentre;
  record.region = aDataCentre.substr(0, aDataCentre.size() - 1);
  record.dataAddress = "127.0.0.1:" + std::to_string(9000 + aNode.back());
  record.state = state::EndpointState::Ready;
  record.slots = 12;
  return record;
}

inline EndpointTablePointer
MakeTable(const std::vector<state::EndpointRecord>& aRecords)
{
  auto table = std::make_shared<state::EndpointTable>();
  for (const auto& record : aRecords) {
    table->Merge(record);
  }
  return table;
}

/// Configures the entry service "visits" and its dependency "lounges". The
/// service "uploads" is not a dependency and thus not reachable.
inline state::ConfigurationPointer
MakeConfiguration(state::Generation aGeneration = 1)
{
  state::ConfigurationBuilder builder;
  builder.SetGeneration(aGeneration);
  builder.AddService({ "visits", { "lounges" }, true });
  builder.AddService({ "lounges", {}, false });
  builder.AddService({ "uploads", {}, false });
  const auto order = state::RequestClass::Order;
  const auto lookup = state::RequestClass::Lookup;
  builder.AddRoute({ "redeem", "POST", "/visits", "visits", order, false, 1s });
  builder.AddRoute({ "look", "GET", "/visits", "visits", lookup, true, 1s });
  builder.AddRoute({ "lounge", "GET", "/lounge", "lounges", lookup, true, 1s });
  builder.AddRoute({ "upload", "PUT", "/upload", "uploads", lookup, true, 1s });
  return *builder.Build();
}

inline RoutingSnapshotPointer
MakeSnapshot(EndpointTablePointer aTable,
             state::ConfigurationPointer aConfiguration = MakeConfiguration())
{
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->configuration = std::move(aConfiguration);
  snapshot->endpoints = std::move(aTable);
  return snapshot;
}

inline CallEnvironment
MakeEnvironment(const std::string& aNode = "entry")
{
  return { { aNode, "bud1", "bud", 7 }, 1, "visits" };
}

inline CallParameters
MakeFacts(bool aIsIdempotent, const std::string& aKey = "")
{
  CallParameters facts;
  facts.method = aIsIdempotent ? "GET" : "POST";
  facts.target = "/visits";
  facts.idempotencyKey = aKey;
  facts.fingerprint = 77;
  return facts;
}

/// Returns the reason of a NotRun response, or BadRequest for any other step.
inline NotRunReason
ReasonOf(const CallStep& aStep)
{
  const auto* respond = std::get_if<Respond>(&aStep);
  const auto* notRun =
    respond == nullptr ? nullptr : std::get_if<NotRun>(&respond->outcome);
  return notRun == nullptr ? NotRunReason::BadRequest : notRun->reason;
}

template<typename Kind>
bool
RespondsWith(const CallStep& aStep)
{
  const auto* respond = std::get_if<Respond>(&aStep);
  return respond != nullptr && std::holds_alternative<Kind>(respond->outcome);
}

inline std::string
NodeOf(const CallStep& aStep)
{
  const auto* attempt = std::get_if<Attempt>(&aStep);
  return attempt == nullptr ? "" : attempt->endpoint->node;
}

} // namespace teaselhold::test
