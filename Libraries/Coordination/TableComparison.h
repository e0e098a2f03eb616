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

/// Returns the index of the bucket that a service belongs to.
std::size_t
BucketOf(const std::string& aService);

std::vector<std::uint64_t>
BucketDigests(const state::EndpointTable& aTable);

/// Returns a pull that names the buckets that differ, and the digest in aTable
/// of each service in them.
wire::EndpointPull
MakeBucketPull(const state::EndpointTable& aTable,
               const wire::RelayExchange& aExchange);

/// Returns the services whose digests differ from those in the pull, and those
/// of the named buckets that the pull lacks.
std::vector<std::string>
DifferingServices(const state::EndpointTable& aTable,
                  const wire::EndpointPull& aPull);

/// Adds all records of a service and its digest.
void
AddServiceData(const state::EndpointTable& aTable,
               const std::string& aService,
               wire::EndpointData& aData);

} // namespace teaselhold::coordination
