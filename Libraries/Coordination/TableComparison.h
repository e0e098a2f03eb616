#pragma once

#include "State/EndpointTable.h"
#include "control.pb.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

/// Compares the endpoint tables of two relays in steps: one digest, then 32
/// bucket digests, then the digests of the services in buckets that differ.
namespace teaselhold::coordination {

inline constexpr std::size_t kTableBuckets = 32;

/// The bucket that a service falls into.
std::size_t
BucketOf(const std::string& aService);

std::vector<std::uint64_t>
BucketDigests(const state::EndpointTable& aTable);

/// Names the buckets that differ, and the own digest of each service in them.
wire::EndpointPull
MakeBucketPull(const state::EndpointTable& aTable,
               const wire::RelayExchange& aExchange);

/// Returns the services that differ from what the pull names.
std::vector<std::string>
DifferingServices(const state::EndpointTable& aTable,
                  const wire::EndpointPull& aPull);

/// Adds all records of a service and its digest.
void
AddServiceData(const state::EndpointTable& aTable,
               const std::string& aService,
               wire::EndpointData& aData);

} // namespace teaselhold::coordination
