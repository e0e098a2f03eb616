#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselhold::coordination {

/// The value of a claim in the store. It names the incarnation of a node that
/// runs the request of an idempotency key.
struct ClaimBinding
{
  /// Incremented each time the claim moves to another executor. Starts at 1.
  std::uint64_t epoch = 1;
  std::string node;
  std::uint64_t incarnation = 0;
  /// IP:port of the executor for HTTP between nodes.
  std::string dataAddress;
  /// Fingerprint of the request. A key is valid for one request only.
  std::uint64_t fingerprint = 0;
  /// Identifies the write that produced this value. Only its writer may start
  /// the run.
  std::string token;

  bool operator==(const ClaimBinding&) const = default;
};

std::string
FormatClaim(const ClaimBinding& aBinding);

/// Returns the claim, or nothing if the text is not a valid claim.
std::optional<ClaimBinding>
ParseClaim(std::string_view aText);

/// Returns the name of a keyed request in the store and in the executor's
/// ledger. It includes the tenant, so that no tenant gets a response of
/// another.
std::string
KeyedRequestName(std::string_view aService,
                 std::string_view aTenant,
                 std::string_view aKey);

/// Returns the store key for the claim on a keyed request.
std::string
ClaimKey(std::string_view aName);

} // namespace teaselhold::coordination
